// Package controller decides the work that belongs to the whole fleet and is done by one process at a time, the holder of a duty:
// Placement changes the cell map, Rollout takes the servers out and back one after the other, Monitor says which servers are gone. It
// has no I/O, no clock and no goroutine: package runner carries out the actions that it returns.
//
// Each duty has a journal that the group keeps. Every action has its intent in the journal before it and its outcome after it, each
// written by the holder's epoch and the next step, so that the next holder goes on where the last one stopped. Whatever an earlier
// holder intended is settled before anything new is begun.
package controller

// The duties, by the names that commands, settings and the journal have for them.
const (
	PlacementDuty = "keeper"    // changes the cell map
	RolloutDuty   = "conductor" // takes servers out of service and back
	MonitorDuty   = "watcher"   // says which servers are gone
)

// Duties are the names of all duties, in the order in which they are listed.
var Duties = []string{PlacementDuty, RolloutDuty, MonitorDuty}

// Action is what the holder of a duty does next, one thing at a time.
type Action struct {
	Kind    ActionKind
	Write   JournalWrite  // of WriteJournal; duty, process, epoch and step are the caller's to add
	Version int           // of Publish and Withdraw
	Raw     []byte        // of Publish: the map's text
	Command ServerCommand // of SendCommand
}

// ActionKind is a kind of action.
type ActionKind int

// Kinds of actions.
const (
	Idle         ActionKind = iota // there is nothing to do now
	WriteJournal                   // write an intent, progress or an outcome into the journal
	Publish                        // put a version of the map into its place, which is written once
	Withdraw                       // take that place, so that no version can be published there
	SendCommand                    // send a command to a server
)

// String is the kind's name in log events, as in "placement.publish".
func (k ActionKind) String() string {
	return [...]string{"rest", "write", "publish", "withdraw", "send"}[k]
}
