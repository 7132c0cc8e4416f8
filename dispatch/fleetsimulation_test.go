package dispatch

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// This file plays a whole fleet: hundreds of controllers that know nothing of each other, engines that share their cores
// among what they run, clients that come again. What it checks shows in the sum only.

// fleetScenario is a day on a fleet.
type fleetScenario struct {
	seed                                 uint64
	routers, engines                     int
	cores                                int     // of an engine
	load                                 float64 // asked of the capacity of all engines
	duration                             time.Duration
	slowShare                            float64 // share of the engines that take three times as long
	replacedShare                        float64 // share of the engines that are replaced between joinAt and joinAt + joinFor
	restartedShare                       float64 // share of the gateways that start anew at joinAt
	zoneLost                             bool    // zone z0 is lost at joinAt, silent, and back cold after joinFor
	zones                                int
	listDelay                            time.Duration // how long after that lists say so; 0: never
	partitioned                          bool          // a zone is cut off from the others for as long: its gateways reach its engines alone
	faultAt, faultFor                    time.Duration
	lostZones                            int     // that many zones are lost, or cut off from the others, with their gateways, and are told of in one list; 0: z0, its engines alone, each told of by itself
	rackSize                             int     // that many engines of z0, and half as many of its gateways, are lost at joinAt, or only the engines drained; told of as zones are
	rackDrained                          bool    // the rack's engines are told of as draining at joinAt, and die 3 s later
	rollingRestarts, rollingReplacements int     // gateways that are restarted, and engines that are replaced, in a row from joinAt on for joinFor
	impatientShare                       float64 // share of clients that give up early from joinAt on
	burstFactor                          float64 // traffic between the two, over the usual
	heavyRouterFactor                    float64 // traffic of the first gateway, over the mean; 0: as it falls
	// pile has connections to cold engines come up together, once in that time, with all that waits for them; what has to
	// begin sooner ends as never run.
	connectInterval time.Duration
}

const (
	fleetTick           = 5 * ms
	fleetQueriesPerCore = 4   // queries a core at most
	fleetThreadsPerCore = 2.0 // threads a core past which an engine does less
	fleetDiskFactor     = 1.5 // a query's work over the part of it that needs a core: the rest waits for disks
)

var fleetClasses = []struct {
	part, work, spread float64 // share of requests, core seconds, sigma of its logarithm
}{{0.78, 0.085, 0.8}, {0.16, 0.9, 1.0}, {0.06, 0.9, 0.6}}

type fleetAttempt struct {
	router        *fleetRouter
	incarnation   int // of the router
	id            RequestID
	index         int
	class         int
	work          float64
	workLeft      float64
	threads       float64
	preferred     bool
	startsTooLate bool // its connection does not come up by the time at which it has to begin
}

type fleetEngine struct {
	Endpoint
	speed     float64
	dead      bool
	silent    bool
	collapsed bool
	running   []*fleetAttempt
	received  []sentWork
	coldSent  float64
}

type fleetRouter struct {
	controller  *Controller
	config      Config
	incarnation int
	weight      float64
	down        bool
	timerAt     time.Duration
	open        map[RequestID]*fleetRequest
}

// fleetRequest is a client's try.
type fleetRequest struct {
	id                  RequestID
	class               int
	work                float64
	arrivedAt           time.Duration
	objective, deadline time.Duration
	tries               int
	attempts            int
	preferred           bool
}

type fleetEvent struct {
	at time.Duration
	n  int
	do func()
}

type fleetHeap []fleetEvent

func (h fleetHeap) Len() int { return len(h) }

func (h fleetHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].n < h[j].n
}

func (h fleetHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *fleetHeap) Push(x any) { *h = append(*h, x.(fleetEvent)) }

