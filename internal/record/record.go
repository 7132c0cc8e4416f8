// Package record keeps what a router saw and did, for the console and the incident report: typed records in segment files.
// It never holds a statement's text, which may name donors; ids are those on the wire.
//
// A segment is a run of frames, length:4 sum:4 kind:1 payload, big-endian; length counts kind and payload, sum is their
// CRC-32C (Castagnoli), and the payload is CBOR (RFC 8949) with whole numbers for keys. The first frame is a Header. A
// segment that a kill cut off anywhere reads up to its last whole frame; docs/design/records.md has the options weighed.
package record

// Version of the format. A reader passes over segments of a newer one, and says so; a field may be added without a new
// version, since readers ignore keys that they don't know.
const Version = 1

// Kind is that of a record.
type Kind uint8

// Kinds of record.
const (
	KindHeader Kind = 1 + iota
	KindEngineChange
	KindInterval
	KindRequestFailure
	KindEvent
	KindGap
)

// Header begins each segment. Times of all records are on the router's clock, in milliseconds since the Unix epoch as that
// clock took it at the process's start; it never steps. WallMS is the system's clock at the same moment, which may.
type Header struct {
	Version       int     `cbor:"1,keyasint" json:"Version"`
	Router        string  `cbor:"2,keyasint" json:"Router"`
	Incarnation   uint64  `cbor:"3,keyasint" json:"Place"`   // of the process among those of the router, in the order of their starts
	ProcessID     string  `cbor:"4,keyasint" json:"Process"` // unlike any other process's
	Program       string  `cbor:"5,keyasint" json:"Program"`
	SegmentNumber uint64  `cbor:"6,keyasint" json:"Segment"` // from 0 in each process
	ClockMS       float64 `cbor:"7,keyasint" json:"ClockMS"`
	WallMS        float64 `cbor:"8,keyasint" json:"WallMS"`
	Classes       []Class `cbor:"9,keyasint,omitempty" json:"Classes"`
}

// Class is a class of requests, as the settings have it.
type Class struct {
	Name            string  `cbor:"1,keyasint" json:"Name"`
	PriorityWeight  float64 `cbor:"2,keyasint" json:"Worth"`
	LateWeightShare float64 `cbor:"3,keyasint,omitempty" json:"LateWorth"` // share of it that an answer after the aim earns
	ObjectiveMS     float64 `cbor:"4,keyasint,omitempty" json:"AimMS"`
}

// State is an engine's, as the module sees it.
type State uint8

// States. An engine is in the first that holds, from the end: gone before out by hand before down, and so on.
const (
	Unknown   State = iota
	Normal          // listed, and like its peers
	WarmingUp       // listed, and started not long ago
	Slow            // its answers take much longer than its peers'
	Ejected         // many of its attempts fail
	Down            // several attempts in a row met no connection, or lost it
	Draining        // the board says so
	Cordoned        // by hand
	Gone            // the board says so, or lists it no more
)

var stateNames = [...]string{"unknown", "warm", "cold", "slow", "failing", "down", "draining", "out by hand", "gone"}

func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// EngineChange is a change of an engine's state, with what caused it.
type EngineChange struct {
	AtMS               float64 `cbor:"1,keyasint" json:"At"`
	EngineID           string  `cbor:"2,keyasint" json:"ID"`
	State              State   `cbor:"3,keyasint" json:"State"`
	Previous           State   `cbor:"4,keyasint" json:"Was"`
	Slowness           float64 `cbor:"5,keyasint,omitempty" json:"Slow"`   // its times over its peers'
	FailureRate        float64 `cbor:"6,keyasint,omitempty" json:"Fail"`   // share of late attempts that failed
	ConnectionFailures int     `cbor:"7,keyasint,omitempty" json:"Lost"`   // connections lost or not had, in a row
	WarmUpEndMS        float64 `cbor:"8,keyasint,omitempty" json:"WarmAt"` // when it is to be warm
	Zone               string  `cbor:"9,keyasint,omitempty" json:"Zone"`
	Kind               string  `cbor:"10,keyasint,omitempty" json:"Kind"`
	LastEvent          uint64  `cbor:"11,keyasint,omitempty" json:"Event"` // the board's last event
}

// Interval is what happened in the second, or so, before At.
type Interval struct {
	AtMS              float64       `cbor:"1,keyasint" json:"At"`
	DurationMS        float64       `cbor:"2,keyasint" json:"ForMS"`
	Classes           []ClassStats  `cbor:"3,keyasint,omitempty" json:"Rows"`
	Engines           []EngineStats `cbor:"4,keyasint,omitempty" json:"Engines"`
	OpenRequests      int           `cbor:"5,keyasint,omitempty" json:"Open"`     // requests now
	QueuedRequests    int           `cbor:"6,keyasint,omitempty" json:"Held"`     // of them not sent
	Congestion        float64       `cbor:"7,keyasint,omitempty" json:"Jam"`      // 0 for none to 1
	EngineConnections int           `cbor:"8,keyasint,omitempty" json:"Conns"`    // to engines
	ClientSessions    int           `cbor:"9,keyasint,omitempty" json:"Session"`  // of clients
	RejectedSessions  int64         `cbor:"10,keyasint,omitempty" json:"Turned"`  // sessions turned away or made room
	InvalidResponses  int64         `cbor:"11,keyasint,omitempty" json:"Spoilt"`  // answers of engines that can't be used
	LastEvent         uint64        `cbor:"12,keyasint,omitempty" json:"Event"`   // the board's last event
	DiscoveryAgeMS    float64       `cbor:"13,keyasint,omitempty" json:"BoardMS"` // since the board was heard
}

