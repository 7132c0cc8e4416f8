package dispatch

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// fleetStart is the time at which simulations start.
const fleetStart = time.Hour

// fleetSimulation simulates a fleet: up to hundreds of controllers that do not communicate, engines that share their
// cores among what they run, clients that retry. What it checks shows in the sum over all routers only.
type fleetSimulation struct {
	t             *testing.T
	scenario      fleetScenario
	rng           *rand.Rand
	now           time.Duration
	routers       []*fleetRouter
	engines       []*fleetEngine
	enginesByID   map[EngineID]*fleetEngine
	events        fleetHeap
	lastEvent     int
	lastRequest   int
	statsBySecond []secondStats
	partitioned   bool // the lost zones are cut off from the others
	warmingLoad   warmingLoad
	onStart       func(router *fleetRouter, target *fleetEngine, class int)
	onAction      func(router *fleetRouter, action Action)
}

// fleetRouter is one router with its controller.
type fleetRouter struct {
	controller  *Controller
	config      Config
	incarnation int
	weight      float64 // of its traffic
	down        bool
	timerAt     time.Duration
	open        map[RequestID]*fleetRequest
}

// fleetSecond is what happened in one second.
type secondStats struct {
	offeredWeight, servedWeight   float64 // priority weight
	starts                        int     // of attempts
	engineFullAnswers             int     // attempts
	offeredByClass, servedByClass [3]float64
}

// fleetEvent is something that happens at a time; events at the same time happen in the order of their numbers.
type fleetEvent struct {
	at     time.Duration
	number int
	run    func()
}

// fleetHeap implements heap.Interface.
type fleetHeap []fleetEvent

func (h fleetHeap) Len() int { return len(h) }

func (h fleetHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].number < h[j].number
}

