package dispatch

// What the controller remembers, and how it is made and configured. Nothing is decided here.

import (
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"strconv"
	"time"

	"windflow/internal/decide/backoff"
	"windflow/internal/decide/pressure"
	"windflow/internal/decide/quota"
	"windflow/internal/decide/slowstart"
)

// This file holds what the controller remembers and the bookkeeping of it; the decisions are in brain.go.

type class struct {
	Class
	ratio    float64 // R: its aim over the preferred one's
	queue    []*request
	late     []*request // over share, or past its aim: released when no queue has a query
	mean     float64    // mean of time x threads, over the estimate where there is one
	pace     float64    // mean of the same, each bounded: how crowded the fleet is
	best     float64    // least mean seen: a calm fleet
	estMean  float64    // mean estimate, 1 without
	grantFix float64    // memory needed over the estimate
	seen     float64
	seenAt   time.Duration
}

type tenant struct {
	quota  float64
	bucket quota.Bucket
}

// use is what engines have, and what this gateway has running there.
type use struct{ cores, memory, threads, granted float64 }

type spend struct {
	at   time.Duration
	work float64
}

type engine struct {
	Endpoint
	cores, memory   float64
	listed          bool // live, and not excluded
	owed            bool // included again, and not sent anything since
	coldAt, warmAt  time.Duration
	lost            int // attempts in a row that met no connection, or lost it
	rest            backoff.Backoff
	zone            *zone
	counted, noted  bool // among the warm ones of the tally; among the failed
	running         []*attempt
	threads, prefer float64 // own running threads of other and preferred classes
	work, granted   float64
	slow, fail      float64
	slowAt, failAt  time.Duration
	fullAt          time.Duration
	spent           []spend
	ration          slowstart.Budget // of what all gateways may send it while it is cold
	rationBy        rationBy
	dueAt           float64         // when the heap of rations looks at it
	peer            EngineUsage     // of the other controller of this gateway, in an upgrade
	press           pressure.Engine // of memory and locks
}

type attempt struct {
	r                           *request
	e                           *engine
	hop                         int
	at, heard                   time.Duration
	work, grant                 float64
	ended, cancelled, streaming bool
	preferred                   bool
	mayRun, spillSeen, blamed   bool
}

type request struct {
	id               RequestID
	c                *class
	group            int64
	key              string
	tenant           *tenant
	at, aim, end     time.Duration
	est, need        float64
	attempts         []*attempt
	out, errors      int
	done, over, held bool
	estimated        bool
	ordered, aside   bool
}

// home names the engines that read a table group, or those that load it.
type home struct {
	group int64
	load  bool
}

// mix ranks an engine for a table group (splitmix64).
func mix(group int64, id EngineID) uint64 {
	x := uint64(group-1)*0x9e3779b97f4a7c15 + uint64(id)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

type keyLine struct {
	line []*request
	rest time.Duration
}

// Controller decides for one gateway. It is not safe for concurrent use.
type Controller struct {
	cfg                    Config
	rng                    *rand.Rand
	classes                []*class
	prefer                 *class
	tenants                map[string]*tenant
	engines                []*engine
	byID                   map[EngineID]*engine
	ids                    ids // that a list has named, and which of them are excluded
	requests               map[RequestID]*request
	open                   []*request
	keys                   map[string]*keyLine
	arrivals               []time.Duration // within the budget's window
	extras                 []time.Duration
	now                    time.Duration
	out                    []Action
	live                   []*engine // the listed ones, and sums over them
	near                   []*engine
	nearSize               int
	tally                  tally
	homeOf                 map[home][]*engine // by table group, until the list changes
	cores, memory          float64
	homesAt                time.Duration
	demand                 pressure.Demand
	drawn                  []*engine        // see own
	widest                 int              // threads of the widest class
	waits                  bool             // whether a class stands still for loads
	mostGrant              float64          // of any kind of engine to one query
	threads, granted       float64          // own, over all engines
	zones                  map[string]*zone // by name
	groups                 []*zone          // those with listed engines
	unsorted, someGone     bool             // engines have come, or gone, since the last relist
	revision               int              // of the settings, from 0
	failed                 []*engine        // those that were ejected of late
	breakAll               float64          // share of attempts that break, over all engines
	held, mostHeld         int
	peerHeld               int           // by the other controller of this gateway, in an upgrade
	wakeAt, due            time.Duration // when the timer is set for; when something is due
	credit                 int           // releases left to the class side that ratio release chose
	creditTo               bool
	rate                   float64 // own arrivals a second, long run
	quotas                 float64 // of all tenants
	crowd                  float64 // how much longer answers take than on a calm fleet, of late
	crowdAt                time.Duration
	started, rateAt        time.Duration
	pausedAt               time.Duration
	done                   float64 // decayed work finished on warm engines
	doneAt, askAt, askWait time.Duration
	anyEvents              bool
}

// New checks the settings and returns a controller.
func New(cfg Config) (*Controller, error) {
	if err := validate(cfg); err != nil {
		return nil, err
	}
	c := &Controller{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.RouterIndex))),
		tenants: map[string]*tenant{}, byID: map[EngineID]*engine{}, requests: map[RequestID]*request{},
		keys: map[string]*keyLine{}, zones: map[string]*zone{},
		homeOf: map[home][]*engine{}, ids: ids{excluded: map[EngineID]bool{}}}
	for _, k := range cfg.Classes {
		k.Threads = max(k.Threads, 1)
		cl := &class{Class: k, estMean: 1, grantFix: 1, mean: firstGuess(k)}
		cl.best, cl.pace = cl.mean, cl.mean
		c.classes = append(c.classes, cl)
	}
	c.derive()
	return c, nil
}

