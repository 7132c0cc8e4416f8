package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// harness plays the part of clients, engines and the list for one controller, and checks the rules.
type harness struct {
	t             *testing.T
	controller    *Controller
	config        Config
	now           time.Duration
	starts        []StartAttempt
	actions       []Action
	requests      map[RequestID]*clientRequest
	endpoints     map[EngineID]Endpoint
	arrivals      []time.Duration
	retries       []time.Duration
	clients       []*clientRequest
	warmingStarts map[EngineID][]time.Duration
	lastID        int
}

type clientRequest struct {
	id        RequestID
	class     Class
	key       string
	deadline  time.Duration
	engines   []EngineID
	startedAt []time.Duration
	outcomes  []Outcome // -1 while out
	answers   int
	gone      bool
}

var outstanding = Outcome(-1)

func newHarness(t *testing.T, config Config) *harness {
	t.Helper()
	c, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	return &harness{
		t: t, controller: c, config: config, requests: map[RequestID]*clientRequest{}, endpoints: map[EngineID]Endpoint{}, now: time.Hour,
		warmingStarts: map[EngineID][]time.Duration{},
	}
}

func twoClassConfig() Config {
	return Config{
		Seed: 1, Routers: 1, Tick: 5 * ms, MaxAttempts: 3, Priorities: true, Grants: true,
		Kinds: []EngineKind{{Name: "k", Cores: 8, MemoryMB: 8192}}, MaxGrantShare: 0.5,
		Classes: []Class{
			{Name: "quick", LatencyObjective: 500 * ms, Deadline: 3 * time.Second, PriorityWeight: 1, Threads: 1},
			{Name: "big", LatencyObjective: 2 * time.Second, Deadline: 15 * time.Second, PriorityWeight: 10, LateWeightShare: 0.5, Threads: 4},
		},
	}
}

func (h *harness) handle(ev Event) []Action {
	h.t.Helper()
	acts := h.controller.Handle(h.now, ev, nil)
	h.actions = append(h.actions, acts...)
	for _, a := range acts {
		h.checkAction(a)
	}
	return acts
}

func (h *harness) updateEndpoints(mode ListMode, engines ...Endpoint) {
	h.t.Helper()
	if mode == ListComplete || mode == ListCached {
		for id, e := range h.endpoints {
			e.State = Removed
			h.endpoints[id] = e
		}
	}
	for _, e := range engines {
		h.endpoints[e.ID] = e
	}
	h.handle(EndpointList{Mode: mode, Endpoints: engines})
}

func testEngines(n int) []Endpoint {
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{ID: EngineID(i + 1), Kind: "k", Zone: fmt.Sprint("z", i%2), Cell: i % 2, CapacityWeight: 1})
	}
	return list
}

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

func (h *harness) arriveWith(a Arrival) *clientRequest {
	h.t.Helper()
	h.lastID++
	a.Request = RequestID(fmt.Sprint("r", h.lastID))
	client := &clientRequest{id: a.Request, key: a.Key, deadline: h.now + a.TimeLeft}
	for _, k := range h.config.Classes {
		if k.Name == a.Class {
			client.class = k
		}
	}
	h.requests[a.Request] = client
	h.clients = append(h.clients, client)
	h.arrivals = append(h.arrivals, h.now)
	h.handle(a)
	return client
}

func (h *harness) endLatest(client *clientRequest, o Outcome) {
	h.t.Helper()
	h.endAttempt(client, len(client.outcomes)-1, o, nil)
}

func (h *harness) endAttempt(client *clientRequest, hop int, o Outcome, load *LoadReport) {
	h.t.Helper()
	client.outcomes[hop] = o
	if o == Served && client.answers == 0 && !client.gone {
		client.answers = 1
	}
	h.handle(AttemptEnd{Request: client.id, Attempt: hop, Outcome: o, Last: client.answers > 0 || client.gone, Report: load})
}

func (h *harness) advance(d time.Duration) {
	h.t.Helper()
	for end := h.now + d; h.now < end; {
		h.now += 10 * ms
		h.handle(TimerFired{Tag: housekeepingTag})
	}
}

// checkAction holds the rules against one action.
func (h *harness) checkAction(a Action) {
	h.t.Helper()
	switch a := a.(type) {
	case StartAttempt:
		h.starts = append(h.starts, a)
		h.checkStartWithin(h.requests[a.Request], h.endpoints[a.Engine], a.StartWithin)
		h.checkStart(h.requests[a.Request], h.endpoints[a.Engine])
	case Reject:
		client := h.requests[a.Request]
		for i, o := range client.outcomes {
			if outcomeMayHaveRun(o) && (client.class.Semantics == AtMostOnce || client.class.Semantics == IdempotentByKey &&
				(client.class.IdempotencyScope != ScopeAll || h.now > client.startedAt[i]+client.class.IdempotencyWindow)) {
				h.t.Fatalf("%s refused though it may have run", client.id)
			}
		}
		h.recordAnswer(client)
	case FailRequest:
		h.recordAnswer(h.requests[a.Request])
	case CancelAttempt:
		if !h.config.CancelAllowed {
			h.t.Fatal("cancel where it is not allowed")
		}
	}
}

