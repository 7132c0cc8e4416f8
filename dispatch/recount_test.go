package dispatch

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// recountWarm computes the resources of the warm engines from scratch, as warmResources has to return them.
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

// recountBudgeted checks each warming engine and returns those for which this router has budget, as enginesWithBudget
// has to return them.
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

// recountEjected counts the ejected engines from scratch, as ejectedCount has to return them.
func (c *Controller) recountEjected() (n float64) {
	for _, e := range c.endpoints.listed {
		if e.health.currentFailureShare(c.env) >= ejectionThreshold {
			n++
		}
	}
	return n
}

// comparedControllers are two controllers that handle the same events. The incremental one updates its sums, the
// recounting one recomputes all of them for each event.
type comparedControllers struct {
	*rapid.T
	config                  Config
	incremental, recounting *Controller
	now                     time.Duration
	outstanding             []StartAttempt
	attempts                map[RequestID]int
	timerAt                 time.Duration // time at which the timer fires; 0 for no timer
	endpoints               map[EngineID]Endpoint
	lastID                  int
	deadZones               map[string]bool // zones in which most attempts fail to connect
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

// handle passes an event to both controllers, compares their actions and checks the sums of the incremental one. The
// sums of the recounting one are invalidated before and recomputed after each event.
func (m *comparedControllers) handle(event Event) {
	m.recounting.capacity.recountAt, m.recounting.outliers.countValidUntil = 0, 0
	m.recounting.endpoints.unsorted, m.recounting.endpoints.anyRemoved = true, true
	got, want := m.incremental.Handle(m.now, event, nil), m.recounting.Handle(m.now, event, nil)
	if !reflect.DeepEqual(got, want) {
		m.Fatalf("%#v at %v: actions %v, want those of the recounting controller, %v", event, m.now, got, want)
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

// applyAction records started attempts and the time at which the timer fires.
func (m *comparedControllers) applyAction(action Action) {
	switch action := action.(type) {
	case StartAttempt:
		m.outstanding = append(m.outstanding, action)
		m.attempts[action.Request]++
	case SetTimer:
		m.timerAt = m.now + action.After
	case SetResources, CancelAttempt, Reject, FailRequest, Subscribe: // cause no event
	}
}

// checkSums compares the sums of the incremental controller with a recount.
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
		m.Fatalf("%#v at %v: this router has budget for the engines %v, want %v", event, m.now, ids, want)
	}
}

// changedEndpoint draws an engine that is new or has changed in state, start time or zone.
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

// completeList draws a complete endpoint list with minEntries to maxEntries entries.
func (m *comparedControllers) completeList(minEntries, maxEntries int) EndpointList {
	var list []Endpoint
	for range rapid.IntRange(minEntries, maxEntries).Draw(m.T, "entries") {
		list = append(list, m.changedEndpoint())
	}
	return EndpointList{Mode: ListComplete, Endpoints: list}
}

// endAttempt ends a random outstanding attempt. In a dead zone most attempts fail to connect.
func (m *comparedControllers) endAttempt() {
	if len(m.outstanding) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.outstanding)-1).Draw(m.T, "outstanding attempt")
	start := m.outstanding[i]
	m.outstanding = slices.Delete(m.outstanding, i, i+1)
	outcome := rapid.SampledFrom([]Outcome{
		Served, Served, Served, EngineFailed, ConnectFailed, ConnectFailed, ConnectionReset, EngineFull, TimedOut,
	}).Draw(m.T, "outcome")
	e := m.incremental.endpoints.byID[start.Engine]
	if e != nil && m.deadZones[e.Zone] && rapid.IntRange(0, 9).Draw(m.T, "connects") > 0 {
		outcome = ConnectFailed
	}
	m.handle(AttemptEnd{
		Request: start.Request, Attempt: m.attempts[start.Request] - 1, Outcome: outcome, Last: outcome == Served,
	})
}

// configure changes settings on which the sums depend.
func (m *comparedControllers) configure() {
	config := m.config
	config.Routers = rapid.SampledFrom([]int{3, 60, 600}).Draw(m.T, "changed routers")
	config.WarmUp.OverloadFactor = rapid.SampledFrom([]float64{0, 1.5, 2, 3}).Draw(m.T, "overload factor")
	for _, c := range []*Controller{m.incremental, m.recounting} {
		if _, _, err := c.Configure(config); err != nil {
			m.Fatal(err)
		}
	}
}

// usage draws the usage that the other process of a hot restart reports.
func (m *comparedControllers) usage() (usage OtherProcessUsage) {
	for range rapid.IntRange(0, 3).Draw(m.T, "used engines") {
		id := EngineID(rapid.IntRange(1, 60).Draw(m.T, "used engine"))
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

// timesBetweenEvents are the possible times between two events. The longest exceeds the duration of a warm-up.
var timesBetweenEvents = []time.Duration{
	0, 0, ms, 3 * ms, 20 * ms, 150 * ms, 1500 * ms, 15 * time.Second,
}

// step lets time pass and sends a random event. A higher trafficBias makes arrivals and ends of attempts more likely.
func (m *comparedControllers) step(trafficBias int) {
	m.now += rapid.SampledFrom(timesBetweenEvents).Draw(m.T, "time to event")
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

// Incrementally updated sums lead to the same actions, and so to the same random draws, as sums that are recomputed
// over all engines for each event. This guards against an event that changes a sum without updating it. The random
// events include requests, outcomes of all kinds, endpoint lists, cordons, usage from hot restarts, changed settings
// and long pauses.
func TestIncrementalSumsMatchRecount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newComparedControllers(t)
		for range rapid.IntRange(0, 2).Draw(t, "dead zones") {
			m.deadZones[fmt.Sprint("z", rapid.IntRange(0, 4).Draw(t, "zone"))] = true
		}
		trafficBias := rapid.IntRange(0, 40).Draw(t, "traffic bias")
		m.handle(m.completeList(1, 40))
		for range rapid.IntRange(20, 250).Draw(t, "events") {
			m.step(trafficBias)
		}
	})
}
