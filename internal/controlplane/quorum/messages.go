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

// Methods of the group's requests, by their names on the wire.
const (
	MethodDo           = "group.do"     // from clients: a statemachine.Command, put into the log
	MethodRenew        = "group.renew"  // from clients: the renewal of a lease, noted by the leader alone
	MethodRead         = "group.read"   // from clients: what is agreed on
	MethodStatus       = "group.status" // from clients: what a member is
	MethodFound        = "group.found"  // from an operator: a Bootstrap
	MethodJoin         = "group.join"   // from an operator: a Join
	MethodAdd          = "group.add"    // from an operator: a statemachine.Member
	MethodRemove       = "group.remove" // from an operator: a statemachine.Member
	MethodConfigSync   = "rules.sync"   // from processes that act on documents: a ConfigSync
	MethodConfigRead   = "rules.read"   // from clients: all documents
	MethodConfigParts  = "rules.parts"  // from processes that act on documents in parts: a configstore.PartsRequest
	MethodRaft         = "group.raft"   // between members: messages of the raft library
	MethodVouch        = "group.vouch"  // between members: is my disk as new as you know it?
	MethodMark         = "group.mark"   // between members: how far my disk is
	MethodSnapshotPart = "group.chunk"  // between members: a piece of a snapshot
)

// Codes of errors in replies, by their names on the wire.
const (
	CodeWrongGroup     = "Stranger"   // the request is for another group
	CodeSuperseded     = "Superseded" // the sender's disk is older than one that was seen, or a later start of it was
	CodeNotLeader      = "NotLeader"  // with the leader's address in the field "leader", where it is known
	CodeUnknownOutcome = "Lost"       // nobody can say what became of the request: ask again
	CodeRefused        = "No"         // with the reason in the field "why"
)

// Bounds of a call between members or to one.
const (
	CallTimeout = 2 * time.Second        // until the reply: longer than an election takes to be noticed
	DialTimeout = 500 * time.Millisecond // until a connection is open: several round trips of a slow link
)

// Bootstrap is what the first members of a group are told.
type Bootstrap struct {
	Group   string                `json:"group"`
	Members []statemachine.Member `json:"members"`
	Terms   lease.Terms           `json:"terms"`
}

// Join is what a new member is told: the group that it is to be one of, and its members.
type Join struct {
	ID      string                `json:"id"`
	Members []statemachine.Member `json:"members"`
}

// groupIDBytes of a digest make a group's ID: two groups of one network are not taken for each other.
const groupIDBytes = 8

// ID is the number of the group that a bootstrap founds: the same first members make the same group. It is a digest of the JSON, whose
// form must not change.
func (b Bootstrap) ID() string {
	slices.SortFunc(b.Members, func(x, y statemachine.Member) int { return strings.Compare(x.Name, y.Name) })
	text, _ := json.Marshal(b) // strings and numbers: it does not fail
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:groupIDBytes])
}

// StateView is what can be read of the group: the table and the journals that were asked for.
type StateView struct {
	Terms    lease.Terms                    `json:"terms"`
	Table    *lease.Table                   `json:"table"`
	Journals map[string]*controller.Journal `json:"journals,omitempty"`
	Wall     int64                          `json:"wall"` // the leader's wall clock as it answered, in Unix milliseconds
}

// States of a member, in a Status.
const (
	StateUnfounded   = "unfounded"   // its disk is empty: it belongs to no group
	StateUnconfirmed = "unconfirmed" // the others have not vouched for its disk yet: it has no vote
	StateFollower    = "follower"
	StateCandidate   = "candidate"
	StateLeader      = "leader"
)

// Status is what a member is.
type Status struct {
	Name      string                `json:"name"`
	ID        string                `json:"id"` // of its disk, 16 hex digits
	Group     string                `json:"group"`
	GroupID   string                `json:"group_id"` // empty: it belongs to none
	State     string                `json:"state"`
	Leader    string                `json:"leader"` // the leader's address, empty where none is known
	Term      uint64                `json:"term"`
	Applied   uint64                `json:"applied"` // index of the last entry that is applied here
	Commit    uint64                `json:"commit"`  // index of the last entry that is known to be agreed
	Starts    uint64                `json:"starts"`  // of the program on this disk
	Syncs     uint64                `json:"syncs"`   // writes to the disk since the start
	Voter     bool                  `json:"voter"`
	Members   []statemachine.Member `json:"members"`
	LeaseMS   int64                 `json:"lease_ms"`
	Drift     float64               `json:"drift"`
	Confirmed bool                  `json:"confirmed"`
	Format    int                   `json:"format"` // of documents, the highest that it can keep; 0: a build that knows none in parts
}

// ConfigSync is what a process that acts on documents says of itself, to be told what is in force.
type ConfigSync struct {
	Process        configstore.Process `json:"user"`
	HasVersions    map[string][]int    `json:"has"`             // by document: the versions whose texts it has, or whose parts it can name
	BaseVersions   map[string]int      `json:"bases,omitempty"` // by document in parts: the version that it has complete
	ActiveVersions map[string]int      `json:"acts"`            // by document: the version that it acts on
	Load           configstore.Goodput `json:"worth"`
	StopReason     string              `json:"stops,omitempty"` // why nothing exclusive begins there
	Quota          *quota.Request      `json:"share,omitempty"` // of a router that shares cells with others; nil: it does not
}

// ConfigSyncReply is what the process is told.
type ConfigSyncReply struct {
	Terms lease.Terms                 `json:"terms"`
	Index uint64                      `json:"index"` // of the log, up to which this is told
	Wall  int64                       `json:"wall"`  // as in StateView
	Docs  map[string]configstore.View `json:"docs"`
	Grant *quota.Grant                `json:"grant,omitempty"`
}

// ConfigView is what can be read of the documents, and what the leader has heard of the processes that use them.
type ConfigView struct {
	Store   *configstore.Store                   `json:"book"`
	Reports map[string]configstore.ProcessReport `json:"heard"`
	Terms   lease.Terms                          `json:"terms"`
	Wall    int64                                `json:"wall"` // as in StateView
	// GrantedQuota is by cell the most that routers may be acting on, as a share of what there is to grant.
	GrantedQuota map[string]float64 `json:"lent,omitempty"`
}

// DocumentParts are parts of a version of a document, or, without their texts, its manifest.
type DocumentParts struct {
	ID    configstore.ID              `json:"id"`
	Parts map[string]configstore.Part `json:"parts"`
}
