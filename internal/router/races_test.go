package router

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"windflow/dispatch"
)

// A client that has gone gets no attempt any more, neither one that was handed to the engine client and waits for its
// connection, nor a further one that was decided on in the same batch. What has begun goes on, and is cancelled where the
// settings allow that.
func TestGoneClientGetsNoAttempt(t *testing.T) {
	b := newBed(t, func(cfg *dispatch.Config) { cfg.CancelAllowed, cfg.HedgingAllowed, cfg.MaxAttempts = true, true, 5 })
	_, waits := b.ask("lookup", 3000, 0)
	waiting := fmt.Sprintf("%016x", b.ids)
	b.engines.unbegun = map[string]bool{waiting: true}
	_, runs := b.ask("lookup", 3000, 0)
	running := fmt.Sprintf("%016x", b.ids)
	_, load := b.ask("load", 3000, 0)
	loading := fmt.Sprintf("%016x", b.ids)
	b.engines.unbegun[loading] = true
	b.loop.Post(func() {
		for _, h := range []Handle{waits, runs, load} {
			b.core.Abandon(h)
		}
	})
	b.run()
	if diff := cmp.Diff([]string{waiting, loading}, b.engines.recalled); diff != "" {
		t.Error("taken back:", diff)
	}
	if diff := cmp.Diff([]string{running}, b.engines.cancelled); diff != "" {
		t.Error("cancelled:", diff)
	}
	if n := len(b.core.requests); n > 0 || b.core.OpenRequests() > 0 {
		t.Errorf("%d requests are kept, %d open", n, b.core.OpenRequests())
	}
	if b.core.spent.has(loading) {
		t.Error("a load that never began counts as one that may have run")
	}
	// An attempt ends, and its client leaves, before the module has heard of either.
	_, h := b.ask("lookup", 3000, 0)
	calls := len(b.engines.calls)
	b.loop.Post(func() {
		b.engines.done[calls-1](End{Outcome: dispatch.EngineFull})
		b.core.Abandon(h)
	})
	b.wait(1000)
	if len(b.engines.calls) != calls {
		t.Error("a further attempt for a client that has gone")
	}
}

// Word that an engine drains, is gone or elsewhere takes back what was not begun there, and it goes elsewhere; word that
// comes in one batch with a query counts ahead of it.
func TestWordOfAnEngineTakesBackWhatHasNotBegun(t *testing.T) {
	for _, k := range []struct {
		name  string
		state dispatch.EndpointState
		addr  string
	}{{"drains", dispatch.Draining, "10.0.0.1:1"}, {"gone", dispatch.Removed, "10.0.0.1:1"}, {"elsewhere", dispatch.Live, "10.0.0.2:1"}} {
		b := newBed(t)
		b.ask("lookup", 3000, 0)
		b.loop.Post(func() {
			_, _ = b.core.Submit(&Request{ID: "f", Class: "lookup", Statement: "S", SentAtMS: b.now.MS, BudgetMS: 3000}, &asker{})
			b.core.UpdateEndpoints(dispatch.EndpointList{Mode: dispatch.ListIncremental, Endpoints: []dispatch.Endpoint{{ID: 7, Kind: "k", CapacityWeight: 1, State: k.state}}},
				map[dispatch.EngineID]string{7: k.addr})
		})
		b.run()
		if diff := cmp.Diff([]Engine{{ID: 7, Address: "10.0.0.1:1", Kind: "k"}}, b.engines.withheld); diff != "" {
			t.Errorf("%s: withheld: %s", k.name, diff)
		}
		if n := len(b.engines.calls); k.state != dispatch.Live && n != 1 || k.state == dispatch.Live && b.engines.calls[n-1].Engine.Address != k.addr {
			t.Errorf("%s: sent by an old view: %+v", k.name, b.engines.calls)
		}
	}
}

// A further attempt of what may run twice only within a window does not begin after it, however late its connection comes
// up: it ends as never run, and the module hears so.
func TestLatestStart(t *testing.T) {
	b := newBed(t, func(cfg *dispatch.Config) {
		cfg.Classes = append(cfg.Classes, dispatch.Class{
			Name: "keyed", LatencyObjective: time.Second, Deadline: 5 * time.Second, Threads: 1,
			Semantics: dispatch.IdempotentByKey, IdempotencyWindow: 300 * time.Millisecond,
		})
	})
	a, _ := b.ask("keyed", 3000, 0)
	b.engines.unbegun = map[string]bool{fmt.Sprintf("%016x", b.ids): true}
	b.wait(100)
	b.end(0, End{Outcome: dispatch.ConnectionReset})
	if n := len(b.engines.calls); n != 2 || b.engines.calls[0].LatestStartMS != 0 {
		t.Fatalf("%d calls, the first to begin by %v", n, b.engines.calls[0].LatestStartMS)
	}
	if left := b.engines.calls[1].LatestStartMS - b.now.MS; left <= 0 || left > 200 {
		t.Errorf("the second may begin within %v ms", left)
	}
	b.wait(250)
	if len(b.engines.recalled) != 1 || len(b.engines.calls) != 2 || len(a.answers) != 1 {
		t.Errorf("taken back %v, %d calls, answers %v", b.engines.recalled, len(b.engines.calls), a.answers)
	}
}

// Two words of an engine in one batch: the module goes by the first, and releases what it held; nothing is begun by it.
func TestTwoWordsInOneBatch(t *testing.T) {
	for _, second := range []dispatch.EndpointState{dispatch.Draining, dispatch.Removed} {
		b := newBed(t)
		b.list(dispatch.ListIncremental, dispatch.Draining, "10.0.0.1:1")
		a, _ := b.ask("lookup", 3000, 0) // waits for an engine
		b.loop.Post(func() {
			for _, state := range []dispatch.EndpointState{dispatch.Live, second} {
				b.core.UpdateEndpoints(dispatch.EndpointList{Mode: dispatch.ListIncremental, Endpoints: []dispatch.Endpoint{{ID: 7, Kind: "k", CapacityWeight: 1, State: state}}},
					map[dispatch.EngineID]string{7: "10.0.0.1:1"})
			}
		})
		b.run()
		if len(b.engines.calls) > 0 {
			t.Errorf("%d: begun at an engine that leaves", second)
		}
		b.list(dispatch.ListIncremental, dispatch.Live, "10.0.0.2:1")
		b.wait(500)
		if len(b.engines.calls) != 1 || len(a.answers) > 0 || len(b.core.leaving) > 0 {
			t.Errorf("%d: %d calls after it is back, answers %v, leaving %v", second, len(b.engines.calls), a.answers, b.core.leaving)
		}
	}
}
