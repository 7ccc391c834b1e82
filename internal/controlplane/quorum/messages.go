package quorum

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/controller"
	"silverpath/internal/policy/lease"
	"silverpath/internal/policy/quota"
	"silverpath/internal/policy/statemachine"
)

// Methods of the group's protocol, with their names on the wire.
const (
	MethodDo           = "group.do"     // from clients: a statemachine.Command to append to the log
	MethodRenew        = "group.renew"  // from clients: a lease renewal, which only the leader records
	MethodRead         = "group.read"   // from clients: reads the replicated state
	MethodStatus       = "group.status" // from clients: the Status of a member
	MethodBootstrap    = "group.found"  // from an operator: a Bootstrap
	MethodJoin         = "group.join"   // from an operator: a Join
	MethodAdd          = "group.add"    // from an operator: a statemachine.Member
	MethodRemove       = "group.remove" // from an operator: a statemachine.Member
	MethodConfigSync   = "rules.sync"   // from processes that use configuration documents: a ConfigSync
	MethodConfigRead   = "rules.read"   // from clients: reads all documents
	MethodConfigParts  = "rules.parts"  // from processes that use documents in parts: a configstore.PartsRequest
	MethodRaft         = "group.raft"   // between members: messages of the raft library
	MethodVouch        = "group.vouch"  // between members: asks whether the sender's disk is at least as new as its recorded mark
	MethodMark         = "group.mark"   // between members: the term and commit index on the sender's disk
	MethodSnapshotPart = "group.chunk"  // between members: one part of a snapshot
)

// Error codes of replies, with their names on the wire.
const (
	CodeWrongGroup     = "Stranger"   // the request names another group
	CodeSuperseded     = "Superseded" // the sender's disk is older than its recorded mark, or a later start of that disk was seen
	CodeNotLeader      = "NotLeader"  // the field "leader" has the leader's address if it is known
	CodeUnknownOutcome = "Lost"       // the request may have been executed or not: retry it
	CodeRefused        = "No"         // the field "why" has the reason
)

// Timeouts of calls to a member.
const (
	CallTimeout = 2 * time.Second        // from the call to its reply: longer than a member takes to notice an election
	DialTimeout = 500 * time.Millisecond // to open a connection: several round trips of a slow link
)

// Bootstrap creates a group. All first members receive the same Bootstrap.
type Bootstrap struct {
	Group   string                `json:"group"`
	Members []statemachine.Member `json:"members"`
	Terms   lease.Terms           `json:"terms"`
}

// Join assigns a new member to a group: the group's ID and its present members.
type Join struct {
	ID      string                `json:"id"`
	Members []statemachine.Member `json:"members"`
}

// groupIDBytes is the length of a group's ID, which must be unique among the groups of one network.
const groupIDBytes = 8

// ID returns the ID of the group that a bootstrap creates. The same name, terms and members, in any order, give the same ID. It is a
// digest of the JSON encoding, which must not change. ID sorts the members.
func (b Bootstrap) ID() string {
	slices.SortFunc(b.Members, func(x, y statemachine.Member) int { return strings.Compare(x.Name, y.Name) })
	encoded, _ := json.Marshal(b) // strings and numbers only: Marshal cannot fail
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:groupIDBytes])
}

// StateView is the reply to MethodRead: the lease table and the requested journals.
type StateView struct {
	Terms    lease.Terms                    `json:"terms"`
	Table    *lease.Table                   `json:"table"`
	Journals map[string]*controller.Journal `json:"journals,omitempty"`
	Wall     int64                          `json:"wall"` // the leader's wall clock at the time of the reply, in Unix milliseconds
}

// Values of Status.State.
const (
	StateNoGroup     = "unfounded"   // the disk is empty: the member belongs to no group
	StateUnconfirmed = "unconfirmed" // no majority has vouched for the disk yet: the member does not vote
	StateFollower    = "follower"
	StateCandidate   = "candidate"
	StateLeader      = "leader"
)

// Status describes a member, its disk and its view of the group.
type Status struct {
	Name      string                `json:"name"`
	ID        string                `json:"id"` // of the disk, 16 hex digits
	Group     string                `json:"group"`
	GroupID   string                `json:"group_id"` // empty: the member belongs to no group
	State     string                `json:"state"`
	Leader    string                `json:"leader"` // the leader's address; empty: unknown
	Term      uint64                `json:"term"`
	Applied   uint64                `json:"applied"` // index of the last entry that this member has applied
	Commit    uint64                `json:"commit"`  // index of the last entry that this member knows to be committed
	Starts    uint64                `json:"starts"`  // number of process starts on this disk
	Syncs     uint64                `json:"syncs"`   // number of synced disk writes since the process started
	Voter     bool                  `json:"voter"`
	Members   []statemachine.Member `json:"members"`
	LeaseMS   int64                 `json:"lease_ms"`
	Drift     float64               `json:"drift"`
	Confirmed bool                  `json:"confirmed"`
	Format    int                   `json:"format"` // highest document format that this build stores; 0: a build without documents in parts
}

// ConfigSync is the report of a process that uses configuration documents. The reply has the active and proposed versions.
type ConfigSync struct {
	Process        configstore.Process `json:"user"`
	HasVersions    map[string][]int    `json:"has"`             // by document: versions whose text, or whose part names, the process has
	BaseVersions   map[string]int      `json:"bases,omitempty"` // by document in parts: the version that the process has complete
	ActiveVersions map[string]int      `json:"acts"`            // by document: the version that the process applies
	Load           configstore.Goodput `json:"worth"`
	StopReason     string              `json:"stops,omitempty"` // why the process may not start exclusive work; empty: it may
	Quota          *quota.Request      `json:"share,omitempty"` // set by a router that shares cells with other routers
}

// ConfigSyncReply is the reply to a ConfigSync.
type ConfigSyncReply struct {
	Terms lease.Terms                 `json:"terms"`
	Index uint64                      `json:"index"` // of the last log entry that the reply reflects
	Wall  int64                       `json:"wall"`  // as in StateView
	Docs  map[string]configstore.View `json:"docs"`
	Grant *quota.Grant                `json:"grant,omitempty"`
}

// ConfigView is the reply to MethodConfigRead: the documents, and the latest reports of the processes that use them.
type ConfigView struct {
	Store   *configstore.Store                   `json:"book"`
	Reports map[string]configstore.ProcessReport `json:"heard"`
	Terms   lease.Terms                          `json:"terms"`
	Wall    int64                                `json:"wall"` // as in StateView
	// GrantedQuota is, by cell, the ratio of the quota that routers may be using to the cell's capacity.
	GrantedQuota map[string]float64 `json:"lent,omitempty"`
}

// DocumentParts is the reply to MethodConfigParts: the requested parts of a version of a document, or its manifest, which lists all
// parts without their texts.
type DocumentParts struct {
	ID    configstore.ID              `json:"id"`
	Parts map[string]configstore.Part `json:"parts"`
}