func (h fleetHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

func (h *fleetHeap) Push(x any) { *h = append(*h, x.(fleetEvent)) }

func (h *fleetHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

func newFleetSimulation(t *testing.T, scenario fleetScenario) *fleetSimulation {
	t.Helper()
	f := &fleetSimulation{
		t:             t,
		scenario:      scenario,
		rng:           rand.New(rand.NewPCG(scenario.seed, 77)),
		now:           fleetStart,
		enginesByID:   map[EngineID]*fleetEngine{},
		statsBySecond: make([]secondStats, int(scenario.duration/time.Second)+1),
	}
	for i := range scenario.engines {
		f.addEngine(EngineID(i+1), i)
	}
	for i := range scenario.routers {
		router := &fleetRouter{config: fleetConfig(scenario, i), weight: math.Exp(0.6 * f.rng.NormFloat64())}
		f.routers = append(f.routers, router)
		f.startRouter(router)
		if i == 0 && scenario.heavyRouterFactor > 0 {
			router.weight = scenario.heavyRouterFactor * math.Exp(0.6*0.6/2)
		}
	}
	return f
}

// schedule has something happen after a while.
func (f *fleetSimulation) schedule(after time.Duration, run func()) {
	f.lastEvent++
	heap.Push(&f.events, fleetEvent{f.now + after, f.lastEvent, run})
}

// elapsed is the time since the start.
func (f *fleetSimulation) elapsed() time.Duration { return f.now - fleetStart }

func (f *fleetSimulation) currentSecond() *secondStats { return f.secondAt(f.now) }

func (f *fleetSimulation) secondAt(at time.Duration) *secondStats {
	i := min(int((at-fleetStart)/time.Second), len(f.statsBySecond)-1)
	return &f.statsBySecond[i]
}

// startRouter starts a router, or a new incarnation of it that knows nothing.
func (f *fleetSimulation) startRouter(router *fleetRouter) {
	c, err := New(router.config)
	if err != nil {
		f.t.Fatal(err)
	}
	router.controller = c
	router.incarnation++
	router.open = map[RequestID]*fleetRequest{}
	var list []Endpoint
	for _, e := range f.engines {
		if !e.dead {
			list = append(list, e.Endpoint)
		}
	}
	f.handle(router, EndpointList{Mode: ListComplete, Endpoints: list})
}

// handle passes an event to a router, and carries out its actions.
func (f *fleetSimulation) handle(router *fleetRouter, event Event) {
	if router.down {
		return
	}
	for _, action := range router.controller.Handle(f.now, event, nil) {
		f.applyAction(router, action)
	}
}

// announce sends an endpoint list to all routers, each after a random delay.
func (f *fleetSimulation) announce(delay time.Duration, list ...Endpoint) {
	for _, router := range f.routers {
		f.schedule(delay+time.Duration(f.rng.Float64()*float64(300*ms)), func() {
			f.handle(router, EndpointList{Mode: ListIncremental, Endpoints: list})
		})
	}
}

func (f *fleetSimulation) applyAction(router *fleetRouter, action Action) {
	if f.onAction != nil {
		f.onAction(router, action)
	}
	switch action := action.(type) {
	case SetTimer:
		f.setTimer(router, action)
	case SetResources:
		if req := router.open[action.Request]; req != nil {
			req.preferred = action.Priority == preferredPriority
		}
	case StartAttempt:
		f.startAttempt(router, action)
	case Reject:
		fleetClients{f}.endWithoutResult(router, action.Request, action.RetryAfter)
	case FailRequest:
		fleetClients{f}.endWithoutResult(router, action.Request, 0)
	case CancelAttempt, Subscribe: // not allowed by the settings
	}
}

// setTimer schedules a timer, unless the router sets another one or restarts before.
func (f *fleetSimulation) setTimer(router *fleetRouter, action SetTimer) {
	at, incarnation := f.now+action.After, router.incarnation
	router.timerAt = at
	f.schedule(action.After, func() {
		if router.incarnation == incarnation && router.timerAt == at {
			f.handle(router, TimerFired{Tag: action.Tag})
		}
	})
}

func (f *fleetSimulation) startAttempt(router *fleetRouter, action StartAttempt) {
	f.currentSecond().starts++
	req := router.open[action.Request]
	a := &fleetAttempt{
		router:      router,
		incarnation: router.incarnation,
		id:          action.Request,
		index:       req.attempts,
		class:       req.class,
		work:        req.work,
		workLeft:    req.work,
		threads:     float64(router.config.Classes[req.class].Threads),
		preferred:   req.preferred,
	}
	req.attempts++
	target := f.enginesByID[action.Engine]
	if f.onStart != nil {
		f.onStart(router, target, req.class)
	}
	f.schedule(ms+f.connectDelay(target, a, action.StartWithin), func() { f.deliverAttempt(target, a) })
}

// run simulates the scenario and a few seconds more.
func (f *fleetSimulation) run() {
	fleetClients{f}.scheduleTraffic()
	fleetFaults{f}.scheduleFaults()
	for end := fleetStart + f.scenario.duration + 3*time.Second; f.now < end; {
		until := f.now + fleetTick
		for len(f.events) > 0 && f.events[0].at <= until {
			event := heap.Pop(&f.events).(fleetEvent)
			f.now = max(f.now, event.at)
			event.run()
		}
		f.now = until
		f.runEngines()
	}
}

// served is the share of the offered priority weight that was earned, from one second on to another.
func (f *fleetSimulation) servedShare(from, to int) float64 {
	offeredWeight, servedWeight := 0.0, 0.0
	for _, stats := range f.statsBySecond[from:min(to, len(f.statsBySecond))] {
		offeredWeight += stats.offeredWeight
		servedWeight += stats.servedWeight
	}
	return servedWeight / max(offeredWeight, 1)
}

// totals counts the attempts that were started, and those that engines answered with being full.
func (f *fleetSimulation) attemptTotals() (starts, answeredFull int) {
	for _, stats := range f.statsBySecond {
		starts += stats.starts
		answeredFull += stats.engineFullAnswers
	}
	return starts, answeredFull
}
