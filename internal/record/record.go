package record

// Version is the version of the segment format. A reader rejects a segment of a later version with ErrNewerVersion.
// Adding a field needs no new version, because readers ignore unknown keys.
const Version = 1

// Record is an entry of a segment.
//
//sumtype:decl
type Record interface {
	// TimeMS returns the record's time on its router's clock, in milliseconds.
	TimeMS() float64
	// kind returns the kind that identifies the record's type in its frame. Being unexported, it also keeps other
	// packages from implementing the interface.
	kind() Kind
}

// TimeMS implements Record.
func (r *Header) TimeMS() float64 { return r.ClockMS }

// TimeMS implements Record.
func (r *EngineChange) TimeMS() float64 { return r.AtMS }

// TimeMS implements Record.
func (r *Interval) TimeMS() float64 { return r.AtMS }

// TimeMS implements Record.
func (r *RequestFailure) TimeMS() float64 { return r.AtMS }

// TimeMS implements Record.
func (r *Event) TimeMS() float64 { return r.AtMS }

// TimeMS implements Record.
func (r *Gap) TimeMS() float64 { return r.AtMS }

func (r *Header) kind() Kind         { return KindHeader }
func (r *EngineChange) kind() Kind   { return KindEngineChange }
func (r *Interval) kind() Kind       { return KindInterval }
func (r *RequestFailure) kind() Kind { return KindRequestFailure }
func (r *Event) kind() Kind          { return KindEvent }
func (r *Gap) kind() Kind            { return KindGap }

// newRecord returns an empty record of the given kind, or nil if the kind is unknown to this program.
func newRecord(kind Kind) Record {
	switch kind {
	case KindHeader:
		return &Header{}
	case KindEngineChange:
		return &EngineChange{}
	case KindInterval:
		return &Interval{}
	case KindRequestFailure:
		return &RequestFailure{}
	case KindEvent:
		return &Event{}
	case KindGap:
		return &Gap{}
	}
	return nil
}

// Kind identifies a record's type in its frame.
type Kind uint8

// Kinds of records. Segments store the numbers.
const (
	KindHeader Kind = 1 + iota
	KindEngineChange
	KindInterval
	KindRequestFailure
	KindEvent
	KindGap
)

// Header is the first record of each segment. The times of all records are on the router's clock, in milliseconds
// since the Unix epoch. The router's clock reads the system clock once, when the process starts, and is monotonic from
// then on. ClockMS and WallMS are the times on the router's clock and on the system clock when the segment was created;
// the system clock may step.
type Header struct {
	Version       int     `cbor:"1,keyasint" json:"Version"`
	Router        string  `cbor:"2,keyasint" json:"Router"`
	Incarnation   uint64  `cbor:"3,keyasint" json:"Place"`   // counts the processes of the router
	ProcessID     string  `cbor:"4,keyasint" json:"Process"` // unique among all processes
	Program       string  `cbor:"5,keyasint" json:"Program"`
	SegmentNumber uint64  `cbor:"6,keyasint" json:"Segment"` // counts the segments of the process from 0
	ClockMS       float64 `cbor:"7,keyasint" json:"ClockMS"`
	WallMS        float64 `cbor:"8,keyasint" json:"WallMS"`
	Classes       []Class `cbor:"9,keyasint,omitempty" json:"Classes"`
}

// Class is a request class of the settings.
type Class struct {
	Name            string  `cbor:"1,keyasint" json:"Name"`
	PriorityWeight  float64 `cbor:"2,keyasint" json:"Worth"`
	LateWeightShare float64 `cbor:"3,keyasint,omitempty" json:"LateWorth"` // share that a late answer earns
	ObjectiveMS     float64 `cbor:"4,keyasint,omitempty" json:"AimMS"`
}

// State is the state of an engine in package dispatch.
type State uint8

// States of an engine, in ascending precedence: where several apply, the engine has the last of them. Segments store
// the numbers.
const (
	Unknown   State = iota
	Normal          // listed, and none of the other states applies
	WarmingUp       // listed, and started recently
	Slow            // much slower than its peers
	Ejected         // ejected because many of its attempts fail
	Down            // several attempts in a row could not connect or lost their connection
	Draining        // draining in the endpoint list
	Cordoned        // cordoned by an operator
	Gone            // removed from the endpoint list
)

var stateNames = [...]string{"unknown", "warm", "cold", "slow", "failing", "down", "draining", "out by hand", "gone"}

// String returns the name of the state that windflowctl prints, and "unknown" for an undefined state.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// EngineChange is a change of an engine's state, with the measurements that caused it.
type EngineChange struct {
	AtMS               float64 `cbor:"1,keyasint" json:"At"`
	EngineID           string  `cbor:"2,keyasint" json:"ID"`
	State              State   `cbor:"3,keyasint" json:"State"`
	Previous           State   `cbor:"4,keyasint" json:"Was"`
	Slowness           float64 `cbor:"5,keyasint,omitempty" json:"Slow"`   // latency divided by that of its peers
	FailureRate        float64 `cbor:"6,keyasint,omitempty" json:"Fail"`   // share of recent attempts that failed
	ConnectionFailures int     `cbor:"7,keyasint,omitempty" json:"Lost"`   // number of consecutive ones
	WarmUpEndMS        float64 `cbor:"8,keyasint,omitempty" json:"WarmAt"` // when the warm-up is due to end
	Zone               string  `cbor:"9,keyasint,omitempty" json:"Zone"`
	Kind               string  `cbor:"10,keyasint,omitempty" json:"Kind"`
	LastEvent          uint64  `cbor:"11,keyasint,omitempty" json:"Event"` // number of the last endpoint event
}

