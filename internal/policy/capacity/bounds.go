package capacity

// ProgramLimits has the limits of the program and the sizes of the data that it writes. TestBounds compares the limits with the source
// and TestSizes the sizes with encoded data. 0 means no limit. A change of a limit changes Current; BeforeParts stays as the version that
// Current is compared with. Sizes are in bytes, intervals in ms.
type ProgramLimits struct {
	MaxTextSize          float64 // bytes of a document stored as one text, and of one change of a document in parts
	MaxCallBody          float64 // bytes of a message between processes
	RequestOverhead      float64 // bytes of MaxCallBody that a call between members leaves free for its other fields
	MaxStatusBody        float64 // bytes of a status reply
	MaxHistory           float64 // earlier versions kept of a document, besides the active one
	MaxProcesses         float64 // registered processes that apply documents
	MaxDocuments         float64 // documents in the configuration store
	MaxCallers           float64 // callers among which a server in slow start divides its capacity
	MaxOpenItems         float64 // unfinished items of a controller's journal
	MaxMemberConnections float64 // connections that a member accepts
	CompactAfterEntries  float64 // log entries of a member between two snapshots
	ElectionTicks        float64 // heartbeat intervals without a heartbeat after which a member starts an election
	IdleGrace            float64 // ms that a connection is idle before a new one may replace it
	ReservedDescriptors  float64 // descriptors reserved for logs and links
	MaxAdminConnections  float64 // most descriptors reserved for operators' connections
	CallerShare          float64 // fraction of the remaining descriptors for callers' connections
	UpstreamShare        float64 // fraction of a router's remaining descriptors for connections to servers
	ReportInterval       float64 // ms between two reports of a server to the announce service
	GroupRetryInterval   float64 // ms between two polls of a group that does not answer
	PollsWhileChanging   float64 // polls of the group per lease by one process while a change is in progress
	PollsAtRest          float64 // polls of the group per lease by one process otherwise

	// Limits of documents in parts; 0 in a program without parts.
	TenantParts, ServerParts        float64 // parts of a map for tenants and for servers
	MaxDocumentSize                 float64 // bytes of a document in parts
	MaxPartSize                     float64 // bytes of a part
	MaxViewSize, MaxPartsAnswerSize float64 // bytes of parts in a reply with the changed parts, and in one with parts requested by name
	RequestSpread                   float64 // ms; a process waits a random part of it before it requests all parts, which spreads the load of a returning zone
	MaxSnapshotSize                 float64 // bytes of a snapshot in chunks
	MaxCommandSize                  float64 // bytes of one entry of a member's log
	MaxPendingReads                 float64 // polls that wait for an answer at a member

	TenantTextSize, ServerTextSize       float64 // bytes of one tenant's or server's entry in the text of a map
	TenantMessageSize, ServerMessageSize float64 // the same within a message or a snapshot, where the text is a quoted string
	HomeTextSize                         float64 // bytes of each additional home of a tenant in the text of a map
	TenantStatusSize, ServerStatusSize   float64 // bytes of one entry of a router's status; with parts, only moved tenants have one
	ReportSize                           float64 // bytes of a report to the announce service, without the server's name

	TenantPartTextSize, ServerPartTextSize       float64 // bytes of one tenant's or server's entry in the text of a part
	TenantPartMessageSize, ServerPartMessageSize float64 // the same within a message or a snapshot
	HomePartTextSize                             float64 // bytes of each additional home of a tenant in the text of a part
	PartMessageSize                              float64 // bytes of a part without entries within a message or a snapshot
	ProcessMessageSize, ProcessReadMessageSize   float64 // bytes of a registered process in a snapshot, and in a reply with the store
}

// hasParts reports whether the program splits a map into parts.
func (p ProgramLimits) hasParts() bool { return p.TenantParts > 0 }

// partCount returns the number of parts of a map: those of tenants, those of servers, and the parts top and head.
func (p ProgramLimits) partCount() float64 { return p.TenantParts + p.ServerParts + 2 }

// BeforeParts has the limits of the program without document parts, which docs/results/scale-was.json was measured on.
var BeforeParts = ProgramLimits{
	MaxTextSize: 262144, MaxCallBody: 1048576, RequestOverhead: 4096, MaxStatusBody: 65536, MaxHistory: 16, MaxProcesses: 1024, MaxDocuments: 32, MaxCallers: 1024,
	MaxOpenItems: 256, MaxMemberConnections: 128, CompactAfterEntries: 2000, ElectionTicks: 10, IdleGrace: 100, ReservedDescriptors: 16, MaxAdminConnections: 24, CallerShare: 0.6, UpstreamShare: 0.4, ReportInterval: 200, GroupRetryInterval: 100, PollsWhileChanging: 12, PollsAtRest: 3,
	TenantTextSize: 195, ServerTextSize: 154, TenantMessageSize: 222, ServerMessageSize: 177, HomeTextSize: 108, TenantStatusSize: 25, ServerStatusSize: 146, ReportSize: 14,
}

// Current has the limits of this version of the program.
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
