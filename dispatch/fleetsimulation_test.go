package dispatch

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// fleetStart is the simulated time at which a simulation starts.
const fleetStart = time.Hour

// fleetSimulation simulates a fleet: up to hundreds of controllers that do not communicate, engines that share their
// cores among their attempts, and clients that retry. Its results, such as the served share or the load of a warming
// engine, are sums over all routers, which no single controller can observe.
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
	partitioned   bool // the lost zones are separated from the others
	warmingLoad   warmingLoad
	onStart       func(router *fleetRouter, target *fleetEngine, class int)
	onAction      func(router *fleetRouter, action Action)
}

// fleetRouter simulates one router.
type fleetRouter struct {
	controller  *Controller
	config      Config
	incarnation int     // number of starts and connection losses; events of an earlier incarnation are ignored
	weight      float64 // share of the traffic relative to other routers
	down        bool
	timerAt     time.Duration
	open        map[RequestID]*fleetRequest
}

// secondStats holds the totals of one second of simulated time.
type secondStats struct {
	offeredWeight, servedWeight   float64 // sum of the priority weights
	starts                        int     // number of attempts started
	engineFullAnswers             int     // number of attempts rejected because their engine was full
	offeredByClass, servedByClass [3]float64
}

// fleetEvent is a scheduled call. Events at the same time run in the order of their numbers.
type fleetEvent struct {
	at     time.Duration
	number int
	run    func()
}

// fleetHeap orders scheduled events by time. It implements heap.Interface.
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

// schedule runs a function after the given simulated time.
func (f *fleetSimulation) schedule(after time.Duration, run func()) {
	f.lastEvent++
	heap.Push(&f.events, fleetEvent{f.now + after, f.lastEvent, run})
}

// elapsed returns the simulated time since the start of the simulation.
func (f *fleetSimulation) elapsed() time.Duration { return f.now - fleetStart }

func (f *fleetSimulation) currentSecond() *secondStats { return f.secondAt(f.now) }

func (f *fleetSimulation) secondAt(at time.Duration) *secondStats {
	i := min(int((at-fleetStart)/time.Second), len(f.statsBySecond)-1)
	return &f.statsBySecond[i]
}

// startRouter starts or restarts a router with a new controller, which knows only the current endpoint list.
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

// handle passes an event to the controller of a router and applies the resulting actions. A router that is down ignores
// the event.
func (f *fleetSimulation) handle(router *fleetRouter, event Event) {
	if router.down {
		return
	}
	for _, action := range router.controller.Handle(f.now, event, nil) {
		f.applyAction(router, action)
	}
}

// announce sends an incremental endpoint list to all routers, each after the given delay plus up to 300 ms.
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
	case CancelAttempt, Subscribe: // fleetConfig does not enable these
	}
}

// setTimer schedules a timer event. It is dropped if the router restarts or sets another timer before.
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

// run simulates the scenario and three more seconds, so that open requests end.
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

// servedShare returns the share of the offered priority weight that was served, for requests that arrived in the
// seconds from <= second < to.
func (f *fleetSimulation) servedShare(from, to int) float64 {
	offeredWeight, servedWeight := 0.0, 0.0
	for _, stats := range f.statsBySecond[from:min(to, len(f.statsBySecond))] {
		offeredWeight += stats.offeredWeight
		servedWeight += stats.servedWeight
	}
	return servedWeight / max(offeredWeight, 1)
}

// attemptTotals returns the number of attempts that were started, and of those that full engines rejected.
func (f *fleetSimulation) attemptTotals() (starts, answeredFull int) {
	for _, stats := range f.statsBySecond {
		starts += stats.starts
		answeredFull += stats.engineFullAnswers
	}
	return starts, answeredFull
}
