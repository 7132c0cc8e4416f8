package dispatch

import "time"

// EngineID identifies an engine; it carries no meaning.
type EngineID uint64

// RequestID identifies a request; it is returned unaltered.
type RequestID string

// EndpointState is the condition of an engine in the endpoint list.
type EndpointState int

// Conditions of a listed engine.
const (
	Live EndpointState = iota
	Draining
	Removed
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID             EngineID
	Cell           int
	Zone           string
	Kind           string
	CapacityWeight float64
	State          EndpointState
	StartedAt      time.Duration // latest start, 0 if long ago
}

// ListMode tells how an endpoint list is to be read.
type ListMode int

// Modes of an endpoint list.
const (
	ListComplete ListMode = iota
	ListIncremental
	ListCached // complete, as last known, possibly stale
	ListFailed // a poll for the list failed; no entries
)

// Outcome is how an attempt ended.
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

// provesNotRun reports whether an attempt that ended so never ran.
func (o Outcome) provesNotRun() bool { return o == EngineFull || o == ConnectFailed || o == NotSent }

// unclear reports whether the engine may continue running an attempt that ended so.
func (o Outcome) mayStillRun() bool { return o == TimedOut || o == ConnectionReset || o == Cancelled }

// LoadReport is what an engine reports of its load; a negative value is unknown.
type LoadReport struct {
	InFlight, Waiting, Busy, Disk, Memory, Failing float64
}

// ProgressKind is the meaning of an AttemptProgress.
type ProgressKind int

// Kinds of progress report.
const (
	ProgressAlive    ProgressKind = 0 // it is under way, and nothing more is known
	ProgressFraction ProgressKind = 1 // Amount is the share done
	ProgressSpilling ProgressKind = 2 // Amount is the memory missing, in MB
	ProgressBlocked  ProgressKind = 3 // Amount is 1 while it waits for memory, 2 while a load blocks it
)

// blockedOnLoad is the Amount of a ProgressBlocked report of an attempt that a load blocks.
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

// Arrival is a new request.
type Arrival struct {
	Request    RequestID
	Class      string
	Tenant     string
	Key        string
	TableGroup int64         // as TableGroupOf numbers it; 0 if there is none
	Estimate   time.Duration // of the work of all threads; 0 if unknown
	NeedMB     float64       // estimate of the memory needed; 0 if unknown
	TimeLeft   time.Duration
	Resent     bool
}

// TableGroupOf numbers a table group for Arrival: the platform counts groups from 0, which here means none.
func TableGroupOf(n uint32) int64 { return int64(n) + 1 }

// AttemptProgress is a progress report of an outstanding attempt.
type AttemptProgress struct {
	Request RequestID
	Attempt int
	Kind    ProgressKind
	Amount  float64
}

// AttemptEnd is the outcome of an attempt.
type AttemptEnd struct {
	Request RequestID
	Attempt int
	Outcome Outcome
	Took    time.Duration
	Last    bool // the request is finished
	Report  *LoadReport
	Work    time.Duration // what a served query needed; 0 if unknown
	NeedMB  float64
}

// ResponseStarted says that an attempt's answer began to flow to the client.
type ResponseStarted struct {
	Request RequestID
	Attempt int
}

// ClientGone says that the client closed, cancelled or left; no answer is expected any more.
type ClientGone struct{ Request RequestID }

// Cordon is an operator's order that an engine gets no new work until an Uncordon, whatever the endpoint list says.
type Cordon struct{ Engine EngineID }

// Uncordon ends a Cordon; the engine has been restarted meanwhile.
type Uncordon struct{ Engine EngineID }

// TimerFired says that a timer set earlier by SetTimer fired.
type TimerFired struct{ Tag int64 }

// EngineLoad is a load report that arrived apart from the end of an attempt.
type EngineLoad struct {
	Engine EngineID
	Report LoadReport
}

// RestoreSnapshot makes a controller continue from the state of another one.
type RestoreSnapshot struct{ Snapshot Snapshot }

// ShutdownDeadline says that the controller's process ends at that time: no request may take longer.
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
