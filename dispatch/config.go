package dispatch

import "time"

// Semantics tells what may be done with a request that may already have run.
type Semantics int

// The three kinds of effect that the requests of a class can have.
const (
	Idempotent      Semantics = iota // safe to repeat
	IdempotentByKey                  // an idempotency scope drops repeats for a window
	AtMostOnce                       // unsafe to repeat
)

// IdempotencyScope is the group of engines that drops repeats of an IdempotentByKey request.
type IdempotencyScope int

// Idempotency scopes.
const (
	ScopeAll IdempotencyScope = iota
	ScopeZone
	ScopeCell
)

// MemoryShortage is what an engine does when its memory grants exceed its memory.
type MemoryShortage int

// Forms of memory shortage.
const (
	ShortageWait   MemoryShortage = iota // the query waits in the engine's queue
	ShortageShrink                       // the query gets what is left, and spills to disk
	ShortagePage                         // the query is admitted, and all queries slow down
)

// Class describes one class of requests.
type Class struct {
	Name              string
	LatencyObjective  time.Duration // an answer within it earns the full weight
	ObjectiveStretch  float64       // the objective grows by this multiple of the request's work per thread
	Deadline          time.Duration // how long the client waits at most
	PriorityWeight    float64
	LateWeightShare   float64 // share of the weight that an answer between objective and deadline earns
	Semantics         Semantics
	IdempotencyScope  IdempotencyScope
	IdempotencyWindow time.Duration // how long repeats are dropped, from the first attempt that may have run
	OrderByKey        bool
	Zones             []string // if any: the only zones allowed
	Kinds             []string // if any: the only engine kinds allowed
	Threads           int
	LocksTableGroup   bool // a load: it locks its table group on its engine while it runs
	BlockedByLoad     bool // it is blocked while a load locks its table group on its engine
}

// Tenant is a customer with a quota of the service.
type Tenant struct {
	Name  string
	Quota float64 // requests a second over all routers
}

// EngineKind is a type of machine that engines run on.
type EngineKind struct {
	Name     string
	Cores    float64
	MemoryMB float64
}

// RetryBudget bounds the retries of all requests over a sliding window; a zero Window means no bound.
type RetryBudget struct {
	Window     time.Duration
	Free       float64 // retries allowed whatever the traffic
	PerRequest float64 // further retries allowed for each request that arrived within the window
}

// maxRetryStartDelay bounds how late after its decision a retry may start where a budget bounds retries.
const maxRetryStartDelay = 400 * time.Millisecond

// startDelay is the time after its decision within which a retry has to start; 0 without a budget.
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

	OverQuotaWeight  float64 // share of its weight that traffic beyond a tenant's quota earns
	MaxAttempts      int     // for each request; 0 means no limit
	MaxQueued        int     // requests queued before those that miss their objective are rejected; 0 means no limit
	CancelAllowed    bool
	HedgingAllowed   bool // a second attempt may start while the first is outstanding
	RetryAfter       RetryAfter
	RetryBudget      RetryBudget
	Features         EngineFeatures
	WarmUp           WarmUp
	PolledDiscovery  bool // changes of the endpoint list arrive only after a Subscribe
	DiscoveryTimeout time.Duration
	KeyCooldown      time.Duration // after an unclear outcome, before the next request of the same key
	Tick             time.Duration // batches of events come no more often than this
}

// RetryAfter is the advice that a rejection may carry for the client.
type RetryAfter struct {
	Allowed bool
	Max     time.Duration
}

// EngineFeatures are what the engines of the installation can do.
type EngineFeatures struct {
	Grants           bool // they heed memory grants
	MaxGrantShare    float64
	Priorities       bool // they heed priorities
	MemoryShortage   MemoryShortage
	ProgressInterval time.Duration // time between two progress reports of an attempt; 0 means none are sent
}

// WarmUp bounds what all routers together may send to an engine that has just started.
type WarmUp struct {
	InitialShare   float64 // share of its capacity with which an engine starts
	Duration       time.Duration
	OverloadFactor float64 // multiple of its present capacity above which a warming engine collapses
	OverloadWindow time.Duration
}

// Check returns a *ConfigError for the first invalid setting: New and Configure reject the same ones.
func (config Config) Check() error { return validate(config) }
