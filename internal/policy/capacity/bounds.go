package capacity

// Program is what bounds the program, and how long what it writes is. Each figure stands here once, and TestBounds holds it against
// the source. 0 is no bound. A change of a bound changes Now; AsItWas stays, as what it is compared with.
type Program struct {
	LongestText   float64 // bytes of a document that is one text, and of one change of one in parts
	LongestWord   float64 // bytes of a word between processes
	WordRest      float64 // of these, kept free beside members' messages
	LongestResult float64 // bytes of a status that is read
	History       float64 // versions of a document that are kept beside the one in force
	Users         float64 // processes that act on documents
	Docs          float64 // documents
	Callers       float64 // that a cold server shares out among
	OpenItems     float64 // of a duty that are not over
	MemberConns   float64 // connections of a member
	CompactEvery  float64 // entries of a member's log between two snapshots
	ElectionTicks float64 // heartbeats that a member may miss
	IdleGrace     float64 // ms that a connection has idled before it gives way
	Spare         float64 // descriptors kept for logs and links
	Mgmt          float64 // and, at most, for operators
	FrontShare    float64 // of what is left, for the connections of callers
	HomeShare     float64 // of what is left at a router, for connections to servers
	Announce      float64 // ms between two reports to the announce service
	Unheard       float64 // ms between two askings of a group that doesn't answer
	TurnPart      float64 // a process asks the group so many times in a lease while a change is under way
	RestPart      float64 // and so many otherwise

	// Of a document in parts; all 0 of a program that has none.
	TenantParts, ServerParts float64 // of a map
	LongestDocument          float64 // bytes of a document in parts
	LongestPart              float64 // bytes of a part
	TellBudget, SendBudget   float64 // bytes of parts in an answer that tells what changed, and in one to who asks for parts by name
	Spread                   float64 // ms within which those who come back together draw the moment at which they ask for parts
	LongestSnapshot          float64 // bytes of a snapshot in chunks
	LongestCommand           float64 // bytes of an entry of a member's log
	Reads                    float64 // askings that wait at a member

	TenantText, ServerText     float64 // bytes of an entry of the map, as it stands in a document
	TenantWord, ServerWord     float64 // and within a word or a snapshot, where a text is quoted
	HomeText                   float64 // of a further home of a tenant, as it stands in a document
	TenantStatus, ServerStatus float64 // bytes of an entry of a router's status; of a program with parts a tenant has one once it has moved
	Report                     float64 // bytes of a report to the announce service, without the name

	TenantPartText, ServerPartText float64 // bytes of an entry of the map, as it stands in a part
	TenantPartWord, ServerPartWord float64 // and within a word or a snapshot
	HomePartText                   float64 // of a further home of a tenant, as it stands in a part
	PartWord                       float64 // of a part without entries, with its name, version and digest, within a word or a snapshot
	UserWord, UserReadWord         float64 // of a process that is registered, within a snapshot, and within a reading of the rules
}

// inParts reports whether a map goes in parts.
func (p Program) inParts() bool { return p.TenantParts > 0 }

// parts is how many a map has: those of tenants and servers, top and head.
func (p Program) parts() float64 { return p.TenantParts + p.ServerParts + 2 }

// AsItWas is the program that the first results were measured on.
var AsItWas = Program{
	LongestText: 262144, LongestWord: 1048576, WordRest: 4096, LongestResult: 65536, History: 16, Users: 1024, Docs: 32, Callers: 1024,
	OpenItems: 256, MemberConns: 128, CompactEvery: 2000, ElectionTicks: 10, IdleGrace: 100, Spare: 16, Mgmt: 24, FrontShare: 0.6, HomeShare: 0.4, Announce: 200, Unheard: 100, TurnPart: 12, RestPart: 3,
	TenantText: 195, ServerText: 154, TenantWord: 222, ServerWord: 177, HomeText: 108, TenantStatus: 25, ServerStatus: 146, Report: 14,
}

// Now is the program as it is.
var Now = now()

func now() Program {
	p := AsItWas
	p.Users, p.MemberConns = 4096, 4608
	p.TenantParts, p.ServerParts, p.LongestDocument, p.LongestPart, p.TellBudget, p.SendBudget, p.Spread = 256, 32, 16777216, 65536, 131072, 262144, 2000
	p.LongestResult = 1048576
	p.LongestSnapshot, p.LongestCommand, p.Reads = 67108864, 458752, 8192
	p.TenantPartText, p.ServerPartText, p.TenantPartWord, p.ServerPartWord, p.HomePartText = 100, 104, 116, 120, 54
	p.PartWord, p.UserWord, p.UserReadWord = 68, 134, 268
	return p
}
