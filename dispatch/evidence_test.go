package dispatch

import (
	"math"
	"reflect"
	"slices"
	"testing"
	"time"
)

// An engine that turns queries away fast must not draw the rest.
func TestFullEngineRests(t *testing.T) {
	w := newHarness(t, twoClassConfig())
	w.updateEndpoints(ListComplete, testEngines(1)...)
	tr := w.arrive("quick", "")
	w.endLatest(tr, EngineFull)
	if len(tr.engines) != 1 {
		t.Fatal("sent again to an engine that was full a moment ago")
	}
	w.advance(fullBackoff + 50*ms)
	if len(tr.engines) != 2 {
		t.Error("not tried again after the rest")
	}
}

func TestFastFailuresDrawLittle(t *testing.T) {
	w := newHarness(t, twoClassConfig())
	w.updateEndpoints(ListComplete, testEngines(4)...)
	bad, n := EngineID(1), 0
	for i := range 200 {
		w.now += 20 * ms
		tr := w.arriveWith(Arrival{Class: "quick", TableGroup: int64(i), TimeLeft: 3 * time.Second})
		for tr.answers == 0 && len(tr.outcomes) > 0 && tr.outcomes[len(tr.outcomes)-1] == outstanding {
			if tr.engines[len(tr.engines)-1] == bad {
				n++
				w.endLatest(tr, EngineFailed)
			} else {
				w.now += 125 * ms
				w.endLatest(tr, Served)
			}
		}
	}
	if n == 0 || n > 20 {
		t.Errorf("the failing engine got %d of 200", n)
	}
}

// A bad plan is cancelled where that is allowed, its outcome awaited, and the query run elsewhere.
func TestBadPlan(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		cfg := twoClassConfig()
		cfg.CancelAllowed = allowed
		w := newHarness(t, cfg)
		w.updateEndpoints(ListComplete, testEngines(3)...)
		for range 40 {
			tr := w.arriveWith(Arrival{Class: "big", Estimate: time.Second, TimeLeft: 15 * time.Second})
			w.now += 250 * ms
			w.endLatest(tr, Served)
		}
		tr := w.arriveWith(Arrival{Class: "big", Estimate: time.Second, TimeLeft: 15 * time.Second})
		w.now += 500 * ms
		acts := w.handle(AttemptProgress{Request: tr.id, Kind: ProgressFraction, Amount: 0.05})
		cancelled := reflect.DeepEqual(acts, []Action{CancelAttempt{Request: tr.id, Attempt: 0}})
		if cancelled != allowed {
			t.Fatalf("cancel allowed %v: %v", allowed, acts)
		}
		if allowed {
			w.endLatest(tr, Cancelled)
			if len(tr.engines) != 2 || tr.engines[1] == tr.engines[0] {
				t.Errorf("not run elsewhere: %v", tr.engines)
			}
		}
	}
}

// A link that is cut shows as silence: the attempt is cancelled, the engine blamed, the query run elsewhere.
func TestSilentAttemptIsLost(t *testing.T) {
	cfg := twoClassConfig()
	cfg.CancelAllowed, cfg.ProgressInterval = true, 500*ms
	w := newHarness(t, cfg)
	w.updateEndpoints(ListComplete, testEngines(3)...)
	silent, heard := w.arrive("big", ""), w.arrive("big", "")
	w.advance(500 * ms)
	w.handle(AttemptProgress{Request: heard.id, Kind: ProgressFraction, Amount: 0.4})
	w.advance(400 * ms)
	var cancels []Action
	for _, a := range w.actions {
		if _, ok := a.(CancelAttempt); ok {
			cancels = append(cancels, a)
		}
	}
	if !reflect.DeepEqual(cancels, []Action{CancelAttempt{Request: silent.id}}) {
		t.Fatalf("cancelled %v, want only the silent one", cancels)
	}
	e := w.controller.endpoints.byID[silent.engines[0]]
	if e.health.currentFailureShare(w.controller.env) < 0.25 {
		t.Errorf("failing share %v of a silent engine", e.health.currentFailureShare(w.controller.env))
	}
}

