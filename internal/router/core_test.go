package router

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"windflow/dispatch"
	"windflow/internal/clock"
)

func TestTimersRunInOrder(t *testing.T) {
	now := &clock.Manual{}
	l := NewLoop(now)
	var got []string
	note := func(s string) func() { return func() { got = append(got, s) } }
	l.At(20, note("late"))
	l.At(10, note("first"))
	l.At(10, note("second"))
	l.At(10, note("stopped")).Stop()
	l.Post(note("posted"))
	l.Step()
	now.MS = 15
	l.Step()
	if diff := cmp.Diff([]string{"posted", "first", "second"}, got); diff != "" {
		t.Error(diff)
	}
}

// A timer that sets itself anew for a time that has passed, or for now, leaves the loop its turn: what is posted runs, and what
// is due later too.
func TestTimerInThePastDoesNotBlockLoop(t *testing.T) {
	now := &clock.Manual{MS: 100}
	l := NewLoop(now)
	posted, later, again := false, false, 0
	var f func()
	f = func() {
		again++
		l.At(50, f)
	}
	l.At(90, f)
	l.At(100, func() { later = true })
	l.Step()
	l.Post(func() { posted = true })
	l.Step()
	l.Step()
	if !posted || !later || again != 3 {
		t.Errorf("posted %v, later %v, again %d", posted, later, again)
	}
}

// Whatever happens to its attempts, a request gets one answer, before its client stops waiting.
func TestEachRequestGetsOneAnswer(t *testing.T) {
	served := End{Outcome: dispatch.Served, Result: &Result{}}
	for _, k := range []struct {
		name  string
		class string
		play  func(*harness, Handle)
		want  []string
		calls int
	}{
		{"served twice over", "lookup", func(b *harness, _ Handle) { b.endAttempt(0, served); b.endAttempt(0, served) }, []string{"served"}, 1},
		{"silent engine", "lookup", func(b *harness, _ Handle) {}, []string{"refused 1000"}, 1},
		{"silent engine with a load", "load", func(b *harness, _ Handle) {}, []string{"failed 1"}, 1},
		{
			"served after the deadline", "load", func(b *harness, _ Handle) { b.advance(2980); b.endAttempt(0, served) },
			[]string{"failed 1"},
			1,
		},
		{"load reset", "load", func(b *harness, _ Handle) { b.endAttempt(0, End{Outcome: dispatch.ConnectionReset}) }, []string{"failed 0"}, 1},
		{"load errored", "load", func(b *harness, _ Handle) { b.endAttempt(0, End{Outcome: dispatch.EngineFailed}) }, []string{"failed 0"}, 1},
		{"load full, then served", "load", func(b *harness, _ Handle) {
			b.endAttempt(0, End{Outcome: dispatch.EngineFull})
			b.advance(400)
			b.endAttempt(1, served)
		}, []string{"served"}, 2},
		{"attempts used up", "lookup", func(b *harness, _ Handle) {
			b.endAttempt(0, End{Outcome: dispatch.EngineFull})
			b.advance(400)
			b.endAttempt(1, End{Outcome: dispatch.EngineFull})
		}, []string{"refused 1000"}, 2},
		{"client left", "lookup", func(b *harness, h Handle) {
			b.loop.Post(func() { b.core.Abandon(h); b.core.Abandon(h) })
			b.runLoop()
			b.endAttempt(0, served)
		}, nil, 1},
	} {
		b := newHarness(t)
		a, h := b.submit(k.class, 3000, 0)
		k.play(b, h)
		b.advance(2971)
		if diff := cmp.Diff(k.want, a.answers); diff != "" {
			t.Errorf("%s: %s", k.name, diff)
		}
		b.advance(3000)
		if len(a.answers) != len(k.want) || len(b.client.calls) != k.calls {
			t.Errorf("%s: answers %v, %d calls, want %d", k.name, a.answers, len(b.client.calls), k.calls)
		}
		if b.core.OpenRequests() != 0 || len(b.core.requests.byKey) != 0 {
			t.Errorf("%s: %d open, %d kept", k.name, b.core.OpenRequests(), len(b.core.requests.byKey))
		}
		c := b.core.Counters
		if c.Received != c.Served+c.Rejected+c.Failed+c.Abandoned || c.Overdue != 0 {
			t.Errorf("%s: counters %+v", k.name, c)
		}
	}
}

// A deadline counts from when the client sent: what the query has left is what goes to the engine, and one
// that came too late is answered at once, without a send.
func TestDeadlineCountsFromSending(t *testing.T) {
	b := newHarness(t)
	b.submit("lookup", 1000, 400)
	if got := b.client.calls[0].WaitMS; got != 600-answerMarginMS {
		t.Errorf("the engine was told %v ms", got)
	}
	a, _ := b.submit("lookup", 1000, 1200)
	if len(a.answers) != 1 || len(b.client.calls) != 1 {
		t.Errorf("answers %v, %d sends", a.answers, len(b.client.calls))
	}
}

