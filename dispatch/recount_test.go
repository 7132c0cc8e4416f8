package dispatch

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// recountWarm sums up the warm engines one by one.
func (c *Controller) recountWarm() (sum resources) {
	zonesLost := c.capacity.largeFleet() && c.endpoints.zonesLost()
	grants := int64(0)
	for _, e := range c.endpoints.listed {
		lost := zonesLost && e.zone.Suspect()
		if c.env.now < e.warmUp.end || lost {
			continue
		}
		sum.cores += e.cores
		sum.memoryMB += e.memoryMB
		sum.threads += e.usage.threads
		grants += grantUnits(e.usage.grantedMB)
	}
	sum.grantedMB = float64(grants) * grantUnitMB
	return sum
}

// recountBudgeted looks at each warming engine for those that this router has budget for.
func (c *Controller) recountBudgeted() (ids []EngineID) {
	if !c.capacity.largeFleet() || c.env.config.WarmUp.OverloadFactor <= 0 {
		return nil
	}
	now, window := milliseconds(c.env.now), milliseconds(c.env.config.WarmUp.OverloadWindow)
	for _, e := range c.endpoints.listed {
		if c.env.now >= e.warmUp.end {
			continue
		}
		if _, ok := c.warmUps.budget(e).Available(now, window); ok {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// recountEjected counts the ejected engines one by one.
func (c *Controller) recountEjected() (n float64) {
	for _, e := range c.endpoints.listed {
		if e.health.currentFailureShare(c.env) >= ejectionThreshold {
			n++
		}
	}
	return n
}

// mirroredControllers are two controllers that handle the same events. One updates its sums, the other one recomputes
// all of them before each event.
type comparedControllers struct {
	*rapid.T
	config                  Config
	incremental, recounting *Controller
	now                     time.Duration
	outstanding             []StartAttempt
	attempts                map[RequestID]int
	timerAt                 time.Duration // 0 for no timer
	endpoints               map[EngineID]Endpoint
	lastID                  int
	deadZones               map[string]bool // whose engines hardly ever take a connection
}

func newComparedControllers(t *rapid.T) *comparedControllers {
	routers := rapid.SampledFrom([]int{3, 60, 600}).Draw(t, "routers")
	config := fleetConfig(fleetScenario{seed: 1, routers: routers, cores: 8}, 7)
	config.Features.Grants = true
	m := &comparedControllers{
		T: t, config: config, now: time.Hour,
		attempts: map[RequestID]int{}, endpoints: map[EngineID]Endpoint{}, deadZones: map[string]bool{},
	}
	for _, controller := range []**Controller{&m.incremental, &m.recounting} {
		c, err := New(config)
		if err != nil {
			t.Fatal(err)
		}
		*controller = c
	}
	return m
}

// handle has both controllers handle an event, and compares their actions and sums.
func (m *comparedControllers) handle(event Event) {
	m.recounting.capacity.recountAt, m.recounting.outliers.countValidUntil = 0, 0
	m.recounting.endpoints.unsorted, m.recounting.endpoints.anyRemoved = true, true
	got, want := m.incremental.Handle(m.now, event, nil), m.recounting.Handle(m.now, event, nil)
	if !reflect.DeepEqual(got, want) {
		m.Fatalf("%#v at %v: %v, and %v where all is recounted", event, m.now, got, want)
	}
	for _, action := range got {
		m.applyAction(action)
	}
	m.checkSums(event)
	m.recounting.capacity.warmResources()
	m.recounting.warmUps.enginesWithBudget()
	m.recounting.recountBudgeted()
	m.recounting.outliers.ejectedCount()
}

// carryOut records what attempts are outstanding and when the timer fires.
func (m *comparedControllers) applyAction(action Action) {
	switch action := action.(type) {
	case StartAttempt:
		m.outstanding = append(m.outstanding, action)
		m.attempts[action.Request]++
	case SetTimer:
		m.timerAt = m.now + action.After
	case SetResources, CancelAttempt, Reject, FailRequest, Subscribe: // no event follows from these
	}
}

// checkSums compares the sums of the first controller with a recount.
func (m *comparedControllers) checkSums(event Event) {
	c := m.incremental
	if got, want := c.capacity.warmResources(), c.recountWarm(); got != want {
		m.Fatalf("%#v at %v: warm engines have %+v, want %+v", event, m.now, got, want)
	}
	if got, want := c.outliers.ejectedCount(), c.recountEjected(); got != want {
		m.Fatalf("%#v at %v: %v engines are ejected, want %v", event, m.now, got, want)
	}
	var ids []EngineID
	for _, e := range c.warmUps.enginesWithBudget() {
		ids = append(ids, e.ID)
	}
	if want := c.recountBudgeted(); !slices.Equal(ids, want) {
		m.Fatalf("%#v at %v: budget for %v, want %v", event, m.now, ids, want)
	}
}

// changedEndpoint draws a change of an endpoint, or a new one.
func (m *comparedControllers) changedEndpoint() Endpoint {
	id := EngineID(rapid.IntRange(1, 60).Draw(m.T, "engine"))
	e, known := m.endpoints[id]
	if !known {
		e = Endpoint{ID: id, Kind: "k", Zone: fmt.Sprint("z", int(id)%5), Cell: int(id) % 5, CapacityWeight: 1}
	}
	e.State = rapid.SampledFrom([]EndpointState{Live, Live, Live, Draining, Removed}).Draw(m.T, "state")
	switch {
	case e.State == Live && rapid.Bool().Draw(m.T, "new"):
		e.StartedAt = m.now - time.Duration(rapid.IntRange(0, 3000).Draw(m.T, "age"))*ms
	case rapid.IntRange(0, 9).Draw(m.T, "moved") == 0:
		e.Zone = fmt.Sprint("z", rapid.IntRange(0, 6).Draw(m.T, "zone"))
	}
	m.endpoints[id] = e
	return e
}

// completeList draws a complete endpoint list with a number of entries between two bounds.
func (m *comparedControllers) completeList(minEntries, maxEntries int) EndpointList {
	var list []Endpoint
	for range rapid.IntRange(minEntries, maxEntries).Draw(m.T, "entries") {
		list = append(list, m.changedEndpoint())
	}
	return EndpointList{Mode: ListComplete, Endpoints: list}
}

// endAttempt ends an outstanding attempt, nearly always without a connection where its zone is dead.
func (m *comparedControllers) endAttempt() {
	if len(m.outstanding) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.outstanding)-1).Draw(m.T, "which")
	start := m.outstanding[i]
	m.outstanding = slices.Delete(m.outstanding, i, i+1)
	outcome := rapid.SampledFrom([]Outcome{
		Served, Served, Served, EngineFailed, ConnectFailed, ConnectFailed, ConnectionReset, EngineFull, TimedOut,
	}).Draw(m.T, "outcome")
	e := m.incremental.endpoints.byID[start.Engine]
	if e != nil && m.deadZones[e.Zone] && rapid.IntRange(0, 9).Draw(m.T, "through") > 0 {
		outcome = ConnectFailed
	}
	m.handle(AttemptEnd{
		Request: start.Request, Attempt: m.attempts[start.Request] - 1, Outcome: outcome, Last: outcome == Served,
	})
}

// configure changes settings that the sums depend on.
func (m *comparedControllers) configure() {
	config := m.config
	config.Routers = rapid.SampledFrom([]int{3, 60, 600}).Draw(m.T, "now")
	config.WarmUp.OverloadFactor = rapid.SampledFrom([]float64{0, 1.5, 2, 3}).Draw(m.T, "factor")
	for _, c := range []*Controller{m.incremental, m.recounting} {
		if _, _, err := c.Configure(config); err != nil {
			m.Fatal(err)
		}
	}
}

// usage draws what the other process has running.
func (m *comparedControllers) usage() (usage OtherProcessUsage) {
	for range rapid.IntRange(0, 3).Draw(m.T, "usages") {
		id := EngineID(rapid.IntRange(1, 60).Draw(m.T, "used"))
		usage.Engines = append(usage.Engines, EngineUsage{
			ID: id, Threads: 4, Work: 1, GrantedMB: 100.1, WarmUpWork: 0.1,
		})
	}
	return usage
}

func (m *comparedControllers) arrive() {
	m.lastID++
	m.handle(Arrival{
		Request:    RequestID(fmt.Sprint(m.lastID)),
		Class:      rapid.SampledFrom([]string{"lookup", "report", "load"}).Draw(m.T, "class"),
		TableGroup: int64(rapid.IntRange(0, 5).Draw(m.T, "group")),
		TimeLeft:   3 * time.Second,
		Estimate:   time.Duration(rapid.IntRange(1, 4000).Draw(m.T, "estimate")) * ms,
		NeedMB:     rapid.Float64Range(0, 900).Draw(m.T, "need"),
	})
}

// mirroredPauses are the times that pass between two events.
var timesBetweenEvents = []time.Duration{
	0, 0, ms, 3 * ms, 20 * ms, 150 * ms, 1500 * ms, 15 * time.Second,
}

// step lets time pass and has an event happen. The more requests, the higher busy.
func (m *comparedControllers) step(trafficBias int) {
	m.now += rapid.SampledFrom(timesBetweenEvents).Draw(m.T, "passes")
	if m.timerAt > 0 && m.now >= m.timerAt {
		m.timerAt = 0
		m.handle(TimerFired{Tag: housekeepingTag})
	}
	switch kind := rapid.IntRange(0, 14+trafficBias).Draw(m.T, "kind"); kind {
	case 0, 14:
		changes := []Endpoint{m.changedEndpoint(), m.changedEndpoint()}
		m.handle(EndpointList{Mode: ListIncremental, Endpoints: changes})
	case 1:
		m.handle(m.completeList(0, 60))
	case 2:
		m.handle(Cordon{Engine: EngineID(rapid.IntRange(1, 60).Draw(m.T, "cordoned"))})
	case 3:
		m.handle(Uncordon{Engine: EngineID(rapid.IntRange(1, 60).Draw(m.T, "uncordoned"))})
	case 4:
		m.handle(m.usage())
	case 5:
		m.configure()
	default:
		if kind%2 == 0 {
			m.endAttempt()
			return
		}
		m.arrive()
	}
}

// Sums that are updated lead to the same decisions, draw for draw, as recounting all engines at each event, whatever
// the order of events: requests, outcomes of all kinds, endpoint lists, cordons, hot restarts, changed settings, long
// pauses.
func TestIncrementalSumsMatchRecount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newComparedControllers(t)
		for range rapid.IntRange(0, 2).Draw(t, "dead") {
			m.deadZones[fmt.Sprint("z", rapid.IntRange(0, 4).Draw(t, "zone"))] = true
		}
		trafficBias := rapid.IntRange(0, 40).Draw(t, "busy")
		m.handle(m.completeList(1, 40))
		for range rapid.IntRange(20, 250).Draw(t, "events") {
			m.step(trafficBias)
		}
	})
}
