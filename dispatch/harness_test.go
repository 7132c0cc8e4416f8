package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	ms = time.Millisecond
	// harnessStep is the time between two timers of a harness.
	harnessStep = 10 * ms
	// answerTolerance is how late an answer may be after the client's deadline: two steps of the harness.
	answerTolerance = 2 * harnessStep
)

// outstanding is the outcome of an attempt that has not ended; no event carries it.
var outstanding = Outcome(-1)

// harness simulates the clients, the engines and the endpoint list of one controller, and checks each action
// against the rules of the classes and settings.
type harness struct {
	t             *testing.T
	controller    *Controller
	config        Config
	now           time.Duration
	starts        []StartAttempt
	actions       []Action
	requests      map[RequestID]*clientRequest
	clients       []*clientRequest // in the order of their arrival
	endpoints     map[EngineID]Endpoint
	arrivals      []time.Duration
	retries       []time.Duration
	warmingStarts map[EngineID][]time.Duration // on engines that warm up
	lastID        int
}

// clientRequest is a request as its client sees it, with its attempts.
type clientRequest struct {
	id        RequestID
	class     Class
	key       string
	deadline  time.Duration
	engines   []EngineID // of the attempts
	startedAt []time.Duration
	outcomes  []Outcome
	answers   int
	gone      bool // the client has left
}

// latest is the outcome of the latest attempt.
func (r *clientRequest) latestOutcome() Outcome { return r.outcomes[len(r.outcomes)-1] }

// isOpen reports whether the request has no answer and its latest attempt is outstanding.
func (r *clientRequest) isOpen() bool {
	return r.answers == 0 && len(r.outcomes) > 0 && r.latestOutcome() == outstanding
}

// lastEngine is the engine of the latest attempt.
func (r *clientRequest) lastEngine() EngineID { return r.engines[len(r.engines)-1] }

func newHarness(t *testing.T, config Config) *harness {
	t.Helper()
	c, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	return &harness{
		t:             t,
		controller:    c,
		config:        config,
		now:           time.Hour,
		requests:      map[RequestID]*clientRequest{},
		endpoints:     map[EngineID]Endpoint{},
		warmingStarts: map[EngineID][]time.Duration{},
	}
}

// twoClassConfig returns settings with a preferred class of short queries and one of wide ones.
func twoClassConfig() Config {
	return Config{
		Seed:        1,
		Routers:     1,
		Tick:        5 * ms,
		MaxAttempts: 3,
		Kinds:       []EngineKind{{Name: "k", Cores: 8, MemoryMB: 8192}},
		Features:    EngineFeatures{Priorities: true, Grants: true, MaxGrantShare: 0.5},
		Classes: []Class{
			{Name: "quick", LatencyObjective: 500 * ms, Deadline: 3 * time.Second, PriorityWeight: 1, Threads: 1},
			{
				Name: "big", LatencyObjective: 2 * time.Second, Deadline: 15 * time.Second, PriorityWeight: 10,
				LateWeightShare: 0.5, Threads: 4,
			},
		},
	}
}

// withWarmUp returns settings with the slow start of most tests.
func withWarmUp(config Config) Config {
	config.WarmUp.Duration, config.WarmUp.InitialShare = 12*time.Second, 0.36
	config.WarmUp.OverloadFactor, config.WarmUp.OverloadWindow = 2, 1500*ms
	return config
}

// withShortWarmUp returns settings with a slow start of ten seconds.
func withShortWarmUp(config Config) Config {
	config.WarmUp.Duration, config.WarmUp.InitialShare = 10*time.Second, 0.4
	config.WarmUp.OverloadFactor, config.WarmUp.OverloadWindow = 2, time.Second
	return config
}

// largeFleetConfig has settings of one of many routers, and the endpoint list.
func largeFleetConfig(routers, n, index int) (Config, []Endpoint) {
	config := twoClassConfig()
	config.Routers, config.RouterIndex, config.Seed = routers, index, uint64(index)
	return config, testEngines(n)
}

// testEngines are engines in two zones, which are cells too.
func testEngines(n int) []Endpoint {
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{
			ID: EngineID(i + 1), Kind: "k", Zone: fmt.Sprint("z", i%2), Cell: i % 2, CapacityWeight: 1,
		})
	}
	return list
}