func (h *fleetHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// fleetSecond is what happened in one second.
type fleetSecond struct {
	offered, earned                float64 // worth
	offeredBy, earnedBy            [3]float64
	arrivals, starts, answeredFull int
	rejected, failed               int
}

type fleetSimulation struct {
	t                 *testing.T
	scenario          fleetScenario
	rng               *rand.Rand
	now               time.Duration
	routers           []*fleetRouter
	engines           []*fleetEngine
	byID              map[EngineID]*fleetEngine
	events            fleetHeap
	lastEvent, lastID int
	seconds           []fleetSecond
	collapsed         int
	partitioned       bool    // zone z0 from the others
	maxWarmingLoad    float64 // work sent to a cold engine in a window, over what it may be sent
	onStart           func(*fleetRouter, *fleetEngine, int)
	onAction          func(*fleetRouter, Action)
	maxWarmingExcess  float64 // the most of it past that, in calls of mean work, over 2 root of N + 2, N being what it may be sent
}

func (f *fleetSimulation) schedule(d time.Duration, do func()) {
	f.lastEvent++
	heap.Push(&f.events, fleetEvent{f.now + d, f.lastEvent, do})
}

func (f *fleetSimulation) currentSecond() *fleetSecond { return f.secondAt(f.now) }

func (f *fleetSimulation) secondAt(at time.Duration) *fleetSecond {
	i := min(int((at-time.Hour)/time.Second), len(f.seconds)-1)
	return &f.seconds[i]
}

func fleetConfig(day fleetScenario, i int) Config {
	config := Config{
		Seed: day.seed*1000 + uint64(i), RouterIndex: i, Routers: day.routers, Tick: 1 * ms, MaxAttempts: 5, Priorities: true,
		RetryAfterAllowed: true, MaxRetryAfter: 2 * time.Second, HedgingAllowed: true, MaxQueued: 50, OverQuotaWeight: 0.1,
		Kinds: []EngineKind{{Name: "k", Cores: float64(day.cores), MemoryMB: 1 << 16}}, MaxGrantShare: 0.4,
		WarmUpInitialShare: 0.36, WarmUpDuration: 12 * time.Second, WarmUpOverloadFactor: 2, WarmUpOverloadWindow: 1500 * ms,
		Classes: []Class{
			{Name: "lookup", LatencyObjective: 400 * ms, ObjectiveStretch: 2, Deadline: 1960 * ms, PriorityWeight: 1, Threads: 1, BlockedByLoad: true},
			{Name: "report", LatencyObjective: 590 * ms, ObjectiveStretch: 2.5, Deadline: 7800 * ms, PriorityWeight: 10, LateWeightShare: 0.4, Threads: 4, BlockedByLoad: true},
			{Name: "load", LatencyObjective: 1180 * ms, ObjectiveStretch: 3, Deadline: 9800 * ms, PriorityWeight: 7.5, LateWeightShare: 0.5, Threads: 2, LocksTableGroup: true, Semantics: AtMostOnce},
		},
	}
	return config
}

func newFleetSimulation(t *testing.T, day fleetScenario) *fleetSimulation {
	f := &fleetSimulation{
		t: t, scenario: day, rng: rand.New(rand.NewPCG(day.seed, 77)), now: time.Hour, byID: map[EngineID]*fleetEngine{},
		seconds: make([]fleetSecond, int(day.duration/time.Second)+1),
	}
	for i := range day.engines {
		f.addEngine(EngineID(i+1), i)
	}
	for i := range day.routers {
		r := &fleetRouter{config: fleetConfig(day, i), weight: math.Exp(0.6 * f.rng.NormFloat64())}
		f.routers = append(f.routers, r)
		if f.startRouter(r); i == 0 && day.heavyRouterFactor > 0 {
			r.weight = day.heavyRouterFactor * math.Exp(0.6*0.6/2)
		}
	}
	return f
}

func (f *fleetSimulation) addEngine(id EngineID, i int) *fleetEngine {
	e := &fleetEngine{Endpoint: Endpoint{ID: id, Kind: "k", Zone: fmt.Sprint("z", i%f.scenario.zones), Cell: i % f.scenario.zones, CapacityWeight: 1}, speed: 0.9 + 0.2*f.rng.Float64()}
	if f.rng.Float64() < f.scenario.slowShare {
		e.speed /= 3
	}
	f.engines = append(f.engines, e)
	f.byID[id] = e
	return e
}

func (f *fleetSimulation) startRouter(r *fleetRouter) {
	c, err := New(r.config)
	if err != nil {
		f.t.Fatal(err)
	}
	r.controller, r.incarnation, r.open = c, r.incarnation+1, map[RequestID]*fleetRequest{}
	var list []Endpoint
	for _, e := range f.engines {
		if !e.dead {
			list = append(list, e.Endpoint)
		}
	}
	f.handle(r, EndpointList{Mode: ListComplete, Endpoints: list})
}

func (f *fleetSimulation) handle(r *fleetRouter, ev Event) {
	if r.down {
		return
	}
	for _, a := range r.controller.Handle(f.now, ev, nil) {
		f.carryOut(r, a)
	}
}

// announce tells all routers of engines, each after a time of its own.
func (f *fleetSimulation) announce(late time.Duration, list ...Endpoint) {
	for _, r := range f.routers {
		f.schedule(late+time.Duration(f.rng.Float64()*float64(300*ms)), func() { f.handle(r, EndpointList{Mode: ListIncremental, Endpoints: list}) })
	}
}

func (f *fleetSimulation) carryOut(r *fleetRouter, a Action) {
	if f.onAction != nil {
		f.onAction(r, a)
	}
	switch a := a.(type) {
	case SetTimer:
		at := f.now + a.After
		r.timerAt = at
		life := r.incarnation
		f.schedule(a.After, func() {
			if r.incarnation == life && r.timerAt == at {
				f.handle(r, TimerFired{Tag: a.Tag})
			}
		})
	case SetResources:
		if q := r.open[a.Request]; q != nil {
			q.preferred = a.Priority == 2
		}
	case StartAttempt:
		f.currentSecond().starts++
		q := r.open[a.Request]
		x := &fleetAttempt{
			router: r, incarnation: r.incarnation, id: a.Request, index: q.attempts, class: q.class, work: q.work, workLeft: q.work,
			threads: float64(r.config.Classes[q.class].Threads), preferred: q.preferred,
		}
		q.attempts++
		e := f.byID[a.Engine]
		if f.onStart != nil {
			f.onStart(r, e, q.class)
		}
		f.schedule(ms+f.connectTime(e, x, a.StartWithin), func() { f.reachEngine(e, x) })
	case Reject:
		f.currentSecond().rejected++
		f.endWithoutResult(r, a.Request, a.RetryAfter)
	case FailRequest:
		f.currentSecond().failed++
		f.endWithoutResult(r, a.Request, 0)
	}
}
