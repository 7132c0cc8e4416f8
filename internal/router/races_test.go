package router

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"windflow/dispatch"
)

// After a request is abandoned, no attempt of it is sent: neither one that waits in the engine client for a connection,
// nor one that the dispatch module decides on in the same step. An attempt that was sent continues, or is canceled if
// the configuration allows that.
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
		t.Error("requests whose attempts were canceled before they were sent, want -, got +\n" + diff)
	}
	if diff := cmp.Diff([]string{runningID}, h.client.canceled); diff != "" {
		t.Error("requests whose attempts were canceled after they were sent, want -, got +\n" + diff)
	}
	if n := len(h.core.requests.byKey); n > 0 || h.core.OpenRequests() > 0 {
		t.Errorf("%d requests are in the table, %d open; want none", n, h.core.OpenRequests())
	}
	if h.core.ids.consumed.has(loadID) {
		t.Error("the id of a load that was never sent is consumed")
	}
	// An attempt ends and the request is abandoned in one step, before the dispatch module has handled either event.
	_, handle := h.submit("lookup", 3000, 0)
	calls := len(h.client.calls)
	h.loop.Post(func() {
		h.client.done[calls-1](End{Outcome: dispatch.EngineFull})
		h.core.Abandon(handle)
	})
	h.advance(1000)
	if len(h.client.calls) != calls {
		t.Error("an attempt was started for an abandoned request")
	}
}

// When an engine drains, is removed or moves, attempts that have not started there are canceled, so that they don't
// start there later and can be retried at another engine. The dispatch module handles an event about an engine before a
// request that is posted in the same step, so that it does not decide on the request with an outdated state.
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
			t.Errorf("%s: engines whose unstarted attempts were canceled, want -, got +\n%s", test.name, diff)
		}
		calls := h.client.calls
		if test.state != dispatch.Live && len(calls) != 1 {
			t.Errorf("%s: an attempt was sent to the engine after the event: %+v", test.name, calls)
		}
		if test.state == dispatch.Live && calls[len(calls)-1].Engine.Address != test.address {
			t.Errorf("%s: an attempt was sent to the old address: %+v", test.name, calls)
		}
	}
}

// A retry of a request that is idempotent only within a time window does not start after the window, even if its
// connection is established after that. It ends with an outcome that proves that it never ran, and the dispatch module
// gets that outcome.
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
		t.Fatalf("%d calls, latest start of the first %v; want 2 calls, no latest start", n,
			h.client.calls[0].LatestStartMS)
	}
	if left := h.client.calls[1].LatestStartMS - h.clock.MS; left <= 0 || left > 200 {
		t.Errorf("the second call must start within %v ms, want over 0 and at most 200", left)
	}
	h.advance(250)
	if len(h.client.unsentCanceled) != 1 || len(h.client.calls) != 2 || len(handler.answers) != 1 {
		t.Errorf("canceled before they were sent: %v, %d calls, answers %v; want one canceled, 2 calls, one answer",
			h.client.unsentCanceled, len(h.client.calls), handler.answers)
	}
}

// Two events about an engine arrive in one step: it is live, then draining or removed. The dispatch module decides
// after the first event to start a queued request there. That attempt must not be sent.
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
			t.Errorf("state %d: an attempt was sent to a draining or removed engine", second)
		}
		h.updateEndpoint(dispatch.ListIncremental, dispatch.Live, "10.0.0.2:1")
		h.advance(500)
		unavailable := h.core.endpoints.unavailable
		if len(h.client.calls) != 1 || len(handler.answers) > 0 || len(unavailable) > 0 {
			t.Errorf("state %d: after the engine is live again: %d calls, answers %v, unavailable %v; want 1 call only",
				second, len(h.client.calls), handler.answers, unavailable)
		}
	}
}

// runningAttempts returns the number of attempts that the dispatch module counts at the harness's engine.
func (h *harness) runningAttempts() int {
	var view dispatch.View
	h.core.FillView(&view)
	return view.Engines[0].Running
}

// Guards against an engine that gets no work any more: clients leave in the same step in which an engine becomes free
// for their queued requests, or in which an attempt ends that would be retried. The dispatch module starts an attempt
// before it learns that the client has left; it must learn that this attempt was not sent.
func TestClientsLeaveWhileEngineBecomesFree(t *testing.T) {
	h := newHarness(t, func(cfg *dispatch.Config) { cfg.MaxAttempts = 5 })
	var handles []Handle
	const requests = 200
	for range requests {
		_, handle := h.submit("load", 20_000, 0)
		handles = append(handles, handle)
	}
	sent := len(h.client.calls)
	if sent == 0 || sent == requests {
		t.Fatalf("%d of %d requests were sent, want some to be queued", sent, requests)
	}
	h.loop.Post(func() {
		for i := range sent {
			h.client.done[i](End{Outcome: dispatch.Served, Result: &Result{}})
		}
		for _, handle := range handles[sent:] {
			h.core.Abandon(handle)
		}
	})
	h.advance(1000)
	if running := h.runningAttempts(); running != 0 || len(h.client.calls) != sent {
		t.Errorf("%d attempts count as running, %d were sent for clients that had left; want none",
			running, len(h.client.calls)-sent)
	}
	_, retried := h.submit("lookup", 5000, 0)
	last := len(h.client.calls) - 1
	h.loop.Post(func() {
		h.client.done[last](End{Outcome: dispatch.ConnectionReset})
		h.core.Abandon(retried)
	})
	h.advance(1000)
	if running := h.runningAttempts(); running != 0 {
		t.Errorf("%d attempts count as running after a client left at its retry, want none", running)
	}
	if kept := len(h.core.requests.byKey); kept != 0 {
		t.Errorf("%d requests are kept, want none", kept)
	}
	if handler, _ := h.submit("lookup", 5000, 0); len(h.client.calls) != last+2 {
		t.Errorf("a request of a client that stays was not sent, its answers: %v", handler.answers)
	}
}

// submittingHandler submits another request from within the answer to its own.
type submittingHandler struct {
	recordingHandler
	submit func()
}

func (h *submittingHandler) Served(result *Result) {
	h.recordingHandler.Served(result)
	h.submit()
}

// A request that is submitted from within an answer, and abandoned in the same step, leaves nothing behind.
func TestSubmitWithinAnswer(t *testing.T) {
	h := newHarness(t)
	second := Handle{}
	handler := &submittingHandler{submit: func() {
		var err error
		request := &Request{ID: "00000000000000ff", Class: "lookup", Statement: "S", SentAtMS: h.clock.MS, BudgetMS: 3000}
		if second, err = h.core.Submit(request, &recordingHandler{}); err != nil {
			t.Error(err)
		}
	}}
	h.loop.Post(func() {
		request := &Request{ID: "00000000000000fe", Class: "lookup", Statement: "S", SentAtMS: h.clock.MS, BudgetMS: 3000}
		if _, err := h.core.Submit(request, handler); err != nil {
			t.Error(err)
		}
	})
	h.runLoop()
	h.loop.Post(func() {
		h.client.done[0](End{Outcome: dispatch.Served, Result: &Result{}})
		h.core.Abandon(second)
	})
	h.advance(1000)
	if running, kept := h.runningAttempts(), len(h.core.requests.byKey); running != 0 || kept != 0 {
		t.Errorf("%d attempts count as running, %d requests are kept; want none", running, kept)
	}
}