// Interval has the counts of the DurationMS before AtMS, which is about one second.
type Interval struct {
	AtMS              float64       `cbor:"1,keyasint" json:"At"`
	DurationMS        float64       `cbor:"2,keyasint" json:"ForMS"`
	Classes           []ClassStats  `cbor:"3,keyasint,omitempty" json:"Rows"`
	Engines           []EngineStats `cbor:"4,keyasint,omitempty" json:"Engines"`
	OpenRequests      int           `cbor:"5,keyasint,omitempty" json:"Open"` // number at AtMS
	QueuedRequests    int           `cbor:"6,keyasint,omitempty" json:"Held"` // queued among the open requests
	Congestion        float64       `cbor:"7,keyasint,omitempty" json:"Jam"`  // from 0 (none) to 1
	EngineConnections int           `cbor:"8,keyasint,omitempty" json:"Conns"`
	ClientSessions    int           `cbor:"9,keyasint,omitempty" json:"Session"`
	RejectedSessions  int64         `cbor:"10,keyasint,omitempty" json:"Turned"`  // rejected, or closed to make room
	InvalidResponses  int64         `cbor:"11,keyasint,omitempty" json:"Spoilt"`  // unusable responses of engines
	LastEvent         uint64        `cbor:"12,keyasint,omitempty" json:"Event"`   // number of the last endpoint event
	DiscoveryAgeMS    float64       `cbor:"13,keyasint,omitempty" json:"BoardMS"` // time since last contact
}

// ClassStats counts the requests of a class and tenant in an interval. Latencies are measured from the arrival to the
// answer.
type ClassStats struct {
	Class      string  `cbor:"1,keyasint" json:"Class"`
	Tenant     string  `cbor:"2,keyasint,omitempty" json:"Tenant"`
	Arrived    int     `cbor:"3,keyasint,omitempty" json:"Arrived"`
	Retries    int     `cbor:"4,keyasint,omitempty" json:"Again"` // arrived requests that are retries of clients
	OnTime     int     `cbor:"5,keyasint,omitempty" json:"InAim"` // served within the latency objective of the class
	Late       int     `cbor:"6,keyasint,omitempty" json:"Late"`  // served after the latency objective
	Rejected   int     `cbor:"7,keyasint,omitempty" json:"Refused"`
	Failed     int     `cbor:"8,keyasint,omitempty" json:"Failed"`
	Cancelled  int     `cbor:"9,keyasint,omitempty" json:"Left"`    // cancelled by the client
	EstimateMS float64 `cbor:"10,keyasint,omitempty" json:"WorkMS"` // total estimate of arrived requests
	P50MS      float64 `cbor:"11,keyasint,omitempty" json:"P50"`
	P99MS      float64 `cbor:"12,keyasint,omitempty" json:"P99"`
}

// EngineStats counts the attempts at an engine in an interval.
type EngineStats struct {
	EngineID         string  `cbor:"1,keyasint" json:"ID"`
	Sent             int     `cbor:"2,keyasint,omitempty" json:"Sent"`
	Served           int     `cbor:"3,keyasint,omitempty" json:"Served"`
	Rejected         int     `cbor:"4,keyasint,omitempty" json:"Full"`
	Errored          int     `cbor:"5,keyasint,omitempty" json:"Errored"`
	ConnectionFailed int     `cbor:"6,keyasint,omitempty" json:"Broken"` // could not connect, or lost the connection
	TimedOut         int     `cbor:"7,keyasint,omitempty" json:"Silent"`
	InFlight         int     `cbor:"8,keyasint,omitempty" json:"Running"` // attempts of this router, at Interval.AtMS
	BusyThreads      float64 `cbor:"9,keyasint,omitempty" json:"Threads"` // threads used by these attempts
	P50MS            float64 `cbor:"10,keyasint,omitempty" json:"P50"`    // latency of served attempts
	P99MS            float64 `cbor:"11,keyasint,omitempty" json:"P99"`
}

// RequestFailure is a request that was rejected or failed. Config.FailuresPerSecond limits how many of these records
// are written; ClassStats counts all rejected and failed requests.
type RequestFailure struct {
	AtMS      float64 `cbor:"1,keyasint" json:"At"`
	RequestID string  `cbor:"2,keyasint" json:"ID"`
	Class     string  `cbor:"3,keyasint" json:"Class"`
	Tenant    string  `cbor:"4,keyasint,omitempty" json:"Tenant"`
	Rejected  bool    `cbor:"5,keyasint,omitempty" json:"Refused"`
	Reason    string  `cbor:"6,keyasint" json:"Reason"`
	EngineID  string  `cbor:"7,keyasint,omitempty" json:"Engine"` // engine of the last attempt
	AfterMS   float64 `cbor:"8,keyasint" json:"AfterMS"`          // time since the arrival
}

// Event is a line of the router's log, such as a reload, a phase of a hot restart, a lost connection or an operator's
// command.
type Event struct {
	AtMS   float64           `cbor:"1,keyasint" json:"At"`
	Name   string            `cbor:"2,keyasint" json:"Name"`
	Fields map[string]string `cbor:"3,keyasint,omitempty" json:"Fields"`
}

// Gap counts the records that were dropped between FromMS and AtMS because the queue was full or a write to the disk
// failed.
type Gap struct {
	AtMS    float64 `cbor:"1,keyasint" json:"At"`
	FromMS  float64 `cbor:"2,keyasint" json:"From"`
	Dropped int     `cbor:"3,keyasint" json:"Records"`
}