// Nothing new goes to an engine that drains or is gone, and an address that passes to another engine takes no
// connections with it.
func TestEndpointsThatDrainOrMove(t *testing.T) {
	b := newHarness(t)
	b.updateEndpoint(dispatch.ListIncremental, dispatch.Live, "10.0.0.2:1")
	b.submit("lookup", 1000, 0)
	if len(b.client.calls) != 1 || b.client.calls[0].Engine.Address != "10.0.0.2:1" || len(b.client.forgotten) != 1 {
		t.Errorf("calls %+v, forgotten %v", b.client.calls, b.client.forgotten)
	}
	for _, state := range []dispatch.EndpointState{dispatch.Draining, dispatch.Removed} {
		b.updateEndpoint(dispatch.ListIncremental, state, "10.0.0.2:1")
		b.submit("lookup", 1000, 0)
		if len(b.client.calls) != 1 {
			t.Errorf("state %d: sent to an engine that drains or is gone", state)
		}
	}
	if len(b.client.forgotten) != 2 {
		t.Errorf("forgotten %v", b.client.forgotten)
	}
	b.updateEndpoint(dispatch.ListIncremental, dispatch.Live, "10.0.0.2:1")
	b.loop.Post(func() { b.core.UpdateEndpoints(dispatch.EndpointList{Mode: dispatch.ListComplete}, nil) })
	b.runLoop()
	if len(b.client.forgotten) != 3 {
		t.Errorf("an engine that a whole list leaves out: forgotten %v", b.client.forgotten)
	}
}

// A cancel of the module's goes to the engine, once, and comes back to the module as the attempt's end: at once or, where no
// second copy is allowed, when the engine has given it up.
func TestCancelAttempt(t *testing.T) {
	alone := newHarness(t)
	alone.submit("lookup", 3000, 0)
	for range 2 {
		alone.loop.Post(func() { alone.core.execute(dispatch.CancelAttempt{Request: "1", Attempt: 0}) })
		alone.runLoop()
	}
	alone.advance(500)
	if len(alone.client.canceled) != 1 || alone.core.Counters.Outcomes[dispatch.Cancelled] != 0 || len(alone.client.calls) != 1 || !alone.client.calls[0].Exclusive {
		t.Errorf("told %v, ends %v, %d calls", alone.client.canceled, alone.core.Counters.Outcomes, len(alone.client.calls))
	}
	load, _ := alone.submit("load", 3000, 0)
	alone.endAttempt(1, End{Outcome: dispatch.ConnectionReset})
	if alone.client.calls[1].Exclusive || len(load.answers) != 1 {
		t.Errorf("a load that may have run waits for its engine: %+v, answers %v", alone.client.calls[1], load.answers)
	}
	alone.endAttempt(0, End{Outcome: dispatch.Cancelled})
	alone.advance(500)
	if alone.core.Counters.Outcomes[dispatch.Cancelled] != 1 || len(alone.client.calls) != 3 {
		t.Errorf("after its end: ends %v, %d calls", alone.core.Counters.Outcomes, len(alone.client.calls))
	}
	b := newHarness(t, func(cfg *dispatch.Config) { cfg.HedgingAllowed = true })
	b.submit("lookup", 3000, 0)
	for range 2 {
		b.loop.Post(func() { b.core.execute(dispatch.CancelAttempt{Request: "1", Attempt: 0}) })
		b.runLoop()
	}
	if len(b.client.canceled) != 1 || b.core.Counters.Outcomes[dispatch.Cancelled] != 1 {
		t.Errorf("told %v, ends %v", b.client.canceled, b.core.Counters.Outcomes)
	}
	for _, unknown := range []dispatch.CancelAttempt{{Request: "9"}, {Request: "1", Attempt: 5}} {
		b.core.execute(unknown)
	}
}

