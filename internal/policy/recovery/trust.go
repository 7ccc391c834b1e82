package recovery

// Trust is what is made of something that a process finds, or remembers, after an outage.
type Trust uint8

// The kinds of trust.
const (
	Trusted           Trust = iota // as it stands: checksummed, synced, and of this identity, which is checked as it is read
	AfterConfirmation              // only once others, or a newer source, have confirmed it
	Discarded                      // it is thrown away
)

// String names the trust, in the words of what operators are shown.
func (t Trust) String() string { return [...]string{"trusted", "once confirmed", "never"}[t] }

// StateKind is one kind of state.
type StateKind struct {
	Name   string
	Files  []string // the files of this program that write it to disks; none: it is in memory alone
	Trust  Trust
	Reason string // and how it is made sure, or confirmed
}

// StateTable has all state that a process could go by after an outage. A file that writes to disks and has no line here fails a test.
var StateTable = []StateKind{
	{"the group's log, terms and votes", []string{"internal/controlplane/quorum/member/store.go"}, Trusted,
		"one synced transaction each; a disk older than its messages is found by marks that others keep"},
	{"epochs and steps of commands that a server took", []string{"internal/policy/fence/file.go"}, Trusted, "a checksum; a torn file is none, and the group is asked"},
	{"runs of keyed requests", []string{"internal/storage/idempotencystore/store.go", "internal/storage/idempotencystore/load.go",
		"internal/storage/idempotencystore/file.go", "internal/storage/idempotencystore/rewrite.go"}, Trusted,
		"a checksum each, and the service's name; what can't be read is set aside, and then not all is known"},
	{"the last heartbeat", []string{"internal/storage/heartbeat/heartbeat.go"}, Trusted, "a checksum, and the names of service, machine and boot"},
	{"a router's last map", []string{"internal/proxy/filesource.go", "internal/proxy/statefile.go"}, AfterConfirmation, "reads go by it; idempotent requests once the group, or the file within its lease, confirms it"},
	{"the folder of maps", []string{"internal/proxy/versiondir.go"}, AfterConfirmation, "places are written once; versions and digests are compared with what routers and servers say"},
	{"the lock of a map's file", []string{"internal/proxy/change.go"}, Discarded, "the system's lock ends with its process"},
	{"marks and slots of two processes of a service", []string{"internal/transport/restartlink/link.go", "internal/transport/restartlink/slots.go"}, Discarded,
		"they stand in a folder that a loss of power empties, and speak of processes that are gone"},
	{"files that are replaced atomically", []string{"internal/storage/atomicfile/atomicfile.go"}, Trusted, "complete or not at all; what stands in them has its own line"},
	{"leases and grants held", nil, Discarded, "they count by a clock of a process that is gone"},
	{"health, latency and limits that were found", nil, Discarded, "of others as they were, and of a machine that was warm"},
	{"requests in flight", nil, Discarded, "an intent on the disk says what of them may have run"},
	{"who was evacuated", nil, Discarded, "a command that stands is in the controller's journal, and is given again"},
}