// Where no notes tell of spilling, grants follow the need that answers tell. It guards against taking the
// absence of notes for proof that less would do: grants then fell to 0.3 of the estimate, and 0.4 to 0.8 of
// all queries spilled.
func TestGrantFollowsNeed(t *testing.T) {
	for _, k := range []struct{ needOverEstimate, want float64 }{{1, 1}, {1.5, 1.5}, {0.7, 0.7}, {0, 1}} {
		w := newHarness(t, twoClassConfig())
		w.updateEndpoints(ListComplete, testEngines(3)...)
		for range 400 {
			tr := w.arriveWith(Arrival{
				Class: "quick", Estimate: 100 * ms, NeedMB: 100,
				TimeLeft: 3 * time.Second,
			})
			w.now += 100 * ms
			tr.answers = 1
			w.handle(AttemptEnd{Request: tr.id, Outcome: Served, Last: true, NeedMB: 100 * k.needOverEstimate})
			tr.outcomes[0] = Served
		}
		got := 0.0
		for _, a := range w.actions {
			if terms, ok := a.(SetResources); ok {
				got = terms.GrantMB / 100 / grantHeadroom
			}
		}
		if math.Abs(got-k.want) > 0.05 {
			t.Errorf("need %v times the estimate: granted %v of it before the room, want %v", k.needOverEstimate,
				got, k.want)
		}
	}
}

// A class whose answers were slow in a jam is tried again when none comes for a while.
func TestSlowMeanFades(t *testing.T) {
	w := newHarness(t, twoClassConfig())
	cl := w.controller.classes.all[1]
	cl.estimate.best, cl.estimate.mean, cl.estimate.observedAt, w.controller.env.now = 1, 10, w.now, w.now
	before := cl.estimate.current(w.controller.env)
	w.controller.env.now += 4 * evidenceLife
	if after := cl.estimate.current(w.controller.env); before != 10 || after > 1.5 {
		t.Errorf("mean %v, later %v", before, after)
	}
}

// When all others are at their bound, an engine that fails at once has room; it must not draw what is held.
func TestEjectedEngineRestsInOverload(t *testing.T) {
	w := newHarness(t, twoClassConfig())
	w.updateEndpoints(ListComplete, testEngines(3)...)
	w.controller.env.now = w.now
	bad := w.controller.endpoints.byID[1]
	for _, e := range w.controller.endpoints.all[1:] {
		e.usage.threads, e.usage.preferredThreads = 100, 100
	}
	for range 3 {
		w.controller.outliers.attributeFailure(bad, failureGain)
	}
	tr := w.arrive("big", "")
	if len(tr.engines) != 0 {
		t.Fatal("sent to an engine that just failed three times")
	}
	w.advance(2*fullBackoff + 50*ms)
	if len(tr.engines) != 1 {
		t.Error("not tried after the rest")
	}
}

// With most engines failing, none is ejected: the few others could not carry all.
func TestEjectionHasAFloor(t *testing.T) {
	for _, k := range []struct {
		failing int
		ejected bool
	}{{1, true}, {2, true}, {3, false}, {4, false}} {
		w := newHarness(t, twoClassConfig())
		w.updateEndpoints(ListComplete, testEngines(4)...)
		w.controller.env.now = w.now
		for _, e := range w.controller.endpoints.all[:k.failing] {
			w.controller.outliers.attributeFailure(e, failureGain)
			e.health.failureShare, e.health.failureShareAt = 1, w.now-600*ms
			w.controller.outliers.tracked = append(w.controller.outliers.tracked, e)
			e.running = append(e.running, &attempt{})
		}
		r := &request{class: w.controller.classes.all[0], estimate: 1, deadline: w.now + time.Second}
		if got := !w.controller.capacity.hasHeadroom(w.controller.endpoints.all[0], r, w.controller.selector.spread()); got != k.ejected {
			t.Errorf("%d of 4 failing: ejected %v, want %v", k.failing, got, k.ejected)
		}
	}
}

// A request that two engines answered with an error is failed: it guards the engines' good names, and their time,
// against requests that no engine can use.
func TestErrorsOfARequestEndIt(t *testing.T) {
	cfg := twoClassConfig()
	cfg.MaxAttempts = 5
	w := newHarness(t, cfg)
	w.updateEndpoints(ListComplete, testEngines(4)...)
	tr := w.arrive("quick", "")
	w.endLatest(tr, EngineFailed)
	if len(tr.engines) != 2 {
		t.Fatalf("%d attempts after one error", len(tr.engines))
	}
	before := len(w.actions)
	w.endLatest(tr, EngineFailed)
	if len(tr.engines) != 2 || tr.answers != 1 || !slices.Contains(w.actions[before:], Action(FailRequest{Request: tr.id})) {
		t.Errorf("%d attempts, %d answers, %v", len(tr.engines), tr.answers, w.actions[before:])
	}
}

