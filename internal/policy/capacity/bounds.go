package capacity

// Program is what bounds the program, and how long what it writes is. Each figure stands here once, and TestBounds holds it against
// the source. 0 is no bound. A change of a bound changes Current; BeforeParts stays, as what it is compared with. Sizes are in bytes,
// intervals in ms.
type ProgramLimits struct {
	MaxTextSize          float64 // bytes of a document that is one text, and of one change of one in parts
	MaxCallBody          float64 // bytes of a message between processes
	RequestOverhead      float64 // of these, kept free beside members' messages
	MaxStatusBody        float64 // bytes of a status that is read
	MaxHistory           float64 // versions of a document that are kept beside the one in force
	MaxProcesses         float64 // processes that act on documents
	MaxDocuments         float64 // documents
	MaxCallers           float64 // among whom a cold server shares out what it takes
	MaxOpenItems         float64 // of a duty that are not over
	MaxMemberConnections float64 // connections of a member
	CompactAfterEntries  float64 // entries of a member's log between two snapshots
	ElectionTicks        float64 // heartbeats that a member may miss
	IdleGrace            float64 // ms that a connection has idled before it gives way
	ReservedDescriptors  float64 // descriptors kept for logs and links
	MaxAdminConnections  float64 // and, at most, for operators
	CallerShare          float64 // of what is left, for the connections of callers
	UpstreamShare        float64 // of what is left at a router, for connections to servers
	ReportInterval       float64 // ms between two reports to the announce service
	GroupRetryInterval   float64 // ms between two polls of a group that doesn't answer
	PollsWhileChanging   float64 // a process polls the group so many times in a lease while a change is under way
	PollsAtRest          float64 // and so many otherwise

	// Of a document in parts; all 0 of a program that has none.
	TenantParts, ServerParts        float64 // of a map
	MaxDocumentSize                 float64 // bytes of a document in parts
	MaxPartSize                     float64 // bytes of a part
	MaxViewSize, MaxPartsAnswerSize float64 // bytes of parts in an answer with what changed, and in one with parts that were requested by name
	RequestSpread                   float64 // ms within which processes that come back together draw the moment at which they request parts
	MaxSnapshotSize                 float64 // bytes of a snapshot in chunks
	MaxCommandSize                  float64 // bytes of an entry of a member's log
	MaxPendingReads                 float64 // polls that wait at a member

	TenantTextSize, ServerTextSize       float64 // bytes of an entry of the map, as it stands in a document
	TenantMessageSize, ServerMessageSize float64 // and within a message or a snapshot, where a text is quoted
	HomeTextSize                         float64 // of a further home of a tenant, as it stands in a document
	TenantStatusSize, ServerStatusSize   float64 // bytes of an entry of a router's status; of a program with parts a tenant has one once it has moved
	ReportSize                           float64 // bytes of a report to the announce service, without the name

	TenantPartTextSize, ServerPartTextSize       float64 // bytes of an entry of the map, as it stands in a part
	TenantPartMessageSize, ServerPartMessageSize float64 // and within a message or a snapshot
	HomePartTextSize                             float64 // of a further home of a tenant, as it stands in a part
	PartMessageSize                              float64 // of a part without entries, with its name, version and digest, within a message or a snapshot
	ProcessMessageSize, ProcessReadMessageSize   float64 // of a process that is registered, within a snapshot, and within a reading of the rules
}

// inParts reports whether a map goes in parts.
func (p ProgramLimits) hasParts() bool { return p.TenantParts > 0 }

// parts is how many a map has: those of tenants and servers, top and head.
func (p ProgramLimits) partCount() float64 { return p.TenantParts + p.ServerParts + 2 }

// BeforeParts is the program that the first results were measured on.
var BeforeParts = ProgramLimits{
	MaxTextSize: 262144, MaxCallBody: 1048576, RequestOverhead: 4096, MaxStatusBody: 65536, MaxHistory: 16, MaxProcesses: 1024, MaxDocuments: 32, MaxCallers: 1024,
	MaxOpenItems: 256, MaxMemberConnections: 128, CompactAfterEntries: 2000, ElectionTicks: 10, IdleGrace: 100, ReservedDescriptors: 16, MaxAdminConnections: 24, CallerShare: 0.6, UpstreamShare: 0.4, ReportInterval: 200, GroupRetryInterval: 100, PollsWhileChanging: 12, PollsAtRest: 3,
	TenantTextSize: 195, ServerTextSize: 154, TenantMessageSize: 222, ServerMessageSize: 177, HomeTextSize: 108, TenantStatusSize: 25, ServerStatusSize: 146, ReportSize: 14,
}

// Current is the program as it is.
var Current = currentProgram()

func currentProgram() ProgramLimits {
	p := BeforeParts
	p.MaxProcesses, p.MaxMemberConnections = 4096, 4608
	p.TenantParts, p.ServerParts, p.MaxDocumentSize, p.MaxPartSize, p.MaxViewSize, p.MaxPartsAnswerSize, p.RequestSpread = 256, 32, 16777216, 65536, 131072, 262144, 2000
	p.MaxStatusBody = 1048576
	p.MaxSnapshotSize, p.MaxCommandSize, p.MaxPendingReads = 67108864, 458752, 8192
	p.TenantPartTextSize, p.ServerPartTextSize, p.TenantPartMessageSize, p.ServerPartMessageSize, p.HomePartTextSize = 100, 104, 116, 120, 54
	p.PartMessageSize, p.ProcessMessageSize, p.ProcessReadMessageSize = 68, 134, 268
	return p
}
