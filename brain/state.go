package brain

import (
	"cmp"
	"math"
	"math/rand/v2"
	"reflect"
	"slices"
	"strconv"
	"time"

	"windflow/internal/decide/ration"
	"windflow/internal/decide/rest"
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
	quota, tokens float64
	at            time.Duration
}

// use is what engines have, and what this gateway has running there.
type use struct{ cores, memory, threads, granted float64 }

type spend struct {
	at   time.Duration
	work float64
}

type engine struct {
	Engine
	cores, memory    float64
	listed           bool // live, and not excluded
	owed             bool // included again, and not sent anything since
	coldAt, warmAt   time.Duration
	lost             int // attempts in a row that met no connection, or lost it
	rest             rest.Rest
	zone             *rest.Group
	running          []*attempt
	threads, prefer  float64 // own running threads of other and preferred classes
	work, granted    float64
	slow, fail       float64
	slowAt, failAt   time.Duration
	fullAt, reportAt time.Duration
	report           Load
	spent            []spend
	ration           ration.Ration           // of what all gateways may send it while it is cold
	peer             EngineUse               // of the other controller of this gateway, in an upgrade
	loadUntil        map[int64]time.Duration // table groups on which another gateway's load was noticed
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
	x := uint64(group)*0x9e3779b97f4a7c15 + uint64(id)
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
	cold                   []*engine          // see coldOnes
	homeOf                 map[home][]*engine // by table group, until the list changes
	cores, memory          float64
	widest                 int                    // threads of the widest class
	mostGrant              float64                // of any kind of engine to one query
	threads, granted       float64                // own, over all engines
	zones                  map[string]*rest.Group // of listed engines
	failed                 []*engine              // those that were ejected of late
	breakAll               float64                // share of attempts that break, over all engines
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
	c := &Controller{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Instance))),
		tenants: map[string]*tenant{}, byID: map[EngineID]*engine{}, requests: map[RequestID]*request{},
		keys: map[string]*keyLine{}, zones: map[string]*rest.Group{}, ids: ids{excluded: map[EngineID]bool{}}}
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
	if c.mostHeld = math.MaxInt; c.cfg.MaxHeld > 0 {
		c.mostHeld = max(c.cfg.MaxHeld-c.peerHeld, 0)
	}
	c.prefer = c.classes[0]
	for _, cl := range c.classes {
		if cl.Aim < c.prefer.Aim {
			c.prefer = cl
		}
	}
	for _, cl := range c.classes {
		cl.ratio = cl.Aim.Seconds() / c.prefer.Aim.Seconds()
		c.widest = max(c.widest, cl.Threads)
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
		k.Semantics, k.Scope, k.OrderByKey = cl.Semantics, cl.Scope, cl.OrderByKey
		k.Threads, k.Load, k.WaitsOnLoad = cl.Threads, cl.Load, cl.WaitsOnLoad
		if shape.Threads = max(shape.Threads, 1); !reflect.DeepEqual(shape, *k) {
			kept = append(kept, "classes["+strconv.Itoa(i)+"]: effect, order, threads, load or wait")
		}
		cl.Class = *k
	}
	if cfg.AskedDiscovery != c.cfg.AskedDiscovery {
		kept, cfg.AskedDiscovery = append(kept, "discovery"), c.cfg.AskedDiscovery
	}
	cfg.Seed, cfg.Instance = c.cfg.Seed, c.cfg.Instance // the random source was made of them
	c.cfg = cfg
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

// Handle takes one event and appends what is to be done. Time never goes back.
func (c *Controller) Handle(now time.Duration, ev Event, actions []Action) []Action {
	c.now, c.out = now, actions
	if !c.anyEvents {
		c.anyEvents, c.started, c.rateAt, c.doneAt = true, now, now, now
		c.wakeAt, c.due = math.MaxInt64, math.MaxInt64
		c.subscribe()
	}
	switch ev := ev.(type) {
	case EngineList:
		c.onList(ev)
	case Arrival:
		c.onArrival(ev)
	case Note:
		c.onNote(ev)
	case AttemptEnd:
		c.onEnd(ev)
	case StreamStart:
		if a := c.attempt(ev.Request, ev.Attempt); a != nil {
			a.streaming, a.r.end = true, math.MaxInt64
		}
	case Exclude:
		c.exclude(ev.Engine, true)
	case Include:
		c.exclude(ev.Engine, false)
	case Takeover:
		c.takeOver(ev.Snapshot)
	case Closing:
		c.closing(ev.At)
	case PeerUse:
		c.peerUse(ev)
	case Abort:
		if r := c.requests[ev.Request]; r != nil {
			c.finish(r)
			c.release()
		}
	case Timer:
		c.onTimer(ev)
	}
	c.arm()
	out := c.out
	c.out = nil
	return out
}

