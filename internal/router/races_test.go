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
func TestAbandonedRequestGetsNoAttempt(t *testing.T) {
	b := newHarness(t, func(cfg *dispatch.Config) { cfg.CancelAllowed, cfg.HedgingAllowed, cfg.MaxAttempts = true, true, 5 })
	_, waits := b.submit("lookup", 3000, 0)
	waiting := fmt.Sprintf("%016x", b.lastID)
	b.client.unsent = map[string]bool{waiting: true}
	_, runs := b.submit("lookup", 3000, 0)
	running := fmt.Sprintf("%016x", b.lastID)
	_, load := b.submit("load", 3000, 0)
	loading := fmt.Sprintf("%016x", b.lastID)
	b.client.unsent[loading] = true
	b.loop.Post(func() {
		for _, h := range []Handle{waits, runs, load} {
			b.core.Abandon(h)
		}
	})
	b.runLoop()
	if diff := cmp.Diff([]string{waiting, loading}, b.client.unsentCanceled); diff != "" {
		t.Error("taken back:", diff)
	}
	if diff := cmp.Diff([]string{running}, b.client.canceled); diff != "" {
		t.Error("cancelled:", diff)
	}
	if n := len(b.core.requests.byKey); n > 0 || b.core.OpenRequests() > 0 {
		t.Errorf("%d requests are kept, %d open", n, b.core.OpenRequests())
	}
	if b.core.ids.consumed.has(loading) {
		t.Error("a load that never began counts as one that may have run")
	}
	// An attempt ends, and its client leaves, before the module has heard of either.
	_, h := b.submit("lookup", 3000, 0)
	calls := len(b.client.calls)
	b.loop.Post(func() {
		b.client.done[calls-1](End{Outcome: dispatch.EngineFull})
		b.core.Abandon(h)
	})
	b.advance(1000)
	if len(b.client.calls) != calls {
		t.Error("a further attempt for a client that has gone")
	}
}

// Word that an engine drains, is gone or elsewhere takes back what was not begun there, and it goes elsewhere; word that
// comes in one batch with a query counts ahead of it.
func TestEndpointEventCancelsUnstartedAttempts(t *testing.T) {
	for _, k := range []struct {
		name  string
		state dispatch.EndpointState
		addr  string
	}{{"drains", dispatch.Draining, "10.0.0.1:1"}, {"gone", dispatch.Removed, "10.0.0.1:1"}, {"elsewhere", dispatch.Live, "10.0.0.2:1"}} {
		b := newHarness(t)
		b.submit("lookup", 3000, 0)
		b.loop.Post(func() {
			_, _ = b.core.Submit(&Request{ID: "f", Class: "lookup", Statement: "S", SentAtMS: b.clock.MS, BudgetMS: 3000}, &recordingHandler{})
			b.core.UpdateEndpoints(dispatch.EndpointList{Mode: dispatch.ListIncremental, Endpoints: []dispatch.Endpoint{{ID: 7, Kind: "k", CapacityWeight: 1, State: k.state}}},
				map[dispatch.EngineID]string{7: k.addr})
		})
		b.runLoop()
		if diff := cmp.Diff([]Engine{{ID: 7, Address: "10.0.0.1:1", Kind: "k"}}, b.client.unstartedCanceled); diff != "" {
			t.Errorf("%s: withheld: %s", k.name, diff)
		}
		if n := len(b.client.calls); k.state != dispatch.Live && n != 1 || k.state == dispatch.Live && b.client.calls[n-1].Engine.Address != k.addr {
			t.Errorf("%s: sent by an old view: %+v", k.name, b.client.calls)
		}
	}
}

// A further attempt of what may run twice only within a window does not begin after it, however late its connection comes
// up: it ends as never run, and the module hears so.
func TestLatestStart(t *testing.T) {
	b := newHarness(t, func(cfg *dispatch.Config) {
		cfg.Classes = append(cfg.Classes, dispatch.Class{
			Name: "keyed", LatencyObjective: time.Second, Deadline: 5 * time.Second, Threads: 1,
			Semantics: dispatch.IdempotentByKey, IdempotencyWindow: 300 * time.Millisecond,
		})
	})
	a, _ := b.submit("keyed", 3000, 0)
	b.client.unsent = map[string]bool{fmt.Sprintf("%016x", b.lastID): true}
	b.advance(100)
	b.endAttempt(0, End{Outcome: dispatch.ConnectionReset})
	if n := len(b.client.calls); n != 2 || b.client.calls[0].LatestStartMS != 0 {
		t.Fatalf("%d calls, the first to begin by %v", n, b.client.calls[0].LatestStartMS)
	}
	if left := b.client.calls[1].LatestStartMS - b.clock.MS; left <= 0 || left > 200 {
		t.Errorf("the second may begin within %v ms", left)
	}
	b.advance(250)
	if len(b.client.unsentCanceled) != 1 || len(b.client.calls) != 2 || len(a.answers) != 1 {
		t.Errorf("taken back %v, %d calls, answers %v", b.client.unsentCanceled, len(b.client.calls), a.answers)
	}
}

// Two words of an engine in one batch: the module goes by the first, and releases what it held; nothing is begun by it.
func TestTwoEndpointEventsInOneStep(t *testing.T) {
	for _, second := range []dispatch.EndpointState{dispatch.Draining, dispatch.Removed} {
		b := newHarness(t)
		b.updateEndpoint(dispatch.ListIncremental, dispatch.Draining, "10.0.0.1:1")
		a, _ := b.submit("lookup", 3000, 0) // waits for an engine
		b.loop.Post(func() {
			for _, state := range []dispatch.EndpointState{dispatch.Live, second} {
				b.core.UpdateEndpoints(dispatch.EndpointList{Mode: dispatch.ListIncremental, Endpoints: []dispatch.Endpoint{{ID: 7, Kind: "k", CapacityWeight: 1, State: state}}},
					map[dispatch.EngineID]string{7: "10.0.0.1:1"})
			}
		})
		b.runLoop()
		if len(b.client.calls) > 0 {
			t.Errorf("%d: begun at an engine that leaves", second)
		}
		b.updateEndpoint(dispatch.ListIncremental, dispatch.Live, "10.0.0.2:1")
		b.advance(500)
		if len(b.client.calls) != 1 || len(a.answers) > 0 || len(b.core.endpoints.unavailable) > 0 {
			t.Errorf("%d: %d calls after it is back, answers %v, leaving %v", second, len(b.client.calls), a.answers, b.core.endpoints.unavailable)
		}
	}
}
