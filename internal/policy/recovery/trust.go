package recovery

// Trust says how a process uses a kind of state after an outage.
type Trust uint8

// The kinds of trust.
const (
	Trusted           Trust = iota // used as stored: it is checksummed and synced, and its identity is checked when it is read
	AfterConfirmation              // used only after other processes, or a newer source, have confirmed it
	Discarded                      // not used
)

// String returns the trust's name in operators' output.
func (t Trust) String() string { return [...]string{"trusted", "once confirmed", "never"}[t] }

// StateKind is one kind of state.
type StateKind struct {
	Name   string
	Files  []string // source files that write it to disk; none if it is kept in memory only
	Trust  Trust
	Reason string // why, and how it is verified or confirmed
}

// StateTable lists all state that a process could use after an outage. A test fails for a source file that writes to disk and is not
// listed.
var StateTable = []StateKind{
	{"log, terms and votes of the group", []string{"internal/controlplane/quorum/member/store.go"}, Trusted,
		"each is one synced transaction; a disk that is older than the messages sent from it is detected by marks that other members keep"},
	{"epochs and steps of commands that a server accepted", []string{"internal/policy/fence/file.go"}, Trusted, "checksummed; a torn file counts as missing, and the group is queried"},
	{"runs of keyed requests", []string{"internal/storage/idempotencystore/store.go", "internal/storage/idempotencystore/load.go",
		"internal/storage/idempotencystore/file.go", "internal/storage/idempotencystore/rewrite.go"}, Trusted,
		"each has a checksum and the service's name; an unreadable file is set aside, and the record of runs is then incomplete"},
	{"the last heartbeat", []string{"internal/storage/heartbeat/heartbeat.go"}, Trusted, "checksummed, with the names of service, machine and boot"},
	{"last map of a router", []string{"internal/proxy/filesource.go", "internal/proxy/statefile.go"}, AfterConfirmation, "reads use it at once; idempotent requests use it after the group, or the file within its lease, has confirmed it"},
	{"the folder of maps", []string{"internal/proxy/versiondir.go"}, AfterConfirmation, "each version is written once; versions and digests are compared with those that routers and servers report"},
	{"the lock of a map's file", []string{"internal/proxy/change.go"}, Discarded, "the operating system releases the lock when its process ends"},
	{"marks and slots of two processes of a service", []string{"internal/transport/restartlink/link.go", "internal/transport/restartlink/slots.go"}, Discarded,
		"they are stored in a folder that does not survive a power loss, and refer to processes that have ended"},
	{"files that are replaced atomically", []string{"internal/storage/atomicfile/atomicfile.go"}, Trusted, "each is complete or absent; the state that they hold is listed separately"},
	{"leases and grants held", nil, Discarded, "their times are those of an ended process's clock"},
	{"measured health, latency and limits", nil, Discarded, "they describe earlier states of other processes and of a warm machine"},
	{"requests in flight", nil, Discarded, "an intent in the store records which of them may have run"},
	{"evacuations", nil, Discarded, "a command that is in effect is in the controller's journal, and is sent again"},
}