// A wild estimate neither moves a class's mean by much nor waits for memory that no engine gives; groups of tables
// that are named once are not remembered for good.
func TestWildFiguresWeighLittle(t *testing.T) {
	w := newHarness(t, twoClassConfig())
	w.updateEndpoints(ListComplete, testEngines(4)...)
	for range 50 {
		w.endLatest(w.arriveWith(Arrival{Class: "quick", Estimate: 100 * ms, NeedMB: 10, TimeLeft: 3 * time.Second}), Served)
	}
	wild := w.arriveWith(Arrival{Class: "quick", Estimate: 1000 * time.Hour, NeedMB: 1e9, TimeLeft: 3 * time.Second})
	if mean := w.controller.classes.all[0].estimate.clientEstimate; mean > 0.5 {
		t.Errorf("the mean estimate rose to %v s", mean)
	}
	if got, most := w.controller.capacity.wantedGrant(w.controller.requests.byID[wild.id]), 8192*w.config.MaxGrantShare; got != most {
		t.Errorf("%v MB are wanted, want %v", got, most)
	}
	for i := range 3 * maxAffinities {
		w.endLatest(w.arriveWith(Arrival{Class: "quick", TableGroup: int64(i + 1), TimeLeft: 3 * time.Second}), Served)
	}
	if n := len(w.controller.selector.affinities); n > maxAffinities {
		t.Errorf("%d groups are remembered", n)
	}
}

// The bound on running threads goes down in a jam, and on one engine that is slower than the others: where another
// program has most of the cores, the usual bound would have it thrash.
func TestBoundGoesDownInAJamAndOnASlowEngine(t *testing.T) {
	w := newHarness(t, twoClassConfig())
	w.updateEndpoints(ListComplete, testEngines(4)...)
	w.controller.env.now = w.now
	quick, big := w.controller.classes.preferred, w.controller.classes.all[1]
	for _, k := range []struct{ times, want float64 }{
		{1, threadsPerCore},
		{congestionFrom, threadsPerCore},
		{(congestionFrom + congestionFull) / 2, (threadsPerCore + congestedThreadsPerCore) / 2},
		{congestionFull, congestedThreadsPerCore},
		{50, congestedThreadsPerCore},
	} {
		quick.estimate.best, quick.estimate.bounded, quick.estimate.observedAt = 1, k.times, w.now
		if got := w.controller.capacity.threadBound(); math.Abs(got-k.want) > 1e-9 {
			t.Errorf("at %v times the least: %v threads a core, want %v", k.times, got, k.want)
		}
	}
	quick.estimate.bounded = 1
	w.controller.selector.engines()
	e, r := w.controller.endpoints.all[0], &request{class: big, estimate: 1, deadline: w.now + time.Second}
	e.usage.threads, w.controller.capacity.threads = threadsPerCore*8/2, threadsPerCore*8/2 // half of the usual bound
	for slow, want := range map[float64]bool{1: true, 1.5: true, 3: false, 100: false} {
		e.health.slowness, e.health.slownessAt = slow, w.now
		if got := w.controller.capacity.hasHeadroom(e, r, w.controller.selector.spread()); got != want {
			t.Errorf("slow by %v: room %v", slow, got)
		}
	}
}

// A few preferred queries that stood still for a load are no jam: each counts a bounded time. It guards against a bound
// that goes down, and holds reports back until they expire, while the engines have room.
func TestWaitsForLoadsAreNoJam(t *testing.T) {
	for _, k := range []struct {
		every int // one in so many queries takes a hundred times as long as the others, which take slow times the least
		slow  time.Duration
		jam   bool
	}{{25, 1, false}, {1000, 3, true}} {
		w := newHarness(t, twoClassConfig())
		w.updateEndpoints(ListComplete, testEngines(4)...)
		play := func(n int, slow time.Duration, every int) {
			for i := range n {
				tr := w.arrive("quick", "")
				took := 10 * ms * slow
				if every > 0 && i%every == 0 {
					took = 1000 * ms
				}
				w.now += took
				for hop := range tr.engines {
					w.endAttempt(tr, hop, Served, nil)
				}
			}
		}
		play(100, 1, 0)
		play(200, k.slow, k.every)
		if got := w.controller.capacity.threadBound() < threadsPerCore-0.1; got != k.jam {
			t.Errorf("one in %d long, others %d times the least: bound %v", k.every, k.slow, w.controller.capacity.threadBound())
		}
	}
}