func (h *harness) recordAnswer(client *clientRequest) {
	h.t.Helper()
	if client.gone {
		return
	}
	client.answers++
	if client.answers > 1 || h.now > client.deadline+20*ms {
		h.t.Fatalf("%s: %d answers, the last %v after its end", client.id, client.answers, h.now-client.deadline)
	}
}

func outcomeMayHaveRun(o Outcome) bool { return o != EngineFull && o != ConnectFailed && o != NotSent }

func (h *harness) checkStart(client *clientRequest, e Endpoint) {
	h.t.Helper()
	bad := func(f string, args ...any) {
		h.t.Helper()
		h.t.Fatalf("%s to engine %d: %s", client.id, e.ID, fmt.Sprintf(f, args...))
	}
	if client.answers > 0 || client.gone {
		bad("sent after its end")
	}
	if e.ID == 0 || e.State != Live {
		bad("draining, gone or unknown")
	}
	if h.config.MaxAttempts > 0 && len(client.engines) >= h.config.MaxAttempts {
		bad("past the attempt cap")
	}
	if len(client.class.Zones) > 0 && !slices.Contains(client.class.Zones, e.Zone) ||
		len(client.class.Kinds) > 0 && !slices.Contains(client.class.Kinds, e.Kind) {
		bad("placed in %s on %s", e.Zone, e.Kind)
	}
	for i, o := range client.outcomes {
		if o == outstanding && !h.config.HedgingAllowed {
			bad("two attempts out")
		}
		first := h.endpoints[client.engines[i]]
		if !outcomeMayHaveRun(o) || client.class.Semantics == Idempotent {
			continue
		}
		if client.class.Semantics == AtMostOnce || h.now > client.startedAt[i]+client.class.IdempotencyWindow ||
			client.class.IdempotencyScope == ScopeZone && first.Zone != e.Zone ||
			client.class.IdempotencyScope == ScopeCell && first.Cell != e.Cell {
			bad("its effect may happen twice")
		}
	}
	if client.class.OrderByKey && client.key != "" {
		for _, o := range h.clients {
			if o == client {
				break
			}
			if o.class.OrderByKey && o.key == client.key {
				h.checkKeyOrder(o, bad)
			}
		}
	}
	if len(client.engines) > 0 && h.config.RetryBudget.Window > 0 {
		h.retries = append(h.retries, h.now)
		for _, begins := range []time.Duration{h.now, h.now + h.config.RetryBudget.startDelay()} { // now, or as late as it may
			allowed := h.config.RetryBudget.Free + h.config.RetryBudget.PerRequest*float64(countAfter(h.arrivals, begins-h.config.RetryBudget.Window))
			if float64(countAfter(h.retries, h.now-h.config.RetryBudget.Window-h.config.RetryBudget.startDelay())) > allowed {
				bad("past the budget of %v", allowed)
			}
		}
	}
	if e.StartedAt > 0 && h.now < e.StartedAt+h.config.WarmUpDuration && h.config.WarmUpOverloadFactor > 0 {
		h.warmingStarts[e.ID] = append(h.warmingStarts[e.ID], h.now)
	}
	client.engines = append(client.engines, e.ID)
	client.startedAt = append(client.startedAt, h.now)
	client.outcomes = append(client.outcomes, outstanding)
}

func (h *harness) checkKeyOrder(o *clientRequest, bad func(string, ...any)) {
	h.t.Helper()
	if o.answers == 0 && !o.gone {
		bad("ahead of %s of its key", o.id)
	}
	for _, out := range o.outcomes {
		if out == outstanding {
			bad("while %s of its key is out", o.id)
		}
	}
}

func countAfter(list []time.Duration, at time.Duration) int {
	n := 0
	for _, t := range list {
		if t > at {
			n++
		}
	}
	return n
}

// checkStartWithin holds the time within which an attempt has to begin against the window of earlier ones that may have run, and
// against the budget of a cold engine.
func (h *harness) checkStartWithin(client *clientRequest, e Endpoint, within time.Duration) {
	h.t.Helper()
	most := time.Duration(0) // 0: any time
	for i, o := range client.outcomes {
		if left := client.startedAt[i] + client.class.IdempotencyWindow - h.now; client.class.Semantics == IdempotentByKey && outcomeMayHaveRun(o) && (most == 0 || left < most) {
			most = max(left, 1)
		}
	}
	if e.StartedAt > 0 && h.now < e.StartedAt+h.config.WarmUpDuration && (most == 0 || h.config.WarmUpOverloadWindow/warmUpStartFraction < most) {
		most = h.config.WarmUpOverloadWindow / warmUpStartFraction
	}
	if late := h.config.RetryBudget.startDelay(); late > 0 && len(client.outcomes) > 0 && (most == 0 || late < most) {
		most = late
	}
	if most > 0 && (within <= 0 || within > most) {
		h.t.Fatalf("%s to engine %d may begin within %v; %v at most", client.id, e.ID, within, most)
	}
}

func largeFleetConfig(routers, n, instance int) (Config, []Endpoint) {
	config := twoClassConfig()
	config.Routers, config.RouterIndex, config.Seed = routers, instance, uint64(instance)
	return config, testEngines(n)
}
