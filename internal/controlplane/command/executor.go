// Package command executes the fenced commands of the fleet's controllers on a server. Package fence decides whether a
// command is accepted and stores the last accepted command of each duty in a file.
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

// Executor executes commands on a server. It persists the last accepted command of each duty in a file. If the file has no
// entry for a duty, it asks the group for the duty's epoch and step before it accepts a command: a server whose file is new
// may have executed newer commands before.
type Executor struct {
	Service string
	Group   *quorum.Client
	Log     *log.Logger

	mu   sync.Mutex // serializes commands, so that an older one is not executed after a newer one
	file *fence.File
}

// learnEpochTimeout is the timeout of the request to the group for a duty's epoch and step. It is shorter than the time that a
// controller waits for the server's answer.
const learnEpochTimeout = 2 * time.Second

// Open opens the fence file of a service. It returns the errors of fence.Open.
func Open(path, service string, group *quorum.Client, logger *log.Logger) (*Executor, error) {
	file, err := fence.Open(path, service)
	if err != nil {
		return nil, err
	}
	return &Executor{Service: service, Group: group, Log: logger, file: file}, nil
}

// Execute calls perform if the command is newer than all earlier commands of its duty. It returns whether the command was
// accepted and the text for the controller. The command is persisted before perform is called, so that a server that
// restarts in between still refuses older commands. The admin API calls Execute for each command that names a duty.
func (x *Executor) Execute(action, duty string, epoch, step uint64, perform func() (bool, string)) (accepted bool, reason string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if err := x.learnEpoch(duty); err != nil {
		return false, err.Error()
	}
	c := fence.Command{Duty: duty, Epoch: lease.Epoch(epoch), Step: step, Action: action}
	fresh, err := x.file.Check(c)
	if err != nil {
		return false, err.Error()
	}
	if !fresh {
		// A repeated command has no effect. This includes a repeat after a restart, although the restart has undone what the
		// command did: the command may be long outdated.
		return true, "it was done before"
	}
	if err := x.file.Persist(c, x.Service); err != nil {
		return false, err.Error()
	}
	accepted, reason = perform()
	events.Log(x.Log, "command.executed", action, duty, c.Epoch, step, reason)
	return accepted, reason
}

// learnEpoch asks the group for the epoch and step of a duty that the file has no entry for. It does nothing for other duties.
func (x *Executor) learnEpoch(duty string) error {
	if x.file.CanCheck(duty) {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), learnEpochTimeout)
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
