// Package controller implements the leased controllers of a fleet: Placement changes the cell map, Rollout evacuates and rejoins the
// servers in turn, and Monitor detects dead servers. A duty is the task of one controller; one process at a time holds its lease. The
// package has no I/O, no clock and no goroutine: package runner carries out the actions that it returns.
//
// Each duty has a journal, which the group replicates. The holder writes the intent of every action before the action and its outcome
// after it, with its epoch and the next step number. The next holder resumes from the journal: it completes the intents of earlier
// holders before it starts anything new.
package controller

// Names of the duties in commands, settings and the journal.
const (
	PlacementDuty = "keeper"    // changes the cell map
	RolloutDuty   = "conductor" // evacuates and rejoins servers
	MonitorDuty   = "watcher"   // detects dead servers
)

// Duties lists the names of all duties in the order of output.
var Duties = []string{PlacementDuty, RolloutDuty, MonitorDuty}

// Action is the next action of a duty's holder. The holder carries out one action at a time.
type Action struct {
	Kind    ActionKind
	Write   JournalWrite  // of WriteJournal; the caller sets duty, process, epoch and step
	Version int           // of Publish and Withdraw
	Raw     []byte        // of Publish: the text of the map
	Command ServerCommand // of SendCommand
}

// ActionKind is a kind of action.
type ActionKind int

// Kinds of actions.
const (
	Idle         ActionKind = iota // nothing to do now
	WriteJournal                   // write an intent, progress or an outcome to the journal
	Publish                        // write a version of the map to the write-once entry of that version
	Withdraw                       // mark the entry of a version as withdrawn, so that the version can't be published
	SendCommand                    // send a command to a server
)

// String returns the name of the kind in log events, as in "placement.publish".
func (k ActionKind) String() string {
	return [...]string{"rest", "write", "publish", "withdraw", "send"}[k]
}
