package dispatch

import "time"

// Semantics says whether a request that may already have run can be sent again.
type Semantics int

// Semantics of the requests of a class.
const (
	Idempotent      Semantics = iota // safe to repeat
	IdempotentByKey                  // the engines of an idempotency scope drop repeats within a time window
	AtMostOnce                       // unsafe to repeat
)

// IdempotencyScope is the group of engines that drop repeats of an IdempotentByKey request.
type IdempotencyScope int

// Idempotency scopes: all engines, the engines of one zone, or the engines of one cell.
const (
	ScopeAll IdempotencyScope = iota
	ScopeZone
	ScopeCell
)

// MemoryShortage is the reaction of an engine when its memory grants exceed its memory.
type MemoryShortage int

// Reactions to a memory shortage.
const (
	ShortageWait   MemoryShortage = iota // the query waits in the engine's queue
	ShortageShrink                       // the query gets the remaining memory and spills to disk
	ShortagePage                         // the query is admitted, and all queries slow down as memory is paged out
)

// Class holds the settings of one class of requests.
type Class struct {
	Name              string
	LatencyObjective  time.Duration // an answer within this time earns the full weight
	ObjectiveStretch  float64       // multiple of the request's work per thread that is added to the objective
	Deadline          time.Duration // longest time that the client waits
	PriorityWeight    float64
	LateWeightShare   float64 // share of the weight that an answer between objective and deadline earns
	Semantics         Semantics
	IdempotencyScope  IdempotencyScope
	IdempotencyWindow time.Duration // time for which repeats are dropped, from the first attempt that may have run
	OrderByKey        bool
	Zones             []string // zones whose engines may run the requests; empty means all
	Kinds             []string // engine kinds that may run the requests; empty means all
	Threads           int
	LocksTableGroup   bool // the requests are loads: each locks its table group on its engine while it runs
	BlockedByLoad     bool // the requests are blocked while a load locks their table group on their engine
}

// Tenant is a customer with a quota for requests.
type Tenant struct {
	Name  string
	Quota float64 // requests per second over all routers
}

// EngineKind describes a type of machine that engines run on.
type EngineKind struct {
	Name     string
	Cores    float64
	MemoryMB float64
}

// RetryBudget limits the retries of all requests within a sliding window. A Window of zero means no limit.
type RetryBudget struct {
	Window     time.Duration
	Free       float64 // retries allowed independently of the traffic
	PerRequest float64 // additional retries allowed for each request that arrived within the window
}

// maxRetryStartDelay is the maximum time between the decision to retry and the start of the retry, if a retry budget
// applies.
const maxRetryStartDelay = 400 * time.Millisecond

// startDelay returns the time after the decision within which a retry has to start, or 0 without a budget.
func (b RetryBudget) startDelay() time.Duration { return min(maxRetryStartDelay, b.Window/4) }

// Config holds the settings of a router's controller.
type Config struct {
	Seed        uint64
	RouterIndex int
	Routers     int
	Zone        string
	Classes     []Class
	Tenants     []Tenant
	Kinds       []EngineKind

	OverQuotaWeight  float64 // share of its weight that a request beyond a tenant's quota earns
	MaxAttempts      int     // per request; 0 means no limit
	MaxQueued        int     // queue length above which requests that miss their objective are rejected; 0: no limit
	CancelAllowed    bool
	HedgingAllowed   bool // a second attempt may start while the first is outstanding
	RetryAfter       RetryAfter
	RetryBudget      RetryBudget
	Features         EngineFeatures
	WarmUp           WarmUp
	PolledDiscovery  bool // changes of the endpoint list arrive only after a Subscribe action
	DiscoveryTimeout time.Duration
	KeyCooldown      time.Duration // wait before the next request of a key after an unclear outcome
	Tick             time.Duration // minimum time between two batches of events
}

// RetryAfter configures the retry delay that a rejection may recommend to the client.
type RetryAfter struct {
	Allowed bool
	Max     time.Duration
}

// EngineFeatures describes what the engines of the installation support.
type EngineFeatures struct {
	Grants           bool // engines observe memory grants
	MaxGrantShare    float64
	Priorities       bool // engines observe priorities
	MemoryShortage   MemoryShortage
	ProgressInterval time.Duration // time between two progress reports of an attempt; 0 means that engines send none
}

// WarmUp limits what all routers together may send to an engine that has just started.
type WarmUp struct {
	InitialShare   float64 // share of its capacity that an engine has when it starts
	Duration       time.Duration
	OverloadFactor float64 // multiple of its current capacity above which a warming engine collapses
	OverloadWindow time.Duration
}

// Check returns a *ConfigError for the first invalid setting. New and Configure reject the same settings.
func (config Config) Check() error { return validate(config) }
