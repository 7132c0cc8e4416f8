// Package dispatch decides for a front of query engines with limited memory: which engine runs a query,
// when, with what memory grant and priority, and when to retry, cancel, refuse or fail it.
//
// This file holds the types that go in and out. Decisions are in hold.go (what waits and what goes), choose.go
// (which engine), learn.go (what outcomes tell) and rules.go (what may be sent, again or at all); mechanisms that
// stand alone are in packages under internal/decide.
package dispatch

import "time"

// EngineID names an engine; it carries no meaning.
type EngineID uint64

// RequestID names a request; it is returned unaltered.
type RequestID string

// Semantics tells what may be done with a request that may already have run.
type Semantics int

// The three kinds of effect a class can have.
const (
	Idempotent      Semantics = iota // safe to repeat
	IdempotentByKey                  // keyed: repeats are dropped inside a group, for a window
	AtMostOnce                       // unsafe to repeat
)

// IdempotencyScope is the group of engines that drops repeats of a Deduplicated request.
type IdempotencyScope int

// Deduplication scopes.
const (
	ScopeAll IdempotencyScope = iota
	ScopeZone
	ScopeCell
)

// MemoryShortage is what an engine does when memory grants pass what it has.
type MemoryShortage int

// Forms of memory shortage.
const (
	ShortageWait   MemoryShortage = iota // the query waits in the engine's line
	ShortageShrink                       // the query gets what is left, and spills
	ShortagePage                         // the query is let in, and all slow down
)

// Class describes one class of requests.
type Class struct {
	Name              string
	LatencyObjective  time.Duration // an answer inside it earns the full worth
	ObjectiveStretch  float64       // the aim grows by this multiple of the request's work over its threads
	Deadline          time.Duration // the client's whole patience
	PriorityWeight    float64
	LateWeightShare   float64 // share of the worth that an answer between aim and deadline earns
	Semantics         Semantics
	IdempotencyScope  IdempotencyScope
	IdempotencyWindow time.Duration // how long repeats are dropped, from the first attempt that may have run
	OrderByKey        bool
	Zones             []string // if any: the only zones allowed
	Kinds             []string // if any: the only kinds of machine allowed
	Threads           int
	LocksTableGroup   bool // holds its table group on its engine while it runs
	BlockedByLoad     bool // stands still while a load holds its group there
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	Name  string
	Quota float64 // requests a second over all gateways
}

// EngineKind is a type of machine.
type EngineKind struct {
	Name     string
	Cores    float64
	MemoryMB float64
}

// RetryBudget bounds attempts beyond each request's first over a sliding window; a zero Window means none.
type RetryBudget struct {
	Window     time.Duration
	Free       float64
	PerRequest float64
}

// Config is what a gateway's controller is told at start.
type Config struct {
	Seed        uint64
	RouterIndex int
	Routers     int
	Zone        string
	Classes     []Class
	Tenants     []Tenant
	Kinds       []EngineKind

	OverQuotaWeight   float64
	MaxAttempts       int // per request; 0 means no cap
	MaxQueued         int // requests held before those that can't meet their aim are given up; 0 means no cap
	CancelAllowed     bool
	HedgingAllowed    bool
	RetryAfterAllowed bool
	MaxRetryAfter     time.Duration
	PolledDiscovery   bool // changes of the list arrive only after a Subscribe
	Grants            bool // memory grants are heeded
	MaxGrantShare     float64
	Priorities        bool // priorities are heeded
	MemoryShortage    MemoryShortage
	ProgressInterval  time.Duration // time between progress notes; 0 means none
	Tick              time.Duration // batches of events come no more often than this

	DiscoveryTimeout     time.Duration
	WarmUpInitialShare   float64 // share of its capacity with which an engine starts
	WarmUpDuration       time.Duration
	WarmUpOverloadFactor float64
	WarmUpOverloadWindow time.Duration
	KeyCooldown          time.Duration
	RetryBudget          RetryBudget
}

// EndpointState is the condition of an engine in a list.
type EndpointState int

// Conditions of a listed engine.
const (
	Live EndpointState = iota
	Draining
	Removed
)

