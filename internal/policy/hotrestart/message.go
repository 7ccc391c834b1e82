package hotrestart

import "time"

// Stage is the progress of a run, as sent to the peer. Its numbers are part of the link's protocol.
type Stage uint8

// The stages of a run.
const (
	Queued    Stage = iota // accepted, not begun
	Running                // it may have run
	Succeeded              // it has a result
	Failed                 // it may have run, and has no result
)

// Execution is the one run of an idempotent request.
type Execution struct {
	Key, ID     string
	Fingerprint uint64        // of the request; every attempt must have the same
	ReceivedAt  int64         // Unix nanoseconds at which the attempt that is run was received
	ExpiresAt   int64         // Unix nanoseconds after which no attempt of the request arrives
	Window      time.Duration // period in which its attempts may arrive
	Stage       Stage
	Result      []byte
	Remote      bool // it is a run of the peer; not sent on the link
}

// Executions is the core's table of keys: this process's runs of idempotent requests and the runs that the peer has reported.
type Executions interface {
	// Find returns the run, of either process, that an attempt received at receivedAt (Unix nanoseconds) repeats.
	Find(key string, receivedAt int64) (Execution, bool)
	// Apply records the reported stage of a run of the peer.
	Apply(e Execution)
	// Forget deletes a run of the peer that was abandoned before it began.
	Forget(key string)
	// Local returns the runs of this process whose windows have not ended.
	Local() []Execution
	// PeerLost is called when the peer is dead. Its unfinished runs are marked as failed if they may have run, and deleted otherwise.
	PeerLost(mayHaveRun func(e Execution) bool)
	// Retain deletes the unfinished runs of the peer that it did not list.
	Retain(listed func(key string) bool)
}

// Kind is the kind of a message. Its numbers are part of the link's protocol.
type Kind uint8

// The kinds of messages.
const (
	Hello        Kind = iota + 1 // the first message of a link, which identifies the sender
	Status                       // readiness and evacuation of the sender
	Run                          // the stage of a run of the sender
	Released                     // the sender abandoned a run before it began, or released a key that it was granted
	SyncComplete                 // the sender has listed all its runs
	Claim                        // the sender requests to run a key
	Grant                        // the claim is granted
	Denied                       // the claim is denied; a Run message with the known run precedes it
)

// Message is a message between the two processes.
type Message struct {
	Kind          Kind
	StartedAt     int64 // Hello: the sender's start in Unix nanoseconds, which identifies it
	PeerStartedAt int64 // Hello: start of the process that the sender expects as its peer; 0 for none
	Sole          bool  // Hello: the sender has served alone
	Evacuated     bool  // Hello, Status: the service is evacuated
	EvacuationSeq int64 // Hello, Status: sequence number of the latest evacuation change
	Ready         bool  // Hello, Status: the sender is ready to serve
	UnknownUntil  int64 // Hello: requests received until then (Unix nanoseconds) may repeat a run that is unknown to the sender
	Execution     Execution
}
