package dispatch

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// recountWarm is what warm is to be, added up over all engines.
func (c *Controller) recountWarm() (sum resources) {
	lost := c.capacity.largeFleet() && c.endpoints.zonesLost()
	granted := int64(0)
	for _, e := range c.endpoints.listed {
		if c.env.now >= e.warmUp.end && !(lost && e.zone.Suspect()) {
			sum.cores, sum.memoryMB = sum.cores+e.cores, sum.memoryMB+e.memoryMB
			sum.threads, granted = sum.threads+e.usage.threads, granted+grantUnits(e.usage.grantedMB)
		}
	}
	sum.grantedMB = float64(granted) * grantUnitMB
	return sum
}

// recountBudgeted are the cold engines that have a ration, looked for one by one.
func (c *Controller) recountBudgeted() (ids []EngineID) {
	for _, e := range c.endpoints.listed {
		if c.env.now < e.warmUp.end && c.capacity.largeFleet() && c.env.config.WarmUpOverloadFactor > 0 {
			if _, ok := c.warmUps.budget(e).Available(milliseconds(c.env.now), milliseconds(c.env.config.WarmUpOverloadWindow)); ok {
				ids = append(ids, e.ID)
			}
		}
	}
	return ids
}

func (c *Controller) recountEjected() (n float64) {
	for _, e := range c.endpoints.listed {
		if e.health.currentFailureShare(c.env) >= ejectionThreshold {
			n++
		}
	}
	return n
}

// mirroredControllers are two controllers that are told the same. One keeps its sums, the other reckons all of them anew before each event.
type mirroredControllers struct {
	*rapid.T
	incremental, recounting *Controller
	now                     time.Duration
	outstanding             []StartAttempt
	attempts                map[RequestID]int
	timerAt                 time.Duration
	endpoints               map[EngineID]Endpoint
	lastID                  int
}

func (w *mirroredControllers) handle(ev Event) {
	w.recounting.capacity.recountAt, w.recounting.outliers.countUntil, w.recounting.endpoints.unsorted, w.recounting.endpoints.anyRemoved = 0, 0, true, true
	got, want := w.incremental.Handle(w.now, ev, nil), w.recounting.Handle(w.now, ev, nil)
	if !reflect.DeepEqual(got, want) {
		w.Fatalf("%#v at %v: %v, and %v where all is reckoned anew", ev, w.now, got, want)
	}
	for _, a := range got {
		switch a := a.(type) {
		case StartAttempt:
			w.outstanding = append(w.outstanding, a)
			w.attempts[a.Request]++
		case SetTimer:
			w.timerAt = w.now + a.After
		}
	}
	c := w.incremental
	if got, want := c.capacity.warmResources(), c.recountWarm(); got != want {
		w.Fatalf("%#v at %v: warm engines have %+v, want %+v", ev, w.now, got, want)
	}
	if got, want := c.outliers.ejectedCount(), c.recountEjected(); got != want {
		w.Fatalf("%#v at %v: %v engines are ejected, want %v", ev, w.now, got, want)
	}
	var ids []EngineID
	for _, e := range c.warmUps.withBudget() {
		ids = append(ids, e.ID)
	}
	if want := c.recountBudgeted(); !slices.Equal(ids, want) {
		w.Fatalf("%#v at %v: rations of %v, want those of %v", ev, w.now, ids, want)
	}
	w.recounting.capacity.warmResources()
	w.recounting.warmUps.withBudget()
	w.recounting.recountBudgeted()
	w.recounting.outliers.ejectedCount()
}

// changedEndpoint draws what a list says of an engine.
func (w *mirroredControllers) changedEndpoint() Endpoint {
	id := EngineID(rapid.IntRange(1, 60).Draw(w.T, "engine"))
	e, known := w.endpoints[id]
	if !known {
		e = Endpoint{ID: id, Kind: "k", Zone: fmt.Sprint("z", int(id)%5), Cell: int(id) % 5, CapacityWeight: 1}
	}
	switch e.State = rapid.SampledFrom([]EndpointState{Live, Live, Live, Draining, Removed}).Draw(w.T, "state"); {
	case e.State == Live && rapid.Bool().Draw(w.T, "new"):
		e.StartedAt = w.now - time.Duration(rapid.IntRange(0, 3000).Draw(w.T, "age"))*ms
	case rapid.IntRange(0, 9).Draw(w.T, "moved") == 0:
		e.Zone = fmt.Sprint("z", rapid.IntRange(0, 6).Draw(w.T, "zone"))
	}
	w.endpoints[id] = e
	return e
}

// endAttempt has an attempt end, nearly always without a connection where its zone is dead.
func (w *mirroredControllers) endAttempt(dead map[string]bool) {
	if len(w.outstanding) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.outstanding)-1).Draw(w.T, "which")
	s := w.outstanding[i]
	w.outstanding = slices.Delete(w.outstanding, i, i+1)
	o := rapid.SampledFrom([]Outcome{Served, Served, Served, EngineFailed, ConnectFailed, ConnectFailed, ConnectionReset, EngineFull, TimedOut}).Draw(w.T, "outcome")
	if e := w.incremental.endpoints.byID[s.Engine]; e != nil && dead[e.Zone] && rapid.IntRange(0, 9).Draw(w.T, "through") > 0 {
		o = ConnectFailed
	}
	w.handle(AttemptEnd{Request: s.Request, Attempt: w.attempts[s.Request] - 1, Outcome: o, Last: o == Served})
}

