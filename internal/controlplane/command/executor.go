// Package command executes fenced commands of the fleet's controllers on a server: what decides is in package fence, and its file is the
// server's memory of it.
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

// Executor is the fence of a server. Its file lasts; of a duty that the file says nothing of, the group is asked before any command is
// accepted, as a server whose file is new may have carried out newer ones.
type Executor struct {
	Service string
	Group   *quorum.Client
	Log     *log.Logger

	mu   sync.Mutex // one command at a time: an older one is not carried out after a newer one
	file *fence.File
}

// learnTimeout is how long the group is asked for what it knows of a duty: less than a controller waits for the server's answer.
const learnTimeout = 2 * time.Second

// Open opens the fence's file of a service. Its errors are those of fence.Open.
func Open(path, service string, g *quorum.Client, l *log.Logger) (*Executor, error) {
	f, err := fence.Open(path, service)
	if err != nil {
		return nil, err
	}
	return &Executor{Service: service, Group: g, Log: l, file: f}, nil
}

// Execute carries out a command by perform if it is newer than all before it, and returns whether it was accepted and the text for the
// controller. That it was accepted is stored before it is carried out: a server that ends in between refuses older ones all the same.
// The admin API calls it with each command that names a duty.
func (x *Executor) Execute(action, duty string, epoch, step uint64, perform func() (bool, string)) (accepted bool, reason string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if err := x.learn(duty); err != nil {
		return false, err.Error()
	}
	c := fence.Command{Duty: duty, Epoch: lease.Epoch(epoch), Step: step, Action: action}
	fresh, err := x.file.Check(c)
	if err != nil {
		return false, err.Error()
	}
	if !fresh {
		// A copy does nothing. Nor does it after a restart, which has ended what the command did: that may be long ago.
		return true, "it was done before"
	}
	if err := x.file.Persist(c, x.Service); err != nil {
		return false, err.Error()
	}
	accepted, reason = perform()
	events.Log(x.Log, "command.executed", action, duty, c.Epoch, step, reason)
	return accepted, reason
}

// learn asks the group for the epoch and step of a duty that the file says nothing of.
func (x *Executor) learn(duty string) error {
	if x.file.Knows(duty) {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), learnTimeout)
	defer cancel()
	view, err := x.Group.Read(ctx, duty)
	if err != nil {
		return fmt.Errorf("%w of %s: %w", fence.ErrUnknownEpoch, duty, err)
	}
	var epoch lease.Epoch
	if d := view.Table.Duties[duty]; d != nil {
		epoch = d.Epoch
	}
	var step uint64
	if j := view.Journals[duty]; j != nil {
		step = j.Step
	}
	x.file.SetFloor(duty, epoch, step)
	events.Log(x.Log, "command.epoch_learned", duty, epoch, step)
	return nil
}
