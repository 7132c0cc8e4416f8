package router

import (
	"errors"
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"

	"windflow/dispatch"
)

// A request gets exactly one answer before its client's deadline, however its attempts end, and none if the client
// abandons it.
func TestEachRequestGetsOneAnswer(t *testing.T) {
	served := End{Outcome: dispatch.Served, Result: &Result{}}
	for _, test := range []struct {
		name     string
		class    string
		scenario func(*harness, Handle)
		want     []string
		calls    int
	}{
		{"served twice", "lookup", func(h *harness, _ Handle) {
			h.endAttempt(0, served)
			h.endAttempt(0, served)
		}, []string{"served"}, 1},
		{"silent engine", "lookup", func(*harness, Handle) {}, []string{"rejected 1000"}, 1},
		{"silent engine with a load", "load", func(*harness, Handle) {}, []string{"failed 1"}, 1},
		{"served after the deadline", "load", func(h *harness, _ Handle) {
			h.advance(2980)
			h.endAttempt(0, served)
		}, []string{"failed 1"}, 1},
		{"load reset", "load", func(h *harness, _ Handle) {
			h.endAttempt(0, End{Outcome: dispatch.ConnectionReset})
		}, []string{"failed 0"}, 1},
		{"load failed by the engine", "load", func(h *harness, _ Handle) {
			h.endAttempt(0, End{Outcome: dispatch.EngineFailed})
		}, []string{"failed 0"}, 1},
		{"load full, then served", "load", func(h *harness, _ Handle) {
			h.endAttempt(0, End{Outcome: dispatch.EngineFull})
			h.advance(400)
			h.endAttempt(1, served)
		}, []string{"served"}, 2},
		{"attempts used up", "lookup", func(h *harness, _ Handle) {
			h.endAttempt(0, End{Outcome: dispatch.EngineFull})
			h.advance(400)
			h.endAttempt(1, End{Outcome: dispatch.EngineFull})
		}, []string{"rejected 1000"}, 2},
		{"client gone", "lookup", func(h *harness, handle Handle) {
			h.loop.Post(func() { h.core.Abandon(handle); h.core.Abandon(handle) })
			h.runLoop()
			h.endAttempt(0, served)
		}, nil, 1},
	} {
		h := newHarness(t)
		handler, handle := h.submit(test.class, 3000, 0)
		test.scenario(h, handle)
		h.advance(2971)
		if diff := cmp.Diff(test.want, handler.answers); diff != "" {
			t.Errorf("%s: answers, want -, got +\n%s", test.name, diff)
		}
		h.advance(3000)
		if len(handler.answers) != len(test.want) || len(h.client.calls) != test.calls {
			t.Errorf("%s: %d calls, want %d; answers %v", test.name, len(h.client.calls), test.calls, handler.answers)
		}
		if h.core.OpenRequests() != 0 || len(h.core.requests.byKey) != 0 {
			t.Errorf("%s: %d open, %d in the table; want none", test.name, h.core.OpenRequests(), len(h.core.requests.byKey))
		}
		counters := h.core.Counters
		answered := counters.Served + counters.Rejected + counters.Failed + counters.Abandoned
		if counters.Received != answered || counters.Overdue != 0 {
			t.Errorf("%s: counters %+v: want as many answers as requests, none overdue", test.name, counters)
		}
	}
}

// The budget of a request counts from the time at which the client sent it, not from its arrival. The engine gets the
// time that remains, and a request that arrives after its deadline is answered at once, without an attempt.
func TestDeadlineCountsFromSending(t *testing.T) {
	h := newHarness(t)
	h.submit("lookup", 1000, 400)
	if got := h.client.calls[0].WaitMS; got != 600-answerMarginMS {
		t.Errorf("the engine got %v ms, want %v", got, 600-answerMarginMS)
	}
	handler, _ := h.submit("lookup", 1000, 1200)
	if len(handler.answers) != 1 || len(h.client.calls) != 1 {
		t.Errorf("request after its deadline: answers %v, %d calls in total; want one answer, 1 call", handler.answers,
			len(h.client.calls))
	}
}

