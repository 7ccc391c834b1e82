// Package command is the fence of a server that takes orders of the fleet: what decides is in the package fence.
package command

import (
	"context"
	"fmt"
	"log"
	"sync"
	"time"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/events"
	"silverpath/internal/policy/fence"
	"silverpath/internal/policy/lease"
)

// Orders is the fence of a server: its book lasts, and where the book says nothing of a duty the group is asked before any
// order of it is taken.
type Orders struct {
	Service string
	Group   *quorum.Client
	Log     *log.Logger

	mu   sync.Mutex
	file *fence.File
}

const learnWithin = 2 * time.Second

// Open opens the book of a service.
func Open(path, service string, g *quorum.Client, l *log.Logger) (*Orders, error) {
	f, err := fence.Open(path, service)
	if err != nil {
		return nil, err
	}
	return &Orders{Service: service, Group: g, Log: l, file: f}, nil
}

// Take has an order done if it is newer than all that were seen, or says why not. That it was seen lasts before it is done.
func (o *Orders) Take(act, duty string, epoch, step uint64, do func() (bool, string)) (bool, string) {
	o.mu.Lock() // one order at a time, the older one not after the newer
	defer o.mu.Unlock()
	if !o.file.Knows(duty) {
		ctx, cancel := context.WithTimeout(context.Background(), learnWithin)
		defer cancel()
		v, err := o.Group.Read(ctx, duty)
		if err != nil {
			return false, fmt.Sprintf("%v of %s: %v", fence.ErrUnknownEpoch, duty, err)
		}
		var seen lease.Epoch
		if d := v.Table.Duties[duty]; d != nil {
			seen = d.Epoch
		}
		var at uint64
		if j := v.Journals[duty]; j != nil {
			at = j.Step
		}
		o.file.SetFloor(duty, seen, at)
		events.Log(o.Log, "orders.learnt", duty, seen, at)
	}
	order := fence.Command{Duty: duty, Epoch: lease.Epoch(epoch), Step: step, Action: act}
	fresh, err := o.file.Check(order)
	if err != nil {
		return false, err.Error()
	}
	if !fresh {
		// A copy, which does nothing: not after a start either, with which what it did has ended, as that may be long ago.
		return true, "it was done before"
	}
	if err := o.file.Persist(order, o.Service); err != nil {
		return false, err.Error()
	}
	yes, why := do()
	events.Log(o.Log, "orders.taken", act, duty, order.Epoch, step, why)
	return yes, why
}