// derive sets what follows from the settings.
func (c *Controller) derive() {
	if c.mostHeld = math.MaxInt; c.cfg.MaxQueued > 0 {
		c.mostHeld = max(c.cfg.MaxQueued-c.peerHeld, 0)
	}
	c.prefer = c.classes[0]
	for _, cl := range c.classes {
		if cl.LatencyObjective < c.prefer.LatencyObjective {
			c.prefer = cl
		}
	}
	for _, cl := range c.classes {
		cl.ratio = cl.LatencyObjective.Seconds() / c.prefer.LatencyObjective.Seconds()
		c.widest, c.waits = max(c.widest, cl.Threads), c.waits || cl.BlockedByLoad
	}
	c.mostGrant = 0
	for _, k := range c.cfg.Kinds {
		c.mostGrant = max(c.mostGrant, k.MemoryMB*c.cfg.MaxGrantShare)
	}
	before := c.tenants
	c.tenants, c.quotas = map[string]*tenant{}, 0
	for _, t := range c.cfg.Tenants {
		c.tenants[t.Name] = &tenant{}
		if old := before[t.Name]; old != nil {
			c.tenants[t.Name] = old // its tokens go on
		}
		c.tenants[t.Name].quota = t.Quota
		c.quotas += t.Quota
	}
}

// Configure has a running controller go by changed settings and returns those in force. What is held,
// running and learned stays. Open requests belong to their classes, so these must stay the same ones, of the
// same effect and shape; what is kept for that is named. An error says that nothing changed.
func (c *Controller) Configure(cfg Config) (now Config, kept []string, err error) {
	if err := validate(cfg); err != nil {
		return c.cfg, nil, err
	}
	named := func(k Class, cl *class) bool { return k.Name == cl.Name }
	if !slices.EqualFunc(cfg.Classes, c.classes, named) {
		kept, cfg.Classes = append(kept, "classes"), c.cfg.Classes
	}
	cfg.Classes = slices.Clone(cfg.Classes)
	for i, cl := range c.classes {
		k := &cfg.Classes[i]
		shape := *k
		k.Semantics, k.IdempotencyScope, k.OrderByKey = cl.Semantics, cl.IdempotencyScope, cl.OrderByKey
		k.Threads, k.LocksTableGroup, k.BlockedByLoad = cl.Threads, cl.LocksTableGroup, cl.BlockedByLoad
		if shape.Threads = max(shape.Threads, 1); !reflect.DeepEqual(shape, *k) {
			kept = append(kept, "classes["+strconv.Itoa(i)+"]: effect, order, threads, load or wait")
		}
		cl.Class = *k
	}
	if cfg.PolledDiscovery != c.cfg.PolledDiscovery {
		kept, cfg.PolledDiscovery = append(kept, "discovery"), c.cfg.PolledDiscovery
	}
	cfg.Seed, cfg.RouterIndex = c.cfg.Seed, c.cfg.RouterIndex // the random source was made of them
	c.cfg = cfg
	c.revision++
	c.derive()
	for _, e := range c.engines {
		c.equip(e)
	}
	c.relist()
	return cfg, kept, nil
}

// equip gives an engine what its kind has.
func (c *Controller) equip(e *engine) {
	for _, k := range c.cfg.Kinds {
		if k.Name == e.Kind && k.Cores > 0 {
			e.cores, e.memory = k.Cores, k.MemoryMB
		}
	}
}