// ClassStats is a class and tenant in a second. Times are from a request's arrival to its answer.
type ClassStats struct {
	Class      string  `cbor:"1,keyasint" json:"Class"`
	Tenant     string  `cbor:"2,keyasint,omitempty" json:"Tenant"`
	Arrived    int     `cbor:"3,keyasint,omitempty" json:"Arrived"`
	Retries    int     `cbor:"4,keyasint,omitempty" json:"Again"` // of them clients' retries
	OnTime     int     `cbor:"5,keyasint,omitempty" json:"InAim"` // served in the class's aim
	Late       int     `cbor:"6,keyasint,omitempty" json:"Late"`  // served after it
	Rejected   int     `cbor:"7,keyasint,omitempty" json:"Refused"`
	Failed     int     `cbor:"8,keyasint,omitempty" json:"Failed"`
	Cancelled  int     `cbor:"9,keyasint,omitempty" json:"Left"`    // the client went
	EstimateMS float64 `cbor:"10,keyasint,omitempty" json:"WorkMS"` // the arrivals' estimates
	P50MS      float64 `cbor:"11,keyasint,omitempty" json:"P50"`
	P99MS      float64 `cbor:"12,keyasint,omitempty" json:"P99"`
}

// EngineStats is an engine in a second.
type EngineStats struct {
	EngineID         string  `cbor:"1,keyasint" json:"ID"`
	Sent             int     `cbor:"2,keyasint,omitempty" json:"Sent"`
	Served           int     `cbor:"3,keyasint,omitempty" json:"Served"`
	Rejected         int     `cbor:"4,keyasint,omitempty" json:"Full"`
	Errored          int     `cbor:"5,keyasint,omitempty" json:"Errored"`
	ConnectionFailed int     `cbor:"6,keyasint,omitempty" json:"Broken"`  // no connection, or lost
	TimedOut         int     `cbor:"7,keyasint,omitempty" json:"Silent"`  // no answer in time
	InFlight         int     `cbor:"8,keyasint,omitempty" json:"Running"` // own, now
	BusyThreads      float64 `cbor:"9,keyasint,omitempty" json:"Threads"` // theirs
	P50MS            float64 `cbor:"10,keyasint,omitempty" json:"P50"`    // of attempts that were served
	P99MS            float64 `cbor:"11,keyasint,omitempty" json:"P99"`
}

// RequestFailure is a refusal or a failure. Beyond some a second they are counted in Row only.
type RequestFailure struct {
	AtMS      float64 `cbor:"1,keyasint" json:"At"`
	RequestID string  `cbor:"2,keyasint" json:"ID"`
	Class     string  `cbor:"3,keyasint" json:"Class"`
	Tenant    string  `cbor:"4,keyasint,omitempty" json:"Tenant"`
	Rejected  bool    `cbor:"5,keyasint,omitempty" json:"Refused"`
	Reason    string  `cbor:"6,keyasint" json:"Reason"`
	EngineID  string  `cbor:"7,keyasint,omitempty" json:"Engine"` // of the last attempt
	AfterMS   float64 `cbor:"8,keyasint" json:"AfterMS"`
}

// Event is something else that happened: a reload, a phase of a takeover, a link to the board, an operator's word.
type Event struct {
	AtMS   float64           `cbor:"1,keyasint" json:"At"`
	Name   string            `cbor:"2,keyasint" json:"Name"`
	Fields map[string]string `cbor:"3,keyasint,omitempty" json:"Fields"`
}

// Gap says that records were dropped, since the queue was full or the disk could not be written.
type Gap struct {
	AtMS    float64 `cbor:"1,keyasint" json:"At"`
	FromMS  float64 `cbor:"2,keyasint" json:"From"`
	Dropped int     `cbor:"3,keyasint" json:"Records"`
}

// Record is one record of any kind: a pointer to one of the types above.
type Record any

// when gives a record's time.
func when(r Record) float64 {
	switch r := r.(type) {
	case *Header:
		return r.ClockMS
	case *EngineChange:
		return r.AtMS
	case *Interval:
		return r.AtMS
	case *RequestFailure:
		return r.AtMS
	case *Event:
		return r.AtMS
	case *Gap:
		return r.AtMS
	}
	return 0
}

// When gives a record's time on its router's clock, in milliseconds.
func When(r Record) float64 { return when(r) }
