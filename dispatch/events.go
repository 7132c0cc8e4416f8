package dispatch

import "time"

// EngineID identifies an engine. Its value has no other meaning.
type EngineID uint64

// RequestID identifies a request. Actions return it unchanged.
type RequestID string

// EndpointState is the state of an engine in the endpoint list.
type EndpointState int

// States of an engine in the endpoint list.
const (
	Live EndpointState = iota
	Draining
	Removed
)

// Endpoint is one entry of the endpoint list: an engine with its location, kind and state.
type Endpoint struct {
	ID             EngineID
	Cell           int
	Zone           string
	Kind           string
	CapacityWeight float64
	State          EndpointState
	StartedAt      time.Duration // time of the latest start; 0 if that is long ago
}

// ListMode says how an endpoint list relates to the previous one.
type ListMode int

// Modes of an endpoint list.
const (
	ListComplete ListMode = iota
	ListIncremental
	ListCached // complete, but from a copy that may be out of date
	ListFailed // a poll for the list failed; there are no entries
)

// Outcome says how an attempt ended.
type Outcome int

// Outcomes of an attempt. EngineFull, ConnectFailed and NotSent prove that it never ran.
const (
	Served Outcome = iota
	EngineFailed
	EngineFull
	TimedOut
	ConnectFailed
	ConnectionReset
	Cancelled
	NotSent
)

// provesNotRun reports whether the outcome proves that the attempt never ran.
func (o Outcome) provesNotRun() bool { return o == EngineFull || o == ConnectFailed || o == NotSent }

// mayStillRun reports whether the engine may still be running the attempt after this outcome.
func (o Outcome) mayStillRun() bool { return o == TimedOut || o == ConnectionReset || o == Cancelled }

// LoadReport holds the load that an engine reports. A negative value means unknown.
type LoadReport struct {
	InFlight, Waiting, Busy, Disk, Memory, Failing float64
}

// ProgressKind says what an AttemptProgress reports.
type ProgressKind int

// Kinds of progress report.
const (
	ProgressAlive    ProgressKind = 0 // the attempt is in progress; nothing more is known
	ProgressFraction ProgressKind = 1 // Amount is the fraction done
	ProgressSpilling ProgressKind = 2 // Amount is the missing memory in MB
	ProgressBlocked  ProgressKind = 3 // Amount is 1 while it waits for memory, 2 while a load blocks it
)

// blockedOnLoad is the Amount of a ProgressBlocked report if a load blocks the attempt.
const blockedOnLoad = 2

// Event is an input of the controller.
//
//sumtype:decl
type Event interface{ event() }

// EndpointList is an update of the endpoint list from discovery.
type EndpointList struct {
	Mode      ListMode
	Endpoints []Endpoint
}

// Arrival reports a new request from a client.
type Arrival struct {
	Request    RequestID
	Class      string
	Tenant     string
	Key        string
	TableGroup int64         // as returned by TableGroupOf; 0 if there is none
	Estimate   time.Duration // work of all threads together; 0 if unknown
	NeedMB     float64       // estimated memory in MB; 0 if unknown
	TimeLeft   time.Duration
	Resent     bool
}

// TableGroupOf returns the number of a table group for Arrival. The platform counts groups from 0, but Arrival uses 0
// for no group.
func TableGroupOf(n uint32) int64 { return int64(n) + 1 }

// AttemptProgress reports progress of an outstanding attempt.
type AttemptProgress struct {
	Request RequestID
	Attempt int
	Kind    ProgressKind
	Amount  float64
}

// AttemptEnd reports the end and the outcome of an attempt.
type AttemptEnd struct {
	Request RequestID
	Attempt int
	Outcome Outcome
	Took    time.Duration
	Last    bool // the request is finished and gets no further attempt
	Report  *LoadReport
	Work    time.Duration // work that a served query needed; 0 if unknown
	NeedMB  float64
}

// ResponseStarted reports that the answer of an attempt has begun to reach the client.
type ResponseStarted struct {
	Request RequestID
	Attempt int
}

// ClientGone reports that the client disconnected or cancelled its request and expects no answer.
type ClientGone struct{ Request RequestID }

// Cordon is an operator's order to send no new work to an engine until an Uncordon, whatever the endpoint list says.
type Cordon struct{ Engine EngineID }

// Uncordon ends a Cordon. The engine has been restarted in between.
type Uncordon struct{ Engine EngineID }

// TimerFired reports that a timer requested by SetTimer has fired.
type TimerFired struct{ Tag int64 }

// EngineLoad carries a load report that arrived independently of the end of an attempt.
type EngineLoad struct {
	Engine EngineID
	Report LoadReport
}

// RestoreSnapshot makes a controller continue from the state of another controller.
type RestoreSnapshot struct{ Snapshot Snapshot }

// ShutdownDeadline reports that the process ends at the given time, by which every request has to be finished.
type ShutdownDeadline struct{ At time.Duration }

func (EndpointList) event()      {}
func (Arrival) event()           {}
func (AttemptProgress) event()   {}
func (AttemptEnd) event()        {}
func (ResponseStarted) event()   {}
func (ClientGone) event()        {}
func (Cordon) event()            {}
func (Uncordon) event()          {}
func (TimerFired) event()        {}
func (EngineLoad) event()        {}
func (RestoreSnapshot) event()   {}
func (ShutdownDeadline) event()  {}
func (OtherProcessUsage) event() {}
