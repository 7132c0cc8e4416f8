package settings

// Settings is the JSON form of dispatch.Config with the platform's names of fields. Unknown fields are ignored.
// Durations are in nanoseconds.
type Settings struct {
	RouterIndex int      `json:"me"`
	Routers     int      `json:"balancers"`
	Zone        string   `json:"zone"`
	Discovery   string   `json:"discovery"`
	TickNS      int64    `json:"period-ns"`
	Classes     []Class  `json:"classes"`
	Kinds       []string `json:"kinds"`
	Zones       []string `json:"failure-domains"`
	Tenants     []Tenant `json:"parties"`
	// OverQuotaWeight is the priority weight of a request beyond its tenant's quota, relative to one within the quota.
	OverQuotaWeight float64   `json:"over-share-worth"`
	Limits          Limits    `json:"limits"`
	Rules           Rules     `json:"rules"`
	Specifics       Specifics `json:"specifics"`
}

// Class has the settings of a class of requests.
type Class struct {
	Name                string   `json:"name"`
	ObjectiveStretch    float64  `json:"aim-stretch"`
	PriorityWeight      float64  `json:"credit"`
	DeadlineNS          int64    `json:"deadline-ns"`
	IdempotencyScope    string   `json:"dedup-scope"`
	LatencyObjectiveNS  int64    `json:"goal-time-ns"`
	LateWeightShare     float64  `json:"late-value"`
	Semantics           string   `json:"semantics"`
	IdempotencyWindowNS int64    `json:"window-ns"`
	OrderByKey          bool     `json:"fifo-by-key"`
	Zones               []string `json:"stays-in"`
	Kinds               []string `json:"allowed-on"`
}

// Tenant has the quota of a tenant in requests per second, over all routers together.
type Tenant struct {
	Name  string  `json:"name"`
	Quota float64 `json:"quota-rps"`
}

// Limits bounds the attempts of a request.
type Limits struct {
	MaxAttempts       int   `json:"attempts-cap"`
	CancelAllowed     bool  `json:"cancel"`
	HedgingAllowed    bool  `json:"second-copies"`
	RetryAfterAllowed bool  `json:"retry-after"`
	MaxRetryAfterNS   int64 `json:"max-retry-after-ns"`
	// ConnectTimeoutNS and ConnectionIdleNS apply to real sockets only and are not part of dispatch.Config.
	ConnectTimeoutNS int64 `json:"connect-timeout-ns"`
	ConnectionIdleNS int64 `json:"conn-idle-ns"`
}

// Rules has the parameters of discovery, slow start, the cooldown of keys and the retry budget.
type Rules struct {
	DiscoveryTimeoutNS     int64   `json:"ask-within-ns"`
	WarmUpInitialShare     float64 `json:"cold-from"`
	WarmUpNS               int64   `json:"cold-ns"`
	WarmUpOverloadFactor   float64 `json:"overload-factor"`
	WarmUpOverloadWindowNS int64   `json:"overload-for-ns"`
	KeyCooldownNS          int64   `json:"key-rest-ns"`
	RetryBudgetFree        float64 `json:"budget-free"`
	RetryBudgetPerRequest  float64 `json:"extra-per-request"`
	RetryBudgetWindowNS    int64   `json:"look-back-ns"`
}

// Specifics describes the features of the platform's engines. A list is empty or has one value for each class or each
// engine kind.
type Specifics struct {
	ClassLocksTableGroup []bool    `json:"class-load"`
	KindCores            []float64 `json:"cores-by-kind"`
	GrantsEnabled        bool      `json:"grants-count"`
	KindMemoryMB         []float64 `json:"kind-memory-mb"`
	MaxGrantShare        float64   `json:"max-grant-share"`
	MemoryShortage       string    `json:"overbooked"`
	ProgressIntervalNS   int64     `json:"note-period-ns"`
	PrioritiesEnabled    bool      `json:"priorities"`
	ClassThreads         []int     `json:"width-by-class"`
	ClassBlockedByLoad   []bool    `json:"yields-to-loads"`
}
