package simulator

// The codes of events, by which a record begins.
const (
	CodeOutcome uint8 = iota + 1
	CodeRequest
	CodeStop
	CodeListUpdate
	CodeStart
	CodePeerMessage
	CodeStreamStarted
	CodeDisconnect
	CodeServerList
	CodeTimer
	CodeProbeResult
)

// ResultCode is how an attempt or a probe has ended.
type ResultCode uint16

// The results. The wire's other names: miss, full, timeout, moot.
const (
	ResultOK              ResultCode = 100
	ResultMisdirected     ResultCode = 101
	ResultServerError     ResultCode = 301
	ResultOverloaded      ResultCode = 302
	ResultTimedOut        ResultCode = 303
	ResultConnectFailed   ResultCode = 304
	ResultConnectionReset ResultCode = 305
	ResultCancelled       ResultCode = 306
	ResultNotSent         ResultCode = 307
)

func (r ResultCode) valid() bool {
	return r == ResultOK || r == ResultMisdirected || r >= ResultServerError && r <= ResultNotSent
}

// ListKind is how a list relates to the one before it.
type ListKind uint8

// The kinds of a list.
const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // all entries
	ListCached                 // all entries, as the instance had them last
	ListFailed                 // a call failed or the subscription broke; no entries
)

// Availability is what a list says of a server.
type Availability uint8

// The availabilities.
const (
	Removed Availability = iota
	Ready
	Draining
)

// ServerEntry is one line of a list.
type ServerEntry struct {
	Server       uint32
	Zone, Kind   uint16
	Group        uint16 // cell
	Availability Availability
	Head         float32 // 1: the list takes it for its group's primary
	Power        float32
	StartedMs    float64
}

// Batch is one frame of events. Their byte slices point into the frame.
type Batch struct {
	Number  uint32
	ClockMs float64
	Events  []Event
}

// Event is one record of a batch: a message to one instance of a pooler, or, for a ServerList, to all of the process.
type Event struct {
	Instance uint16 // who
	Message  Message
}

// Message is what an event says: one of the types of this file with this method.
type Message interface{ code() uint8 }

// Start begins an instance, with its settings as JSON. Its wire name is spawn.
type Start struct {
	Seed     uint64
	Settings []byte
}

// Stop ends an instance. Its wire name is down.
type Stop struct{}

// ServerList brings a list under a number, for later ListUpdates.
type ServerList struct {
	Slot    uint16
	Entries []ServerEntry
}

// ListUpdate tells an instance of a list. Its wire name is targets.
type ListUpdate struct {
	Kind    ListKind
	Version uint32
	Slot    uint16 // of the ServerList; none for ListFailed
}

// Request is a client's request. Its wire name is call.
type Request struct {
	ID               uint32
	Class            uint16 // lane
	Session          uint64
	TimeoutMs        float64 // patienceLeftMs
	CostHintMs       float64
	Group            float32 // cluster: a whole number
	SinceLastWriteMs float32
	State            uint8 // bits: 1 the cost hint is valid, 2 a client's retry, 4 a write
}

// Disconnect says that nobody waits for a request any more. Its wire name is gone.
type Disconnect struct{ RequestID uint32 }

// Outcome is the end of an attempt.
type Outcome struct {
	RequestID     uint32
	RolePosition  uint32 // position * 4 + role
	Attempt       uint8  // roundNo
	ElapsedMs     float64
	Result        ResultCode
	Server        uint32
	RequestClosed bool // nothing more is owed for the request
	Report        []float32
}

// StreamStarted says that an answer has begun to come. Its wire name is started.
type StreamStarted struct {
	RequestID uint32
	ElapsedMs float64
	Server    uint32
	Attempt   uint8
}

// ProbeResult is the end of a probe. Its wire name is echo.
type ProbeResult struct {
	Server    uint32
	Result    ResultCode
	ElapsedMs float64
	Report    []float32
}

// PeerMessage is a message from another instance. Its wire name is inbox.
type PeerMessage struct {
	Sender  uint16
	Content []byte
}

// Timer says that the time of a SetTimer has come. Its wire name is elapsed.
type Timer struct{ Mark uint32 }

func (Outcome) code() uint8       { return CodeOutcome }
func (Request) code() uint8       { return CodeRequest }
func (Stop) code() uint8          { return CodeStop }
func (ListUpdate) code() uint8    { return CodeListUpdate }
func (Start) code() uint8         { return CodeStart }
func (PeerMessage) code() uint8   { return CodePeerMessage }
func (StreamStarted) code() uint8 { return CodeStreamStarted }
func (Disconnect) code() uint8    { return CodeDisconnect }
func (ServerList) code() uint8    { return CodeServerList }
func (Timer) code() uint8         { return CodeTimer }
func (ProbeResult) code() uint8   { return CodeProbeResult }