func TestInvalidRequestReachesNoEngine(t *testing.T) {
	b := newHarness(t)
	submit := func(id, class, tenant string) (err error) {
		b.loop.Post(func() {
			_, err = b.core.Submit(&Request{
				ID: id, Class: class, Tenant: tenant, Statement: "S", SentAtMS: b.clock.MS,
				BudgetMS: 3000,
			}, &recordingHandler{})
		})
		b.runLoop()
		return err
	}
	first, _ := b.submit("load", 3000, 0)
	again := fmt.Sprintf("%016x", b.lastID)
	for _, k := range []struct{ id, class, tenant, want string }{
		{"a1", "nothing", "south", FieldClass}, {"a2", "lookup", "nobody", FieldTenant}, {again, "lookup", "south", FieldID},
	} {
		if err := submit(k.id, k.class, k.tenant); err == nil || !strings.Contains(err.Error(), "field "+k.want) {
			t.Errorf("%+v: %v", k, err)
		}
	}
	b.endAttempt(0, End{Outcome: dispatch.ConnectionReset})
	if diff := cmp.Diff([]string{"failed 0"}, first.answers); diff != "" {
		t.Error(diff)
	}
	if err := submit(again, "load", "south"); err == nil {
		t.Error("the id of a load that may have run was taken again")
	}
	if len(b.client.calls) != 1 {
		t.Fatalf("%d calls", len(b.client.calls))
	}
	// One that never ran may come again, and so may the id of what is safe to repeat.
	for _, class := range []string{"load", "lookup"} {
		a, _ := b.submit(class, 3000, 0)
		id := fmt.Sprintf("%016x", b.lastID)
		for len(a.answers) == 0 {
			b.endAttempt(len(b.client.done)-1, End{Outcome: dispatch.EngineFull})
			b.advance(400)
		}
		if err := submit(id, class, ""); err != nil {
			t.Errorf("%s, never run: %v", class, err)
		}
	}
	for i := range 2 * maxConsumedIDs {
		b.core.ids.consumed.add(strconv.Itoa(i))
	}
	if n := len(b.core.ids.consumed.index); n != maxConsumedIDs {
		t.Errorf("%d ids are kept", n)
	}
}

// Engines come and go under ids that never return: those that are gone are forgotten, but not before the module
// has heard of it, which may yet send to one until then.
func TestRemovedEnginesAreForgotten(t *testing.T) {
	b := newHarness(t)
	for i := range 50 {
		b.loop.Post(func() {
			id := dispatch.EngineID(100 + i)
			b.core.UpdateEndpoints(dispatch.EndpointList{Mode: dispatch.ListIncremental, Endpoints: []dispatch.Endpoint{
				{ID: id, Kind: "k", CapacityWeight: 1}, {ID: id - 1, Kind: "k", State: dispatch.Removed},
			}},
				map[dispatch.EngineID]string{id: "10.0.0.9:1"})
		})
		b.runLoop()
	}
	if len(b.core.endpoints.engines) != 2 {
		t.Errorf("%d engines are kept: %v", len(b.core.endpoints.engines), b.core.endpoints.engines)
	}
	b.loop.Post(func() { b.core.UpdateEndpoints(dispatch.EndpointList{Mode: dispatch.ListComplete}, nil) })
	b.runLoop()
	if len(b.core.endpoints.engines) != 0 {
		t.Errorf("after an empty whole list: %v", b.core.endpoints.engines)
	}
}

// Changed settings bind at once: here the attempts of a request that is open, and the tenants.
func TestConfigure(t *testing.T) {
	b := newHarness(t)
	cfg := dispatch.Config{
		Routers: 1, Tick: 5 * time.Millisecond, MaxAttempts: 1, Tenants: []dispatch.Tenant{{Name: "north"}},
		Classes: []dispatch.Class{
			{Name: "lookup", LatencyObjective: time.Second, Deadline: 5 * time.Second, Threads: 1},
			{Name: "load", LatencyObjective: 2 * time.Second, Deadline: 25 * time.Second, Threads: 2, Semantics: dispatch.AtMostOnce},
		},
	}
	a, _ := b.submit("lookup", 3000, 0)
	if kept, err := b.core.Configure(cfg); err != nil || len(kept) > 0 {
		t.Fatal(kept, err)
	}
	b.endAttempt(0, End{Outcome: dispatch.EngineFull})
	b.advance(400)
	if diff := cmp.Diff([]string{"refused 0"}, a.answers); diff != "" || len(b.client.calls) != 1 {
		t.Errorf("%d calls, %s", len(b.client.calls), diff)
	}
	if err := b.core.CheckNames(&Request{Class: "load", Tenant: "south"}); err == nil {
		t.Error("a tenant that the new settings don't name is still taken")
	}
	if k, _ := b.core.Class("load"); k.LatencyObjective != 2*time.Second {
		t.Errorf("aim %v", k.LatencyObjective)
	}
	cfg.Classes = cfg.Classes[:1]
	if kept, err := b.core.Configure(cfg); err != nil || len(kept) != 1 || kept[0] != "classes" {
		t.Error(kept, err)
	}
	if _, ok := b.core.Class("load"); !ok {
		t.Error("a class was lost")
	}
	cfg.Classes = nil
	if _, err := b.core.Configure(cfg); err == nil {
		t.Error("settings without classes were taken")
	}
}