// Endpoint is one entry of an engine list.
type Endpoint struct {
	ID             EngineID
	Cell           int
	Zone           string
	Kind           string
	CapacityWeight float64
	State          EndpointState
	StartedAt      time.Duration // latest start, 0 if long past
}

// ListMode tells how an engine list is to be read.
type ListMode int

// Modes of an engine list.
const (
	ListComplete ListMode = iota
	ListIncremental
	ListCached // complete, as last held, possibly stale
	ListFailed // a call for the list failed; no entries
)

// Outcome is how an attempt ended.
type Outcome int

// Outcomes of an attempt. Full, ConnectFailed and NotSent prove that it never ran.
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

// LoadReport is an engine's report; a negative value is unknown.
type LoadReport struct {
	InFlight, Waiting, Busy, Disk, Memory, Failing float64
}

// ProgressKind is the meaning of a progress note.
type ProgressKind int

// Progress notes.
const (
	ProgressAlive    ProgressKind = 0 // it is under way, and nothing more is told
	ProgressFraction ProgressKind = 1 // Amount is the share done
	ProgressSpilling ProgressKind = 2 // Amount is the memory missing, in MB
	ProgressBlocked  ProgressKind = 3 // Amount is 1 for memory, 2 for a load
)

// Event is something the controller is told.
type Event interface{ event() }

// EndpointList is discovery's word.
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
	TableGroup int64         // table group, as GroupOf gives it; 0 if there is none
	Estimate   time.Duration // of the work of all threads; 0 if unknown
	NeedMB     float64       // estimate; 0 if unknown
	TimeLeft   time.Duration
	Resent     bool
}

// TableGroupOf numbers a table group for Arrival: groups are counted from 0, which would pass for none.
func TableGroupOf(n uint32) int64 { return int64(n) + 1 }

// AttemptProgress is word of an attempt that is still out.
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

// ClientGone says that the client left; no answer is owed.
type ClientGone struct{ Request RequestID }

// Cordon is an operator's word that an engine gets no new work until an Include, whatever the list says.
type Cordon struct{ Engine EngineID }

// Uncordon ends an Exclude; the engine has been started anew meanwhile.
type Uncordon struct{ Engine EngineID }

// TimerFired is a timer set earlier by SetTimer.
type TimerFired struct{ Tag int64 }

// EngineLoad is an engine's word of itself, apart from an outcome.
type EngineLoad struct {
	Engine EngineID
	Report LoadReport
}

func (EndpointList) event()    {}
func (Arrival) event()         {}
func (AttemptProgress) event() {}
func (AttemptEnd) event()      {}
func (ResponseStarted) event() {}
func (ClientGone) event()      {}
func (Cordon) event()          {}
func (Uncordon) event()        {}
func (TimerFired) event()      {}
func (EngineLoad) event()      {}

// Action is something the controller wants done.
type Action interface{ action() }

// StartAttempt starts the request's next attempt.
type StartAttempt struct {
	Request     RequestID
	Engine      EngineID
	Timeout     time.Duration // 0: until the client gives up
	StartWithin time.Duration // within which it has to begin, else it may not; 0: at any time
}

// SetResources names the grant of the next attempt and the priority of all.
type SetResources struct {
	Request  RequestID
	GrantMB  float64 // 0 leaves it to the engine
	Priority int
}

// CancelAttempt stops waiting for an attempt.
type CancelAttempt struct {
	Request RequestID
	Attempt int
}

// Reject is a final answer that promises that a retry is harmless.
type Reject struct {
	Request    RequestID
	RetryAfter time.Duration // 0: no advice
}

// FailRequest is a final answer that promises nothing.
type FailRequest struct{ Request RequestID }

// Subscribe asks discovery for changes.
type Subscribe struct{}

// SetTimer asks for a Timer event.
type SetTimer struct {
	Tag   int64
	After time.Duration
}

func (StartAttempt) action()  {}
func (SetResources) action()  {}
func (CancelAttempt) action() {}
func (Reject) action()        {}
func (FailRequest) action()   {}
func (Subscribe) action()     {}
func (SetTimer) action()      {}