// handle passes an event to the controller, and checks its actions.
func (h *harness) handle(event Event) []Action {
	h.t.Helper()
	actions := h.controller.Handle(h.now, event, nil)
	h.actions = append(h.actions, actions...)
	for _, action := range actions {
		h.checkAction(action)
	}
	return actions
}

// updateEndpoints delivers an endpoint list.
func (h *harness) updateEndpoints(mode ListMode, list ...Endpoint) {
	h.t.Helper()
	if mode == ListComplete || mode == ListCached {
		for id, e := range h.endpoints {
			e.State = Removed
			h.endpoints[id] = e
		}
	}
	for _, e := range list {
		h.endpoints[e.ID] = e
	}
	h.handle(EndpointList{Mode: mode, Endpoints: list})
}

// arrive delivers a request of a class, with all the time that the class allows.
func (h *harness) arrive(class, key string) *clientRequest {
	h.t.Helper()
	for _, k := range h.config.Classes {
		if k.Name == class {
			return h.arriveWith(Arrival{Class: class, Key: key, TimeLeft: k.Deadline})
		}
	}
	h.t.Fatal("no class", class)
	return nil
}

// arriveWith delivers a request's arrival and sets its identifier.
func (h *harness) arriveWith(arrival Arrival) *clientRequest {
	h.t.Helper()
	h.lastID++
	arrival.Request = RequestID(fmt.Sprint("r", h.lastID))
	client := &clientRequest{id: arrival.Request, key: arrival.Key, deadline: h.now + arrival.TimeLeft}
	for _, k := range h.config.Classes {
		if k.Name == arrival.Class {
			client.class = k
		}
	}
	h.requests[arrival.Request] = client
	h.clients = append(h.clients, client)
	h.arrivals = append(h.arrivals, h.now)
	h.handle(arrival)
	return client
}

// endLatest ends the latest attempt of a request.
func (h *harness) endLatest(client *clientRequest, outcome Outcome) {
	h.t.Helper()
	h.endAttempt(client, len(client.outcomes)-1, outcome, nil)
}

// endAttempt ends an attempt of a request.
func (h *harness) endAttempt(client *clientRequest, attempt int, outcome Outcome, report *LoadReport) {
	h.t.Helper()
	client.outcomes[attempt] = outcome
	if outcome == Served && client.answers == 0 && !client.gone {
		client.answers = 1
	}
	h.handle(AttemptEnd{
		Request: client.id, Attempt: attempt, Outcome: outcome, Last: client.answers > 0 || client.gone, Report: report,
	})
}

// endOutstanding ends all outstanding attempts of a request.
func (h *harness) endOutstanding(client *clientRequest, outcome Outcome, report *LoadReport) {
	h.t.Helper()
	for attempt, o := range client.outcomes {
		if o == outstanding {
			h.endAttempt(client, attempt, outcome, report)
		}
	}
}

// advance lets time pass, with timers that fire all the time.
func (h *harness) advance(duration time.Duration) {
	h.t.Helper()
	for end := h.now + duration; h.now < end; {
		h.now += harnessStep
		h.handle(TimerFired{Tag: housekeepingTag})
	}
}

// isWarming reports whether the endpoint list says that an engine warms up.
func (h *harness) isWarming(e Endpoint) bool {
	return e.StartedAt > 0 && h.now < e.StartedAt+h.config.WarmUp.Duration
}

// countAfter counts the times after one of them.
func countAfter(times []time.Duration, at time.Duration) (n int) {
	for _, t := range times {
		if t > at {
			n++
		}
	}
	return n
}

// checkEachAnswered checks that each request whose client stayed has one answer.
func (h *harness) checkEachAnswered() {
	h.t.Helper()
	for _, client := range h.clients {
		if client.answers != 1 && !client.gone {
			h.t.Fatalf("%s has %d answers", client.id, client.answers)
		}
	}
}

// startedOn returns the engines of the attempts that were started, in order.
func (h *harness) startedOn() (ids []EngineID) {
	for _, start := range h.starts {
		ids = append(ids, start.Engine)
	}
	return ids
}

// countActions counts the actions of a type that a harness has seen.
func countActions[A Action](h *harness) int {
	return len(slices.DeleteFunc(slices.Clone(h.actions), func(a Action) bool {
		_, ok := a.(A)
		return !ok
	}))
}
