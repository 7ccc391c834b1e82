// Package quorum is how processes ask the group that agrees on the fleet's work, and what is said on the way. A member of
// the group is in the package member: who only asks links none of it.
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

// WordWithin is how long an answer to a word is waited for.
const WordWithin = 2 * time.Second

// DialWithin is how long a connection may take to open.
const DialWithin = 500 * time.Millisecond

// The errors of words.
const (
	WordStranger   = "Stranger"   // of another group
	WordSuperseded = "Superseded" // by a disk that knows more, or a later start
	WordNotLeader  = "NotLeader"  // with the address of the one that leads, where that is known
	WordLost       = "Lost"       // nobody can say what became of it: ask again
	WordNo         = "No"
)

// Founding is what the first members of a group are told.
type Founding struct {
	Group   string              `json:"group"`
	Members []statemachine.Member `json:"members"`
	Terms   lease.Terms         `json:"terms"`
}

// Joining is what a new member is told: the group that it is to be one of, and who to listen to.
type Joining struct {
	ID      string              `json:"id"`
	Members []statemachine.Member `json:"members"`
}

// ID is the number of the group that it founds: the same first members make the same group.
func (f Founding) ID() string {
	slices.SortFunc(f.Members, func(a, b statemachine.Member) int { return strings.Compare(a.Name, b.Name) })
	b, _ := json.Marshal(f)
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:8])
}

// View is what can be read of the group: the table, the journals that were asked for, and who asked may know.
type View struct {
	Terms    lease.Terms                    `json:"terms"`
	Table    *lease.Table                   `json:"table"`
	Journals map[string]*controller.Journal `json:"journals,omitempty"`
	Wall     int64                          `json:"wall"` // the leader's clock as it answered, in Unix milliseconds
}

// Status is what a member is.
type Status struct {
	Name      string              `json:"name"`
	ID        string              `json:"id"`
	Group     string              `json:"group"`
	GroupID   string              `json:"group_id"` // empty: it belongs to none
	State     string              `json:"state"`    // unfounded, unconfirmed, follower, candidate, leader
	Leader    string              `json:"leader"`   // the address of the one that leads, empty for none
	Term      uint64              `json:"term"`
	Applied   uint64              `json:"applied"`
	Commit    uint64              `json:"commit"`
	Starts    uint64              `json:"starts"`
	Syncs     uint64              `json:"syncs"`
	Voter     bool                `json:"voter"`
	Members   []statemachine.Member `json:"members"`
	TermsTTL  int64               `json:"lease_ms"`
	Drift     float64             `json:"drift"`
	Confirmed bool                `json:"confirmed"`
	Format    int                 `json:"format"` // of documents, the highest that it can keep; 0: a build that knows none in parts
}

// Sync is what a process that acts on documents says of itself, to be told what is in force.
type Sync struct {
	User  configstore.User  `json:"user"`
	Has   map[string][]int  `json:"has"`             // the versions whose texts it has, or whose parts it can name
	Bases map[string]int    `json:"bases,omitempty"` // of documents in parts the version that it has whole
	Acts  map[string]int    `json:"acts"`
	Worth configstore.Worth `json:"worth"`
	Stops string            `json:"stops,omitempty"`
	Share *quota.Request    `json:"share,omitempty"` // of a router that shares cells with others; nil: it does not
}

// Synced is what it is told.
type Synced struct {
	Terms lease.Terms                 `json:"terms"`
	Index uint64                      `json:"index"` // of the log, up to which this is told
	Wall  int64                       `json:"wall"`  // the leader's clock as it answered, in Unix milliseconds
	Docs  map[string]configstore.View `json:"docs"`
	Grant *quota.Grant                `json:"grant,omitempty"`
}

// Rules is what can be read of the documents: the book, and what the group's leader has heard of those that use it.
type Rules struct {
	Book  *configstore.Book            `json:"book"`
	Heard map[string]configstore.Heard `json:"heard"`
	Terms lease.Terms                  `json:"terms"`
	Wall  int64                        `json:"wall"`
	Lent  map[string]float64           `json:"lent,omitempty"` // by cell, the most that routers may be acting on, of what there is to lend
}

// Parts are parts of a version of a document, or without their texts its manifest.
type Parts struct {
	ID    configstore.ID              `json:"id"`
	Parts map[string]configstore.Part `json:"parts"`
}