func (c *Controller) emit(a Action) { c.out = append(c.out, a) }

// line is the queue that the request is held in.
func (r *request) line() *[]*request {
	if r.aside {
		return &r.c.late
	}
	return &r.c.queue
}

// work is the request's estimated work, by its class where there is no estimate.
func (r *request) work() float64 { return r.est * r.c.best }

func (c *Controller) unhold(r *request) {
	if r.held {
		r.held = false
		c.held--
		q := r.line()
		*q = without(*q, r)
	}
}

// settle forgets a finished request once no attempt is out, and lets its key go on.
func (c *Controller) settle(r *request) {
	if !r.done || r.out > 0 {
		return
	}
	delete(c.requests, r.id)
	if r.ordered {
		if line := c.keys[r.key]; line != nil {
			line.line = without(line.line, r)
			if len(line.line) == 0 && line.rest <= c.now {
				delete(c.keys, r.key)
			}
		}
	}
}

func (c *Controller) attempt(id RequestID, hop int) *attempt {
	r := c.requests[id]
	if r == nil || hop < 0 || hop >= len(r.attempts) || r.attempts[hop].ended {
		return nil
	}
	return r.attempts[hop]
}

// count adds the attempt to its engine's own load and to the sums, or takes it off with sign -1.
func (c *Controller) count(a *attempt, sign float64) {
	e, threads := a.e, sign*float64(a.r.c.Threads)
	if a.preferred {
		e.prefer += threads
	} else {
		e.threads += threads
		c.threads += threads
	}
	e.work = max(e.work+sign*a.work, 0)
	e.granted = max(e.granted+sign*a.grant, 0)
	c.granted = max(c.granted+sign*a.grant, 0)
}

// relist keeps the listed engines and their sums, and forgets those that are gone with nothing out.
func (c *Controller) relist() {
	c.live, c.cores, c.memory, c.nearSize, c.homeOf = c.live[:0], 0, 0, 0, map[home][]*engine{}
	c.engines = slices.DeleteFunc(c.engines, func(e *engine) bool {
		if e.State == Gone && len(e.running) == 0 {
			c.setPeer(e, EngineUse{})
			delete(c.byID, e.ID)
			c.failed = without(c.failed, e)
			return true
		}
		return false
	})
	slices.SortFunc(c.engines, func(a, b *engine) int { return cmp.Compare(a.ID, b.ID) })
	old := c.zones
	c.zones = map[string]*rest.Group{}
	for _, e := range c.engines {
		if e.listed {
			if c.zones[e.Zone] = cmp.Or(c.zones[e.Zone], old[e.Zone]); c.zones[e.Zone] == nil {
				c.zones[e.Zone] = &rest.Group{}
			}
			c.live, c.cores, c.memory = append(c.live, e), c.cores+e.cores, c.memory+e.memory
		}
	}
	for _, e := range c.engines {
		if e.zone = c.zones[e.Zone]; e.zone == nil {
			e.zone = &rest.Group{} // of a zone with no listed engine nothing is kept
		}
	}
}