// Each class shows from the start, and counts requests by their answer and attempts when they have left, not when they
// were handed over.
func TestClassCounters(t *testing.T) {
	b := newHarness(t)
	b.submit("lookup", 3000, 0)
	if diff := cmp.Diff(map[string]*ClassCounters{"lookup": {}, "load": {}}, b.core.ByClass); diff != "" {
		t.Error("before anything has left:", diff)
	}
	b.client.calls[0].OnSent()
	b.endAttempt(0, End{Outcome: dispatch.Served, Result: &Result{}})
	b.submit("lookup", 10, 20)
	b.submit("load", 3000, 0)
	b.client.calls[1].OnSent()
	b.endAttempt(1, End{Outcome: dispatch.ConnectionReset})
	want := map[string]*ClassCounters{"lookup": {Served: 1, Rejected: 1, Forwards: 1}, "load": {Failed: 1, Forwards: 1}}
	if diff := cmp.Diff(want, b.core.ByClass); diff != "" {
		t.Error(diff)
	}
}

// A ban by hand is in force when it is confirmed: nothing more is sent, and what was handed over and not begun is taken
// back. An id that no list has named is owed a no.
func TestCordonCancelsUnstartedAttempts(t *testing.T) {
	b := newHarness(t)
	b.submit("lookup", 3000, 0)
	told := map[string]bool{}
	b.loop.Post(func() {
		told["unknown"], told["known"] = b.core.Cordon(8), b.core.Cordon(7)
		told["again"] = b.core.Cordon(7)
	})
	b.runLoop()
	if diff := cmp.Diff(map[string]bool{"unknown": false, "known": true, "again": true}, told); diff != "" {
		t.Error(diff)
	}
	b.submit("lookup", 3000, 0)
	if len(b.client.calls) != 1 || len(b.client.unstartedCanceled) == 0 || b.core.AvoidedEngines() != 1 || b.core.ListedEngines() != 1 {
		t.Errorf("%d calls, withheld %v, avoided %d of %d", len(b.client.calls), b.client.unstartedCanceled,
			b.core.AvoidedEngines(), b.core.ListedEngines())
	}
	b.loop.Post(func() { told["back"], told["unknown back"] = b.core.Uncordon(7), b.core.Uncordon(8) })
	b.runLoop()
	if !told["back"] || told["unknown back"] || len(b.client.calls) != 2 {
		t.Errorf("after the word back: %v, %d calls", told, len(b.client.calls))
	}
}

// Before the process ends, what is open is answered, with room for the answer to leave before the kill.
func TestShutdownDeadlineAnswersBeforeTheEnd(t *testing.T) {
	b := newHarness(t)
	a, _ := b.submit("load", 20_000, 0)
	b.loop.Post(func() { b.core.SetShutdownDeadline(b.clock.MS + 500) })
	c, _ := b.submit("lookup", 20_000, 0)
	b.advance(520)
	if len(a.answers) != 1 || len(c.answers) != 1 || b.core.OpenRequests() != 0 || b.core.Counters.Overdue != 0 {
		t.Errorf("answers %v and %v, %d overdue", a.answers, c.answers, b.core.Counters.Overdue)
	}
}

// Two processes of one router know each other's ids: what is open, or may have run, in one is not taken in the other.
func TestIDsOfTheOtherProcess(t *testing.T) {
	one, two := newHarness(t), newHarness(t)
	pass := func(n IDChange) { two.loop.Post(func() { two.core.OtherProcessChanged(n) }) }
	one.submit("load", 20_000, 0) // id 1
	one.loop.Post(func() {
		s := one.core.State()
		one.core.OnIDChange = pass
		two.loop.Post(func() { two.core.RestoreState(s) })
	})
	one.runLoop()
	one.submit("lookup", 20_000, 0) // id 2
	refused := func(id int) (no bool) {
		two.loop.Post(func() {
			_, err := two.core.Submit(&Request{
				ID: fmt.Sprintf("%016x", id), Class: "lookup", Statement: "S",
				SentAtMS: two.clock.MS, BudgetMS: 3000,
			}, &recordingHandler{})
			no = errors.Is(err, ErrIDInUse)
		})
		two.runLoop()
		return no
	}
	if !refused(1) || !refused(2) || refused(3) {
		t.Error("an id that is open in the other process was taken, or a new one was not")
	}
	one.endAttempt(1, End{Outcome: dispatch.Served, Result: &Result{}})
	one.endAttempt(0, End{Outcome: dispatch.ConnectionReset})
	if refused(2) || !refused(1) {
		t.Error("an id that is free again was not taken, or that of a load that may have run was")
	}
	two.loop.Post(two.core.OtherProcessEnded)
	if !refused(1) {
		t.Error("a load that may have run was forgotten with the other process")
	}
}
