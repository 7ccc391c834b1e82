package hotrestart

import "time"

// Stage says how far the run of a key has come, as the other process is told. Its numbers stand on the link.
type Stage uint8

// The stages of a run.
const (
	Queued    Stage = iota // taken, not run
	Running                // it may have run
	Succeeded              // its result is here
	Failed                 // it may have run, and has no result
)

// Execution is the one run of an idempotent request.
type Execution struct {
	Key, ID     string
	Fingerprint uint64        // of the request; every attempt must have the same
	ReceivedAt  int64         // Unix nanoseconds at which the attempt that runs reached the machine
	ExpiresAt   int64         // Unix nanoseconds at which the last of its attempts is past
	Window      time.Duration // within which its attempts come
	Stage       Stage
	Result      []byte
	Remote      bool // it is the other process's; not on the link
}

// Executions are this process's runs of idempotent requests, and what it was told of the other's: the core's table of keys.
type Executions interface {
	// Find returns the run that an attempt repeats which reached the machine then, in Unix nanoseconds: this process's or the other's.
	Find(key string, receivedAt int64) (Execution, bool)
	// Apply notes that the other's run has come so far.
	Apply(e Execution)
	// Forget notes that the other abandoned its run of a key before it began.
	Forget(key string)
	// Local are the runs of this process, within their windows.
	Local() []Execution
	// PeerLost notes that the other is gone: its runs without an end have failed where they may have run, and never were where not.
	PeerLost(mayHaveRun func(e Execution) bool)
	// Retain keeps, of the other's runs without an end, those that it listed just now.
	Retain(listed func(key string) bool)
}

// Kind is the kind of a message. Its numbers stand on the link.
type Kind uint8

// The kinds of messages.
const (
	Hello        Kind = iota + 1 // the first: who sends it
	Status                       // what else the other has to know
	Run                          // how far a run of the sender's has come
	Released                     // the sender abandoned a run before it began, or gave back a key that it was granted
	SyncComplete                 // all runs of the sender have been listed
	Claim                        // may the sender run this key?
	Grant                        // it may
	Denied                       // it may not: the run was sent just before
)

// Message is what one process tells the other.
type Message struct {
	Kind          Kind
	StartedAt     int64 // Hello: Unix nanoseconds of the sender's start, by which processes are told apart
	PeerStartedAt int64 // Hello: that of the process that it takes the other one for; 0: none yet
	Sole          bool  // Hello: it served alone
	Evacuated     bool  // Hello, Status: evacuated
	EvacuationSeq int64 // Hello, Status: the number of that change, of all that either knew of
	Ready         bool  // Hello, Status: ready to serve
	UnknownUntil  int64 // Hello: requests that reached the machine until then (Unix nanoseconds) may repeat a run that the sender does not know
	Execution     Execution
}