func secs(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func within(list []time.Duration, since time.Duration) []time.Duration {
	i := 0
	for i < len(list) && list[i] <= since {
		i++
	}
	return list[i:]
}

func without[T comparable](list []T, x T) []T {
	if i := slices.Index(list, x); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// ejected counts the listed engines that fail.
func (c *Controller) ejected() float64 {
	n := 0.0
	c.failed = slices.DeleteFunc(c.failed, func(e *engine) bool { return c.failing(e) < ejectAt })
	for _, e := range c.failed {
		if e.listed {
			n++
		}
	}
	return n
}

// ids remembers the engines that a list has named, the latest maxIDs of them and all that are excluded.
type ids struct {
	excluded map[EngineID]bool // of all remembered ones
	order    []EngineID
}

// maxIDs is some days of engines.
const maxIDs = 8192

// named notes that a list names an engine.
func (k *ids) named(id EngineID) {
	if _, known := k.excluded[id]; known {
		return
	}
	if len(k.order) >= maxIDs {
		if i := slices.IndexFunc(k.order, func(old EngineID) bool { return !k.excluded[old] }); i >= 0 {
			delete(k.excluded, k.order[i])
			k.order = slices.Delete(k.order, i, i+1)
		}
	}
	k.excluded[id] = false
	k.order = append(k.order, id)
}

// Knows tells whether a list has named an engine.
func (c *Controller) Knows(id EngineID) bool {
	_, known := c.ids.excluded[id]
	return known
}

// Excluded tells whether an engine gets no work by an operator's word.
func (c *Controller) Excluded(id EngineID) bool { return c.ids.excluded[id] }

// Avoided counts the engines in the list that get no ordinary work at that time: they drain, are excluded,
// fail or are down.
func (c *Controller) Avoided(now time.Duration) int {
	c.now = max(c.now, now)
	n, eject := 0, c.ejected() <= ejectMost*float64(len(c.live)) // else those that fail are used like others
	for _, e := range c.engines {
		if e.State != Gone && (!e.listed || e.lost >= downAfter || eject && c.failing(e) >= ejectAt) {
			n++
		}
	}
	return n
}

// fade is what is left of evidence from a time on, at a life in which it falls to 1/e.
func (c *Controller) fade(at, life time.Duration) float64 {
	return math.Exp(-(c.now - at).Seconds() / life.Seconds())
}

// dueOf is when an open request needs a look.
func (c *Controller) dueOf(r *request) time.Duration {
	due := r.end
	for _, a := range r.attempts {
		if !a.ended && !a.blamed && !a.streaming {
			due = min(due, c.silentAt(a)+1)
		}
	}
	return due
}

func (c *Controller) finish(r *request) {
	if r.done {
		return
	}
	r.done = true
	c.unhold(r)
	c.settle(r)
}

// warmth is the share of its capacity that an engine has by now.
func (c *Controller) warmth(e *engine) float64 {
	if c.now >= e.warmAt || c.cfg.ColdFor <= 0 || c.cfg.ColdFrom <= 0 {
		return 1
	}
	return c.cfg.ColdFrom + (1-c.cfg.ColdFrom)*min((c.now-e.coldAt).Seconds()/c.cfg.ColdFor.Seconds(), 1)
}

// slowness is an engine's time against the usual, fading to 1 when nothing renews it.
func (c *Controller) slowness(e *engine) float64 {
	if e.slow == 1 {
		return 1
	}
	return 1 + (e.slow-1)*c.fade(e.slowAt, evidenceLife)
}

// failing is an engine's share of failures, fading so that real queries try it again.
func (c *Controller) failing(e *engine) float64 {
	if e.fail == 0 {
		return 0
	}
	return e.fail * c.fade(e.failAt, evidenceLife)
}

// usual is the class's usual work.
func (c *Controller) usual(cl *class) float64 { return cl.estMean * cl.best }

// zonesLost tells whether so many zones give no answer that their engines are rather lost than cut off: where
// few zones or most of them are silent, gateways beyond a cut link leave these engines their part.
func (c *Controller) zonesLost() bool {
	n := 0
	for _, g := range c.zones {
		if g.Doubted() {
			n++
		}
	}
	return 4*n > len(c.zones) && 2*n <= len(c.zones)
}

// warm sums up the engines that are warm; in a large fleet those of zones that are lost are left out: others
// bear their part.
func (c *Controller) warm() (sum use) {
	lost := c.large() && c.zonesLost()
	for _, e := range c.live {
		if c.now >= e.warmAt && !(lost && e.zone.Doubted()) {
			sum.cores, sum.memory = sum.cores+e.cores, sum.memory+e.memory
			sum.threads, sum.granted = sum.threads+e.threads, sum.granted+e.granted
		}
	}
	return sum
}

// usable is what the bounds on all own queries go by: in a large fleet the warm engines, since what cold ones
// run is rationed.
func (c *Controller) usable() use {
	if c.large() {
		return c.warm()
	}
	return use{c.cores, c.memory, c.threads, c.granted}
}

// largest is the usual work of the largest class.
func (c *Controller) largest() (most float64) {
	for _, k := range c.classes {
		most = max(most, c.usual(k))
	}
	return most
}

func millis(d time.Duration) float64 { return d.Seconds() * 1000 }

// share is this gateway's part of the fleet: an even one, so that all parts sum to the whole.
func (c *Controller) share() float64 { return 1 / float64(max(c.cfg.Gateways, 1)) }

// traffic is this gateway's part of all traffic, by the quotas of all tenants. It passes 1 in overload, so
// nothing that sums over gateways may go by it.
func (c *Controller) traffic() float64 {
	even := c.share()
	if c.quotas <= 0 {
		return even
	}
	usual := (c.rate + even*c.quotas/shareLife.Seconds()) / (1 - c.fade(c.started-time.Second, shareLife))
	return min(max(usual/c.quotas, even/5), 1)
}

// expected is the time that a query takes at present, on an engine of usual speed.
func (c *Controller) expected(r *request) time.Duration {
	return secs(c.meanNow(r.c) * r.est / float64(r.c.Threads))
}

// coldOnes are the listed engines that are cold.
func (c *Controller) coldOnes() []*engine {
	c.cold = c.cold[:0]
	for _, e := range c.live {
		if c.now < e.warmAt {
			c.cold = append(c.cold, e)
		}
	}
	return c.cold
}

// firstGuess of a class's work is a quarter of the aim on each thread; the first answers correct it.
func firstGuess(k Class) float64 { return k.Aim.Seconds() / 4 * float64(k.Threads) }

// margin is kept before a client's end, so that a held request is answered in time.
func (c *Controller) margin() time.Duration { return 2*housekeeping + 2*c.cfg.Tick }

// breaks moves the share of attempts that break, on whatever engine, towards 1 for a break, 0 for an answer.
func (c *Controller) breaks(fail float64) {
	c.breakAll += breakGain / float64(max(len(c.live), 1)) * (fail - c.breakAll)
}

// zonesOn counts the zones that rest.
func (c *Controller) zonesOn() (n int) {
	for _, g := range c.zones {
		if g.On(millis(c.now)) {
			n++
		}
	}
	return n
}

// rests are those of an engine after strikes in a row, in milliseconds; zoneRests those of a zone once
// zoneStrikes of its engines in a row gave no answer.
var (
	rests     = rest.Terms{First: 250, Most: 4000}
	zoneRests = rest.Terms{First: 500, Most: 2000}
)

const zoneStrikes = 3

// strike keeps what internal/decide/rest goes by: a gateway of a large fleet keeps off an engine that gave no
// connection, no answer or no room, and off a zone where several gave none in a row. Its tries are few, and
// all gateways' are many.
func (c *Controller) strike(a *attempt, o Outcome) {
	e, now := a.e, millis(c.now)
	silent := o == ConnectFailed || o == TimedOut && !a.blamed && c.now+c.margin() < a.r.end
	switch {
	case o == Served:
		e.rest.Answer()
		e.zone.Answer()
	case c.large() && (silent || o == Full):
		jitter := 0.75 + c.rng.Float64()/2
		e.rest.Strike(now, jitter, rests)
		if silent {
			e.zone.Strike(int64(e.ID), zoneStrikes, now, jitter, zoneRests)
		}
	}
}

// resting tells whether an engine was full a moment ago, or rests, alone or with its zone; where all zones
// do, that is no reason.
func (c *Controller) resting(e *engine) bool {
	now := millis(c.now)
	return e.fullAt > 0 && c.now-e.fullAt < fullRest || e.rest.On(now) ||
		e.zone.On(now) && c.zonesOn() < len(c.zones)
}