// A request of an unknown class or tenant is not sent to an engine, and neither is one whose id belongs to an open
// request or to an at-most-once request that may have run. The first request with such an id is answered as usual.
func TestInvalidRequestReachesNoEngine(t *testing.T) {
	h := newHarness(t)
	submit := func(id, class, tenant string) (err error) {
		h.loop.Post(func() {
			_, err = h.core.Submit(&Request{
				ID: id, Class: class, Tenant: tenant, Statement: "S", SentAtMS: h.clock.MS,
				BudgetMS: 3000,
			}, &recordingHandler{})
		})
		h.runLoop()
		return err
	}
	first, _ := h.submit("load", 3000, 0)
	usedID := h.requestID()
	for _, test := range []struct{ id, class, tenant, field, text string }{
		{"a1", "nothing", "south", FieldClass, `field method: unknown class "nothing"`},
		{"a2", "lookup", "nobody", FieldTenant, `field acct: unknown tenant "nobody"`},
		{usedID, "lookup", "south", FieldID, "field rid: a request with that id is still open, or may have run"},
	} {
		err := submit(test.id, test.class, test.tenant)
		var fieldError *FieldError
		if !errors.As(err, &fieldError) || fieldError.Field != test.field || err.Error() != test.text {
			t.Errorf("%+v: error %v", test, err)
		}
	}
	h.endAttempt(0, End{Outcome: dispatch.ConnectionReset})
	if diff := cmp.Diff([]string{"failed 0"}, first.answers); diff != "" {
		t.Error(diff)
	}
	if err := submit(usedID, "load", "south"); !errors.Is(err, ErrIDInUse) {
		t.Errorf("reusing the id of a load that may have run: error %v, want ErrIDInUse", err)
	}
	if len(h.client.calls) != 1 {
		t.Fatalf("%d calls, want 1", len(h.client.calls))
	}
	// The id of a load that never ran may be used again, and so may the id of an idempotent request.
	for _, class := range []string{"load", "lookup"} {
		handler, _ := h.submit(class, 3000, 0)
		id := h.requestID()
		for len(handler.answers) == 0 {
			h.endAttempt(len(h.client.done)-1, End{Outcome: dispatch.EngineFull})
			h.advance(400)
		}
		if err := submit(id, class, ""); err != nil {
			t.Errorf("reusing the id of a %s that never ran: error %v", class, err)
		}
	}
	for i := range 2 * maxConsumedIDs {
		h.core.ids.consumed.add(strconv.Itoa(i))
	}
	if n := len(h.core.ids.consumed.index); n != maxConsumedIDs {
		t.Errorf("%d consumed ids are stored, want %d", n, maxConsumedIDs)
	}
}

// ByClass has an entry for each configured class before any request. Requests are counted by their answers, and
// attempts when they have been sent completely, not when the engine client is called.
func TestClassCounters(t *testing.T) {
	h := newHarness(t)
	h.submit("lookup", 3000, 0)
	if diff := cmp.Diff(map[string]*ClassCounters{"lookup": {}, "load": {}}, h.core.ByClass); diff != "" {
		t.Error("before anything was sent:", diff)
	}
	h.client.calls[0].OnSent()
	h.endAttempt(0, End{Outcome: dispatch.Served, Result: &Result{}})
	h.submit("lookup", 10, 20)
	h.submit("load", 3000, 0)
	h.client.calls[1].OnSent()
	h.endAttempt(1, End{Outcome: dispatch.ConnectionReset})
	want := map[string]*ClassCounters{
		"lookup": {Served: 1, Rejected: 1, Forwards: 1},
		"load":   {Failed: 1, Forwards: 1},
	}
	if diff := cmp.Diff(want, h.core.ByClass); diff != "" {
		t.Error(diff)
	}
}
