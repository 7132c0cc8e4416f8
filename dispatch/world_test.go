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

func newHarness(t *testing.T, cfg Config) *harness {
	t.Helper()
	c, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return &harness{
		t: t, controller: c, config: cfg, requests: map[RequestID]*clientRequest{}, endpoints: map[EngineID]Endpoint{}, now: time.Hour,
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

func (w *harness) handle(ev Event) []Action {
	w.t.Helper()
	acts := w.controller.Handle(w.now, ev, nil)
	w.actions = append(w.actions, acts...)
	for _, a := range acts {
		w.checkAction(a)
	}
	return acts
}

func (w *harness) updateEndpoints(mode ListMode, engines ...Endpoint) {
	w.t.Helper()
	if mode == ListComplete || mode == ListCached {
		for id, e := range w.endpoints {
			e.State = Removed
			w.endpoints[id] = e
		}
	}
	for _, e := range engines {
		w.endpoints[e.ID] = e
	}
	w.handle(EndpointList{Mode: mode, Endpoints: engines})
}

func testEngines(n int) []Endpoint {
	var list []Endpoint
	for i := range n {
		list = append(list, Endpoint{ID: EngineID(i + 1), Kind: "k", Zone: fmt.Sprint("z", i%2), Cell: i % 2, CapacityWeight: 1})
	}
	return list
}

func (w *harness) arrive(class, key string) *clientRequest {
	w.t.Helper()
	for _, k := range w.config.Classes {
		if k.Name == class {
			return w.arriveWith(Arrival{Class: class, Key: key, TimeLeft: k.Deadline})
		}
	}
	w.t.Fatal("no class", class)
	return nil
}

func (w *harness) arriveWith(a Arrival) *clientRequest {
	w.t.Helper()
	w.lastID++
	a.Request = RequestID(fmt.Sprint("r", w.lastID))
	tr := &clientRequest{id: a.Request, key: a.Key, deadline: w.now + a.TimeLeft}
	for _, k := range w.config.Classes {
		if k.Name == a.Class {
			tr.class = k
		}
	}
	w.requests[a.Request] = tr
	w.clients = append(w.clients, tr)
	w.arrivals = append(w.arrivals, w.now)
	w.handle(a)
	return tr
}

func (w *harness) endLatest(tr *clientRequest, o Outcome) {
	w.t.Helper()
	w.endAttempt(tr, len(tr.outcomes)-1, o, nil)
}

func (w *harness) endAttempt(tr *clientRequest, hop int, o Outcome, load *LoadReport) {
	w.t.Helper()
	tr.outcomes[hop] = o
	if o == Served && tr.answers == 0 && !tr.gone {
		tr.answers = 1
	}
	w.handle(AttemptEnd{Request: tr.id, Attempt: hop, Outcome: o, Last: tr.answers > 0 || tr.gone, Report: load})
}

func (w *harness) advance(d time.Duration) {
	w.t.Helper()
	for end := w.now + d; w.now < end; {
		w.now += 10 * ms
		w.handle(TimerFired{Tag: housekeepingTag})
	}
}

// checkAction holds the rules against one action.
func (w *harness) checkAction(a Action) {
	w.t.Helper()
	switch a := a.(type) {
	case StartAttempt:
		w.starts = append(w.starts, a)
		w.checkStartWithin(w.requests[a.Request], w.endpoints[a.Engine], a.StartWithin)
		w.checkStart(w.requests[a.Request], w.endpoints[a.Engine])
	case Reject:
		tr := w.requests[a.Request]
		for i, o := range tr.outcomes {
			if outcomeMayHaveRun(o) && (tr.class.Semantics == AtMostOnce || tr.class.Semantics == IdempotentByKey &&
				(tr.class.IdempotencyScope != ScopeAll || w.now > tr.startedAt[i]+tr.class.IdempotencyWindow)) {
				w.t.Fatalf("%s refused though it may have run", tr.id)
			}
		}
		w.recordAnswer(tr)
	case FailRequest:
		w.recordAnswer(w.requests[a.Request])
	case CancelAttempt:
		if !w.config.CancelAllowed {
			w.t.Fatal("cancel where it is not allowed")
		}
	}
}

func (w *harness) recordAnswer(tr *clientRequest) {
	w.t.Helper()
	if tr.gone {
		return
	}
	tr.answers++
	if tr.answers > 1 || w.now > tr.deadline+20*ms {
		w.t.Fatalf("%s: %d answers, the last %v after its end", tr.id, tr.answers, w.now-tr.deadline)
	}
}

func outcomeMayHaveRun(o Outcome) bool { return o != EngineFull && o != ConnectFailed && o != NotSent }

func (w *harness) checkStart(tr *clientRequest, e Endpoint) {
	w.t.Helper()
	bad := func(f string, args ...any) {
		w.t.Helper()
		w.t.Fatalf("%s to engine %d: %s", tr.id, e.ID, fmt.Sprintf(f, args...))
	}
	if tr.answers > 0 || tr.gone {
		bad("sent after its end")
	}
	if e.ID == 0 || e.State != Live {
		bad("draining, gone or unknown")
	}
	if w.config.MaxAttempts > 0 && len(tr.engines) >= w.config.MaxAttempts {
		bad("past the attempt cap")
	}
	if len(tr.class.Zones) > 0 && !slices.Contains(tr.class.Zones, e.Zone) ||
		len(tr.class.Kinds) > 0 && !slices.Contains(tr.class.Kinds, e.Kind) {
		bad("placed in %s on %s", e.Zone, e.Kind)
	}
	for i, o := range tr.outcomes {
		if o == outstanding && !w.config.HedgingAllowed {
			bad("two attempts out")
		}
		first := w.endpoints[tr.engines[i]]
		if !outcomeMayHaveRun(o) || tr.class.Semantics == Idempotent {
			continue
		}
		if tr.class.Semantics == AtMostOnce || w.now > tr.startedAt[i]+tr.class.IdempotencyWindow ||
			tr.class.IdempotencyScope == ScopeZone && first.Zone != e.Zone ||
			tr.class.IdempotencyScope == ScopeCell && first.Cell != e.Cell {
			bad("its effect may happen twice")
		}
	}
	if tr.class.OrderByKey && tr.key != "" {
		for _, o := range w.clients {
			if o == tr {
				break
			}
			if o.class.OrderByKey && o.key == tr.key {
				w.checkKeyOrder(o, bad)
			}
		}
	}
	if len(tr.engines) > 0 && w.config.RetryBudget.Window > 0 {
		w.retries = append(w.retries, w.now)
		for _, begins := range []time.Duration{w.now, w.now + w.config.RetryBudget.startDelay()} { // now, or as late as it may
			allowed := w.config.RetryBudget.Free + w.config.RetryBudget.PerRequest*float64(countAfter(w.arrivals, begins-w.config.RetryBudget.Window))
			if float64(countAfter(w.retries, w.now-w.config.RetryBudget.Window-w.config.RetryBudget.startDelay())) > allowed {
				bad("past the budget of %v", allowed)
			}
		}
	}
	if e.StartedAt > 0 && w.now < e.StartedAt+w.config.WarmUpDuration && w.config.WarmUpOverloadFactor > 0 {
		w.warmingStarts[e.ID] = append(w.warmingStarts[e.ID], w.now)
	}
	tr.engines = append(tr.engines, e.ID)
	tr.startedAt = append(tr.startedAt, w.now)
	tr.outcomes = append(tr.outcomes, outstanding)
}

func (w *harness) checkKeyOrder(o *clientRequest, bad func(string, ...any)) {
	w.t.Helper()
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
func (w *harness) checkStartWithin(tr *clientRequest, e Endpoint, within time.Duration) {
	w.t.Helper()
	most := time.Duration(0) // 0: any time
	for i, o := range tr.outcomes {
		if left := tr.startedAt[i] + tr.class.IdempotencyWindow - w.now; tr.class.Semantics == IdempotentByKey && outcomeMayHaveRun(o) && (most == 0 || left < most) {
			most = max(left, 1)
		}
	}
	if e.StartedAt > 0 && w.now < e.StartedAt+w.config.WarmUpDuration && (most == 0 || w.config.WarmUpOverloadWindow/warmUpStartFraction < most) {
		most = w.config.WarmUpOverloadWindow / warmUpStartFraction
	}
	if late := w.config.RetryBudget.startDelay(); late > 0 && len(tr.outcomes) > 0 && (most == 0 || late < most) {
		most = late
	}
	if most > 0 && (within <= 0 || within > most) {
		w.t.Fatalf("%s to engine %d may begin within %v; %v at most", tr.id, e.ID, within, most)
	}
}
