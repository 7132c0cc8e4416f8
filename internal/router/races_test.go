package router

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"windflow/dispatch"
)

// An abandoned request gets no attempt any more: neither one that the engine client has and that waits for its
// connection, nor one that the module decided on in the same step. What has started continues, and is canceled if the
// configuration allows that.
func TestAbandonedRequestGetsNoAttempt(t *testing.T) {
	h := newHarness(t, func(cfg *dispatch.Config) {
		cfg.CancelAllowed, cfg.HedgingAllowed, cfg.MaxAttempts = true, true, 5
	})
	_, unsent := h.submit("lookup", 3000, 0)
	unsentID := h.requestID()
	h.client.unsent = map[string]bool{unsentID: true}
	_, running := h.submit("lookup", 3000, 0)
	runningID := h.requestID()
	_, load := h.submit("load", 3000, 0)
	loadID := h.requestID()
	h.client.unsent[loadID] = true
	h.loop.Post(func() {
		for _, handle := range []Handle{unsent, running, load} {
			h.core.Abandon(handle)
		}
	})
	h.runLoop()
	if diff := cmp.Diff([]string{unsentID, loadID}, h.client.unsentCanceled); diff != "" {
		t.Error("canceled before they were sent:", diff)
	}
	if diff := cmp.Diff([]string{runningID}, h.client.canceled); diff != "" {
		t.Error("canceled:", diff)
	}
	if n := len(h.core.requests.byKey); n > 0 || h.core.OpenRequests() > 0 {
		t.Errorf("%d requests are in the table, %d open", n, h.core.OpenRequests())
	}
	if h.core.ids.consumed.has(loadID) {
		t.Error("a load that was never sent counts as one that may have run")
	}
	// An attempt ends and its client goes away before the module has handled either.
	_, handle := h.submit("lookup", 3000, 0)
	calls := len(h.client.calls)
	h.loop.Post(func() {
		h.client.done[calls-1](End{Outcome: dispatch.EngineFull})
		h.core.Abandon(handle)
	})
	h.advance(1000)
	if len(h.client.calls) != calls {
		t.Error("a retry for a client that is gone")
	}
}

// When an engine drains, is removed or moves, the attempts that were not started there are canceled and retried
// at another engine. An event about an engine that is posted in one step with a request precedes it.
func TestEndpointEventCancelsUnstartedAttempts(t *testing.T) {
	for _, test := range []struct {
		name    string
		state   dispatch.EndpointState
		address string
	}{
		{"draining", dispatch.Draining, "10.0.0.1:1"},
		{"removed", dispatch.Removed, "10.0.0.1:1"},
		{"moved", dispatch.Live, "10.0.0.2:1"},
	} {
		h := newHarness(t)
		h.submit("lookup", 3000, 0)
		h.loop.Post(func() {
			request := &Request{ID: "f", Class: "lookup", Statement: "S", SentAtMS: h.clock.MS, BudgetMS: 3000}
			_, _ = h.core.Submit(request, &recordingHandler{})
			h.applyEndpoint(dispatch.ListIncremental, test.state, test.address)
		})
		h.runLoop()
		want := []Engine{{ID: harnessEngine, Address: "10.0.0.1:1", Kind: "k"}}
		if diff := cmp.Diff(want, h.client.unstartedCanceled); diff != "" {
			t.Errorf("%s: unstarted attempts canceled at: %s", test.name, diff)
		}
		calls := h.client.calls
		if test.state != dispatch.Live && len(calls) != 1 {
			t.Errorf("%s: sent by an outdated view: %+v", test.name, calls)
		}
		if test.state == dispatch.Live && calls[len(calls)-1].Engine.Address != test.address {
			t.Errorf("%s: sent to the former address: %+v", test.name, calls)
		}
	}
}

// A retry of a request that is idempotent only within a window does not start after the window, even if its connection
// is established later: it ends as one that never ran, and the module gets that end.
func TestLatestStart(t *testing.T) {
	h := newHarness(t, func(cfg *dispatch.Config) {
		cfg.Classes = append(cfg.Classes, dispatch.Class{
			Name: "keyed", LatencyObjective: time.Second, Deadline: 5 * time.Second, Threads: 1,
			Semantics: dispatch.IdempotentByKey, IdempotencyWindow: 300 * time.Millisecond,
		})
	})
	handler, _ := h.submit("keyed", 3000, 0)
	h.client.unsent = map[string]bool{h.requestID(): true}
	h.advance(100)
	h.endAttempt(0, End{Outcome: dispatch.ConnectionReset})
	if n := len(h.client.calls); n != 2 || h.client.calls[0].LatestStartMS != 0 {
		t.Fatalf("%d calls, the latest start of the first %v", n, h.client.calls[0].LatestStartMS)
	}
	if left := h.client.calls[1].LatestStartMS - h.clock.MS; left <= 0 || left > 200 {
		t.Errorf("the latest start of the second in %v ms", left)
	}
	h.advance(250)
	if len(h.client.unsentCanceled) != 1 || len(h.client.calls) != 2 || len(handler.answers) != 1 {
		t.Errorf("canceled before they were sent %v, %d calls, answers %v",
			h.client.unsentCanceled, len(h.client.calls), handler.answers)
	}
}

// Of two events about an engine in one step the module decides by the first, and releases queued requests; no attempt
// is started by that decision.
func TestTwoEndpointEventsInOneStep(t *testing.T) {
	for _, second := range []dispatch.EndpointState{dispatch.Draining, dispatch.Removed} {
		h := newHarness(t)
		h.updateEndpoint(dispatch.ListIncremental, dispatch.Draining, "10.0.0.1:1")
		handler, _ := h.submit("lookup", 3000, 0) // waits for an engine
		h.loop.Post(func() {
			for _, state := range []dispatch.EndpointState{dispatch.Live, second} {
				h.applyEndpoint(dispatch.ListIncremental, state, "10.0.0.1:1")
			}
		})
		h.runLoop()
		if len(h.client.calls) > 0 {
			t.Errorf("%d: started at an engine that is draining or removed", second)
		}
		h.updateEndpoint(dispatch.ListIncremental, dispatch.Live, "10.0.0.2:1")
		h.advance(500)
		unavailable := h.core.endpoints.unavailable
		if len(h.client.calls) != 1 || len(handler.answers) > 0 || len(unavailable) > 0 {
			t.Errorf("%d: %d calls after it is back, answers %v, unavailable %v",
				second, len(h.client.calls), handler.answers, unavailable)
		}
	}
}
