package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const (
	ms = time.Millisecond
	// harnessStep is the interval between two timer events of a harness.
	harnessStep = 10 * ms
	// answerTolerance is the maximum time between a client's deadline and its answer: two harness steps.
	answerTolerance = 2 * harnessStep
)

// outstanding marks an attempt that has not ended. No event carries this outcome.
var outstanding = Outcome(-1)

// harness simulates the clients, the engines and the endpoint list of one controller, and checks each action against
// the rules that the classes and other settings define.
type harness struct {
	t             *testing.T
	controller    *Controller
	config        Config
	now           time.Duration
	starts        []StartAttempt
	actions       []Action
	requests      map[RequestID]*clientRequest
	clients       []*clientRequest // in order of arrival
	endpoints     map[EngineID]Endpoint
	arrivals      []time.Duration
	retries       []time.Duration
	warmingStarts map[EngineID][]time.Duration // times of the starts on each warming engine
	lastID        int
}

// clientRequest is a request as its client sees it, with its attempts.
type clientRequest struct {
	id        RequestID
	class     Class
	key       string
	deadline  time.Duration
	engines   []EngineID // engine of each attempt
	startedAt []time.Duration
	outcomes  []Outcome
	answers   int
	gone      bool // the client has disconnected or cancelled
}

// latestOutcome returns the outcome of the latest attempt.
func (r *clientRequest) latestOutcome() Outcome { return r.outcomes[len(r.outcomes)-1] }

// isOpen reports whether the request has no answer and its latest attempt is outstanding.
func (r *clientRequest) isOpen() bool {
	return r.answers == 0 && len(r.outcomes) > 0 && r.latestOutcome() == outstanding
}

// lastEngine returns the engine of the latest attempt.
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

// twoClassConfig returns a configuration with a preferred class of short queries with one thread and a class of longer
// queries with four threads.
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

// withWarmUp adds a slow start of 12 seconds, which most tests use, to a configuration.
func withWarmUp(config Config) Config {
	config.WarmUp.Duration, config.WarmUp.InitialShare = 12*time.Second, 0.36
	config.WarmUp.OverloadFactor, config.WarmUp.OverloadWindow = 2, 1500*ms
	return config
}

// withShortWarmUp adds a slow start of ten seconds to a configuration.
func withShortWarmUp(config Config) Config {
	config.WarmUp.Duration, config.WarmUp.InitialShare = 10*time.Second, 0.4
	config.WarmUp.OverloadFactor, config.WarmUp.OverloadWindow = 2, time.Second
	return config
}

// largeFleetConfig returns the configuration of one of several routers, and an endpoint list of n engines.
func largeFleetConfig(routers, n, index int) (Config, []Endpoint) {
	config := twoClassConfig()
	config.Routers, config.RouterIndex, config.Seed = routers, index, uint64(index)
	return config, testEngines(n)
}

// testEngines returns n engines that alternate between two zones. Each zone is one cell.
func testEngines(n int) []Endpoint {
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{
			ID: EngineID(i + 1), Kind: "k", Zone: fmt.Sprint("z", i%2), Cell: i % 2, CapacityWeight: 1,
		})
	}
	return list
}

// handle passes an event to the controller and checks the resulting actions.
func (h *harness) handle(event Event) []Action {
	h.t.Helper()
	actions := h.controller.Handle(h.now, event, nil)
	h.actions = append(h.actions, actions...)
	for _, action := range actions {
		h.checkAction(action)
	}
	return actions
}

// updateEndpoints sends the controller an endpoint list and updates the endpoints of the harness.
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

// arrive sends the controller a request whose time left is the deadline of its class.
func (h *harness) arrive(class, key string) *clientRequest {
	h.t.Helper()
	for _, k := range h.config.Classes {
		if k.Name == class {
			return h.arriveWith(Arrival{Class: class, Key: key, TimeLeft: k.Deadline})
		}
	}
	h.t.Fatalf("class %q is not configured", class)
	return nil
}

// arriveWith sends the controller an arrival with a new request identifier.
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

// endAttempt ends an attempt of a request with an outcome and, unless report is nil, a load report.
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

// endOutstanding ends all outstanding attempts of a request with the same outcome.
func (h *harness) endOutstanding(client *clientRequest, outcome Outcome, report *LoadReport) {
	h.t.Helper()
	for attempt, o := range client.outcomes {
		if o == outstanding {
			h.endAttempt(client, attempt, outcome, report)
		}
	}
}

// advance lets time pass in harness steps and fires the housekeeping timer at each of them.
func (h *harness) advance(duration time.Duration) {
	h.t.Helper()
	for end := h.now + duration; h.now < end; {
		h.now += harnessStep
		h.handle(TimerFired{Tag: housekeepingTag})
	}
}

// isWarming reports whether an engine warms up according to its start time in the endpoint list.
func (h *harness) isWarming(e Endpoint) bool {
	return e.StartedAt > 0 && h.now < e.StartedAt+h.config.WarmUp.Duration
}

// countAfter returns how many of the times are later than at.
func countAfter(times []time.Duration, at time.Duration) (n int) {
	for _, t := range times {
		if t > at {
			n++
		}
	}
	return n
}

// checkEachAnswered checks that each request has exactly one answer, unless its client is gone.
func (h *harness) checkEachAnswered() {
	h.t.Helper()
	for _, client := range h.clients {
		if client.answers != 1 && !client.gone {
			h.t.Fatalf("%s has %d answers, want 1", client.id, client.answers)
		}
	}
}

// startedOn returns the engines of all started attempts in the order of their starts.
func (h *harness) startedOn() (ids []EngineID) {
	for _, start := range h.starts {
		ids = append(ids, start.Engine)
	}
	return ids
}

// countActions returns how many actions of type A the controller has returned.
func countActions[A Action](h *harness) int {
	return len(slices.DeleteFunc(slices.Clone(h.actions), func(a Action) bool {
		_, ok := a.(A)
		return !ok
	}))
}
