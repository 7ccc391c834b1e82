package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"time"

	"silverpath/internal/transport/msgpackrpc"
)

// ask sends one try of a request on a connection of its own, as a balancer does, and prints what was sent and how it was answered:
// served with the result, Full, or failed. It waits for a second longer than the try says that it waits.
func ask(args []string) error {
	flags := flag.NewFlagSet("ask", flag.ContinueOnError)
	addr := flags.String("addr", "", "address of the service")
	class := flags.String("class", "oddaja", "class")
	tenant := flags.String("tenant", "kvizmojster", "tenant")
	key := flags.String("key", "", "key of the request")
	body := flags.String("body", "", "body")
	wait := flags.Duration("wait", 4400*time.Millisecond, "how long the try waits, from now on")
	name := flags.String("name", "try", "name of the try in the record")
	if err := flags.Parse(args); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), *wait+time.Second)
	defer cancel()
	conn, err := msgpackrpc.Dial(ctx, *addr)
	if err != nil {
		fmt.Println(stamp(), *name, "refused-connection", err)
		return nil
	}
	defer conn.Close()
	attempt := msgpackrpc.Attempt{ID: fmt.Sprintf("%016x", rand.Uint64()), Class: *class, Tenant: *tenant, Key: *key, ReceivedAt: time.Now(),
		Timeout: *wait, MemoryKB: 24, Rank: 0.5, Caller: 1, Body: []byte(*body)}
	fmt.Println(attempt.ReceivedAt.UnixMilli(), *name, "sent", *class, attempt.ID, "key", *key, "s", attempt.ReceivedAt.UnixMilli(), "d", wait.Milliseconds())
	_, replies, err := conn.Send(func(id uint64) []byte { return attempt.Append(nil, id) })
	if err != nil {
		return err
	}
	select {
	case r, ok := <-replies:
		switch {
		case !ok:
			fmt.Println(stamp(), *name, "broken")
		case r.Error == "":
			fmt.Println(stamp(), *name, "served", string(r.Body))
		case r.Error == msgpackrpc.ErrorFull:
			fmt.Println(stamp(), *name, "Full", r.Fields)
		default:
			fmt.Println(stamp(), *name, "failed", r.Error)
		}
	case <-ctx.Done():
		fmt.Println(stamp(), *name, "unanswered")
	}
	return nil
}

// probe repeats a health check, on a connection of its own each time, until the service answers that it is well.
func probe(args []string) error {
	flags := flag.NewFlagSet("probe", flag.ContinueOnError)
	addr := flags.String("addr", "", "address of the service")
	within := flags.Duration("within", 10*time.Second, "how long to try")
	if err := flags.Parse(args); err != nil {
		return err
	}
	for until := time.Now().Add(*within); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if healthy(*addr) {
			return nil
		}
	}
	return errors.New("probe: no good answer of " + *addr)
}

// healthy makes one health check.
func healthy(addr string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	conn, err := msgpackrpc.Dial(ctx, addr)
	if err != nil {
		return false
	}
	defer conn.Close()
	_, replies, err := conn.Send(func(id uint64) []byte { return msgpackrpc.AppendProbe(nil, id) })
	if err != nil {
		return false
	}
	select {
	case r, ok := <-replies:
		return ok && r.Healthy
	case <-ctx.Done():
		return false
	}
}
