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
	Idempotent   Semantics = iota // safe to repeat
	Deduplicated                  // keyed: repeats are dropped inside a group, for a window
	AtMostOnce                    // unsafe to repeat
)

// Scope is the group of engines that drops repeats of a Deduplicated request.
type Scope int

// Deduplication scopes.
const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Shortage is what an engine does when memory grants pass what it has.
type Shortage int

// Forms of memory shortage.
const (
	ShortQueue Shortage = iota // the query waits in the engine's line
	ShortTrim                  // the query gets what is left, and spills
	ShortSwap                  // the query is let in, and all slow down
)

// Class describes one class of requests.
type Class struct {
	Name        string
	Aim         time.Duration // an answer inside it earns the full worth
	AimStretch  float64       // the aim grows by this multiple of the request's work over its threads
	Deadline    time.Duration // the client's whole patience
	Worth       float64
	LateWorth   float64 // share of the worth that an answer between aim and deadline earns
	Semantics   Semantics
	Scope       Scope
	Window      time.Duration // how long repeats are dropped, from the first attempt that may have run
	OrderByKey  bool
	Zones       []string // if any: the only zones allowed
	Kinds       []string // if any: the only kinds of machine allowed
	Threads     int
	Load        bool // holds its table group on its engine while it runs
	WaitsOnLoad bool // stands still while a load holds its group there
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	Name  string
	Quota float64 // requests a second over all gateways
}

// Kind is a type of machine.
type Kind struct {
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
	Seed     uint64
	Instance int
	Gateways int
	Zone     string
	Classes  []Class
	Tenants  []Tenant
	Kinds    []Kind

	OverShareWorth float64
	MaxAttempts    int // per request; 0 means no cap
	MaxHeld        int // requests held before those that can't meet their aim are given up; 0 means no cap
	Cancel         bool
	SecondCopies   bool
	RetryAfter     bool
	MaxRetryAfter  time.Duration
	AskedDiscovery bool // changes of the list arrive only after a Subscribe
	Grants         bool // memory grants are heeded
	MaxGrantShare  float64
	Priorities     bool // priorities are heeded
	Shortage       Shortage
	NoteEvery      time.Duration // time between progress notes; 0 means none
	Tick           time.Duration // batches of events come no more often than this

	AskWithin      time.Duration
	ColdFrom       float64 // share of its capacity with which an engine starts
	ColdFor        time.Duration
	OverloadFactor float64
	OverloadFor    time.Duration
	KeyRest        time.Duration
	Budget         RetryBudget
}

// EngineState is the condition of an engine in a list.
type EngineState int

// Conditions of a listed engine.
const (
	Live EngineState = iota
	Draining
	Gone
)

// Engine is one entry of an engine list.
type Engine struct {
	ID    EngineID
	Cell  int
	Zone  string
	Kind  string
	Size  float64
	State EngineState
	Born  time.Duration // latest start, 0 if long past
}

// ListMode tells how an engine list is to be read.
type ListMode int

// Modes of an engine list.
const (
	ListFull ListMode = iota
	ListChanges
	ListSaved  // complete, as last held, possibly stale
	ListFailed // a call for the list failed; no entries
)

// Outcome is how an attempt ended.
type Outcome int

// Outcomes of an attempt. Full, ConnectFailed and NotSent prove that it never ran.
const (
	Served Outcome = iota
	Errored
	Full
	TimedOut
	ConnectFailed
	Reset
	Cancelled
	NotSent
)

// Load is an engine's report; a negative value is unknown.
type Load struct {
	InFlight, Waiting, Busy, Disk, Memory, Failing float64
}

// NoteKind is the meaning of a progress note.
type NoteKind int

// Progress notes.
const (
	NoteAlive NoteKind = 0 // it is under way, and nothing more is told
	NoteShare NoteKind = 1 // Amount is the share done
	NoteSpill NoteKind = 2 // Amount is the memory missing, in MB
	NoteWaits NoteKind = 3 // Amount is 1 for memory, 2 for a load
)

// Event is something the controller is told.
type Event interface{ event() }

// EngineList is discovery's word.
type EngineList struct {
	Mode    ListMode
	Engines []Engine
}

// Arrival is a new request.
type Arrival struct {
	Request  RequestID
	Class    string
	Tenant   string
	Key      string
	Group    int64         // table group, as GroupOf gives it; 0 if there is none
	Estimate time.Duration // of the work of all threads; 0 if unknown
	NeedMB   float64       // estimate; 0 if unknown
	TimeLeft time.Duration
	Resent   bool
}

// GroupOf numbers a table group for Arrival: groups are counted from 0, which would pass for none.
func GroupOf(n uint32) int64 { return int64(n) + 1 }

// Note is word of an attempt that is still out.
type Note struct {
	Request RequestID
	Attempt int
	Kind    NoteKind
	Amount  float64
}

// AttemptEnd is the outcome of an attempt.
type AttemptEnd struct {
	Request RequestID
	Attempt int
	Outcome Outcome
	Took    time.Duration
	Last    bool // the request is finished
	Load    *Load
	Work    time.Duration // what a served query needed; 0 if unknown
	NeedMB  float64
}

// StreamStart says that an attempt's answer began to flow to the client.
type StreamStart struct {
	Request RequestID
	Attempt int
}

// Abort says that the client left; no answer is owed.
type Abort struct{ Request RequestID }

// Exclude is an operator's word that an engine gets no new work until an Include, whatever the list says.
type Exclude struct{ Engine EngineID }

// Include ends an Exclude; the engine has been started anew meanwhile.
type Include struct{ Engine EngineID }

// Timer is a timer set earlier by SetTimer.
type Timer struct{ Tag int64 }

// Report is an engine's word of itself, apart from an outcome.
type Report struct {
	Engine EngineID
	Load   Load
}

func (EngineList) event()  {}
func (Arrival) event()     {}
func (Note) event()        {}
func (AttemptEnd) event()  {}
func (StreamStart) event() {}
func (Abort) event()       {}
func (Exclude) event()     {}
func (Include) event()     {}
func (Timer) event()       {}
func (Report) event()      {}

// Action is something the controller wants done.
type Action interface{ action() }

// Send starts the request's next attempt.
type Send struct {
	Request RequestID
	Engine  EngineID
	Timeout time.Duration // 0: until the client gives up
	Begin   time.Duration // within which it has to begin, else it may not; 0: at any time
}

// SetTerms names the grant of the next attempt and the priority of all.
type SetTerms struct {
	Request  RequestID
	GrantMB  float64 // 0 leaves it to the engine
	Priority int
}

// Cancel stops waiting for an attempt.
type Cancel struct {
	Request RequestID
	Attempt int
}

// Refuse is a final answer that promises that a retry is harmless.
type Refuse struct {
	Request    RequestID
	RetryAfter time.Duration // 0: no advice
}

// Fail is a final answer that promises nothing.
type Fail struct{ Request RequestID }

// Subscribe asks discovery for changes.
type Subscribe struct{}

// SetTimer asks for a Timer event.
type SetTimer struct {
	Tag   int64
	After time.Duration
}

func (Send) action()      {}
func (SetTerms) action()  {}
func (Cancel) action()    {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (Subscribe) action() {}
func (SetTimer) action()  {}