// The sums that are kept give the same decisions, draw for draw, as adding up all engines anew at each event, whatever order
// events come in: statements, their ends of every kind, lists, bans, upgrades, other settings, long pauses.
func TestKeptSumsDecideAsPlainOnes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gateways := rapid.SampledFrom([]int{3, 60, 600}).Draw(t, "gateways")
		cfg := fleetConfig(fleetScenario{seed: 1, routers: gateways, cores: 8}, 7)
		cfg.Grants = true
		w := &mirroredControllers{T: t, now: time.Hour, attempts: map[RequestID]int{}, endpoints: map[EngineID]Endpoint{}}
		for _, c := range []**Controller{&w.incremental, &w.recounting} {
			var err error
			if *c, err = New(cfg); err != nil {
				t.Fatal(err)
			}
		}
		dead := map[string]bool{}
		for range rapid.IntRange(0, 2).Draw(t, "dead") {
			dead[fmt.Sprint("z", rapid.IntRange(0, 4).Draw(t, "zone"))] = true
		}
		busy := rapid.IntRange(0, 40).Draw(t, "busy") // how much more there is of statements than of the rest
		var list []Endpoint
		for range rapid.IntRange(1, 40).Draw(t, "first") {
			list = append(list, w.changedEndpoint())
		}
		w.handle(EndpointList{Mode: ListComplete, Endpoints: list})
		for range rapid.IntRange(20, 250).Draw(t, "events") {
			w.now += rapid.SampledFrom([]time.Duration{0, 0, ms, 3 * ms, 20 * ms, 150 * ms, 1500 * ms, 15 * time.Second}).Draw(t, "passes")
			if w.timerAt > 0 && w.now >= w.timerAt {
				w.timerAt = 0
				w.handle(TimerFired{Tag: housekeepingTag})
			}
			switch kind := rapid.IntRange(0, 14+busy).Draw(t, "kind"); kind {
			case 0, 14:
				w.handle(EndpointList{Mode: ListIncremental, Endpoints: []Endpoint{w.changedEndpoint(), w.changedEndpoint()}})
			case 1:
				list = list[:0]
				for range rapid.IntRange(0, 60).Draw(t, "whole") {
					list = append(list, w.changedEndpoint())
				}
				w.handle(EndpointList{Mode: ListComplete, Endpoints: list})
			case 2:
				w.handle(Cordon{Engine: EngineID(rapid.IntRange(1, 60).Draw(t, "banned"))})
			case 3:
				w.handle(Uncordon{Engine: EngineID(rapid.IntRange(1, 60).Draw(t, "back"))})
			case 4:
				var use OtherProcessUsage
				for range rapid.IntRange(0, 3).Draw(t, "uses") {
					use.Engines = append(use.Engines, EngineUsage{ID: EngineID(rapid.IntRange(1, 60).Draw(t, "used")), Threads: 4, Work: 1, GrantedMB: 100.1, WarmUpWork: 0.1})
				}
				w.handle(use)
			case 5:
				changed := cfg
				changed.Routers, changed.WarmUpOverloadFactor = rapid.SampledFrom([]int{3, 60, 600}).Draw(t, "now"), rapid.SampledFrom([]float64{0, 1.5, 2, 3}).Draw(t, "factor")
				for _, c := range []*Controller{w.incremental, w.recounting} {
					if _, _, err := c.Configure(changed); err != nil {
						t.Fatal(err)
					}
				}
			default:
				if kind%2 == 0 {
					w.endAttempt(dead)
					continue
				}
				w.lastID++
				class := rapid.SampledFrom([]string{"lookup", "report", "load"}).Draw(t, "class")
				w.handle(Arrival{
					Request: RequestID(fmt.Sprint(w.lastID)), Class: class, TableGroup: int64(rapid.IntRange(0, 5).Draw(t, "group")), TimeLeft: 3 * time.Second,
					Estimate: time.Duration(rapid.IntRange(1, 4000).Draw(t, "estimate")) * ms, NeedMB: rapid.Float64Range(0, 900).Draw(t, "need"),
				})
			}
		}
	})
}

// An engine that starts anew while it is cold comes by a ration again, by its new start: the twins above share the code that says so.
func TestRationBeginsAnewWithTheEngine(t *testing.T) {
	cfg := fleetConfig(fleetScenario{seed: 1, routers: 60, cores: 8}, 7)
	w := newHarness(t, cfg)
	list := testEngines(40)
	for _, born := range []time.Duration{w.now - time.Second, w.now + 2*time.Second} {
		w.now = born + time.Second
		list[0].StartedAt = born
		w.updateEndpoints(ListComplete, list...)
		w.controller.capacity.warmResources()
		e := w.controller.endpoints.byID[1]
		if due := e.warmUp.budget.NextDue(); due <= milliseconds(born) || due > milliseconds(e.warmUp.end) {
			t.Errorf("started at %v, its next chunk is due at %v ms", born, due)
		}
	}
}

// A try of an engine that is down renews the evidence against it, and it counts among those that fail.
func TestTryOfAnEngineThatIsDownCounts(t *testing.T) {
	w := newHarness(t, twoClassConfig())
	w.updateEndpoints(ListComplete, testEngines(1)...)
	w.controller.env.now = w.now
	e := w.controller.endpoints.listed[0]
	for range maxConnectionFailures + 1 {
		w.controller.outliers.attributeFailure(e, failureGain)
		e.health.connectionFailures++
	}
	w.now += evidenceLife
	w.controller.env.now = w.now
	if got := w.controller.outliers.ejectedCount(); got != 0 || e.health.currentFailureShare(w.controller.env) >= ejectionThreshold {
		t.Fatalf("%v engines are ejected after the evidence has faded", got)
	}
	if w.arrive("quick", ""); len(w.starts) != 1 {
		t.Fatal("the engine was not tried")
	}
	if got, want := w.controller.outliers.ejectedCount(), w.controller.recountEjected(); got != want || want != 1 {
		t.Errorf("%v engines are ejected, %v fail, want 1", got, want)
	}
}
