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

func (m *mirroredControllers) handle(ev Event) {
	m.recounting.capacity.recountAt, m.recounting.outliers.countUntil, m.recounting.endpoints.unsorted, m.recounting.endpoints.anyRemoved = 0, 0, true, true
	got, want := m.incremental.Handle(m.now, ev, nil), m.recounting.Handle(m.now, ev, nil)
	if !reflect.DeepEqual(got, want) {
		m.Fatalf("%#v at %v: %v, and %v where all is reckoned anew", ev, m.now, got, want)
	}
	for _, a := range got {
		switch a := a.(type) {
		case StartAttempt:
			m.outstanding = append(m.outstanding, a)
			m.attempts[a.Request]++
		case SetTimer:
			m.timerAt = m.now + a.After
		}
	}
	c := m.incremental
	if got, want := c.capacity.warmResources(), c.recountWarm(); got != want {
		m.Fatalf("%#v at %v: warm engines have %+v, want %+v", ev, m.now, got, want)
	}
	if got, want := c.outliers.ejectedCount(), c.recountEjected(); got != want {
		m.Fatalf("%#v at %v: %v engines are ejected, want %v", ev, m.now, got, want)
	}
	var ids []EngineID
	for _, e := range c.warmUps.withBudget() {
		ids = append(ids, e.ID)
	}
	if want := c.recountBudgeted(); !slices.Equal(ids, want) {
		m.Fatalf("%#v at %v: rations of %v, want those of %v", ev, m.now, ids, want)
	}
	m.recounting.capacity.warmResources()
	m.recounting.warmUps.withBudget()
	m.recounting.recountBudgeted()
	m.recounting.outliers.ejectedCount()
}

// changedEndpoint draws what a list says of an engine.
func (m *mirroredControllers) changedEndpoint() Endpoint {
	id := EngineID(rapid.IntRange(1, 60).Draw(m.T, "engine"))
	e, known := m.endpoints[id]
	if !known {
		e = Endpoint{ID: id, Kind: "k", Zone: fmt.Sprint("z", int(id)%5), Cell: int(id) % 5, CapacityWeight: 1}
	}
	switch e.State = rapid.SampledFrom([]EndpointState{Live, Live, Live, Draining, Removed}).Draw(m.T, "state"); {
	case e.State == Live && rapid.Bool().Draw(m.T, "new"):
		e.StartedAt = m.now - time.Duration(rapid.IntRange(0, 3000).Draw(m.T, "age"))*ms
	case rapid.IntRange(0, 9).Draw(m.T, "moved") == 0:
		e.Zone = fmt.Sprint("z", rapid.IntRange(0, 6).Draw(m.T, "zone"))
	}
	m.endpoints[id] = e
	return e
}

// endAttempt has an attempt end, nearly always without a connection where its zone is dead.
func (m *mirroredControllers) endAttempt(dead map[string]bool) {
	if len(m.outstanding) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.outstanding)-1).Draw(m.T, "which")
	s := m.outstanding[i]
	m.outstanding = slices.Delete(m.outstanding, i, i+1)
	o := rapid.SampledFrom([]Outcome{Served, Served, Served, EngineFailed, ConnectFailed, ConnectFailed, ConnectionReset, EngineFull, TimedOut}).Draw(m.T, "outcome")
	if e := m.incremental.endpoints.byID[s.Engine]; e != nil && dead[e.Zone] && rapid.IntRange(0, 9).Draw(m.T, "through") > 0 {
		o = ConnectFailed
	}
	m.handle(AttemptEnd{Request: s.Request, Attempt: m.attempts[s.Request] - 1, Outcome: o, Last: o == Served})
}

// The sums that are kept give the same decisions, draw for draw, as adding up all engines anew at each event, whatever order
// events come in: statements, their ends of every kind, lists, bans, upgrades, other settings, long pauses.
func TestIncrementalSumsDecideAsRecounted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.SampledFrom([]int{3, 60, 600}).Draw(t, "routers")
		config := fleetConfig(fleetScenario{seed: 1, routers: routers, cores: 8}, 7)
		config.Grants = true
		m := &mirroredControllers{T: t, now: time.Hour, attempts: map[RequestID]int{}, endpoints: map[EngineID]Endpoint{}}
		for _, c := range []**Controller{&m.incremental, &m.recounting} {
			var err error
			if *c, err = New(config); err != nil {
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
			list = append(list, m.changedEndpoint())
		}
		m.handle(EndpointList{Mode: ListComplete, Endpoints: list})
		for range rapid.IntRange(20, 250).Draw(t, "events") {
			m.now += rapid.SampledFrom([]time.Duration{0, 0, ms, 3 * ms, 20 * ms, 150 * ms, 1500 * ms, 15 * time.Second}).Draw(t, "passes")
			if m.timerAt > 0 && m.now >= m.timerAt {
				m.timerAt = 0
				m.handle(TimerFired{Tag: housekeepingTag})
			}
			switch kind := rapid.IntRange(0, 14+busy).Draw(t, "kind"); kind {
			case 0, 14:
				m.handle(EndpointList{Mode: ListIncremental, Endpoints: []Endpoint{m.changedEndpoint(), m.changedEndpoint()}})
			case 1:
				list = list[:0]
				for range rapid.IntRange(0, 60).Draw(t, "whole") {
					list = append(list, m.changedEndpoint())
				}
				m.handle(EndpointList{Mode: ListComplete, Endpoints: list})
			case 2:
				m.handle(Cordon{Engine: EngineID(rapid.IntRange(1, 60).Draw(t, "banned"))})
			case 3:
				m.handle(Uncordon{Engine: EngineID(rapid.IntRange(1, 60).Draw(t, "back"))})
			case 4:
				var use OtherProcessUsage
				for range rapid.IntRange(0, 3).Draw(t, "uses") {
					use.Engines = append(use.Engines, EngineUsage{ID: EngineID(rapid.IntRange(1, 60).Draw(t, "used")), Threads: 4, Work: 1, GrantedMB: 100.1, WarmUpWork: 0.1})
				}
				m.handle(use)
			case 5:
				changed := config
				changed.Routers, changed.WarmUpOverloadFactor = rapid.SampledFrom([]int{3, 60, 600}).Draw(t, "now"), rapid.SampledFrom([]float64{0, 1.5, 2, 3}).Draw(t, "factor")
				for _, c := range []*Controller{m.incremental, m.recounting} {
					if _, _, err := c.Configure(changed); err != nil {
						t.Fatal(err)
					}
				}
			default:
				if kind%2 == 0 {
					m.endAttempt(dead)
					continue
				}
				m.lastID++
				class := rapid.SampledFrom([]string{"lookup", "report", "load"}).Draw(t, "class")
				m.handle(Arrival{
					Request: RequestID(fmt.Sprint(m.lastID)), Class: class, TableGroup: int64(rapid.IntRange(0, 5).Draw(t, "group")), TimeLeft: 3 * time.Second,
					Estimate: time.Duration(rapid.IntRange(1, 4000).Draw(t, "estimate")) * ms, NeedMB: rapid.Float64Range(0, 900).Draw(t, "need"),
				})
			}
		}
	})
}
