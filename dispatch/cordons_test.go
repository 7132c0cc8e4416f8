package dispatch

import (
	"slices"
	"testing"
	"time"
)

// The list returns engines in the order in which they were first named, and drops the oldest engine that is not
// cordoned.
func TestCordonList(t *testing.T) {
	list := newCordonList()
	if list.set(1, true) || list.knows(1) {
		t.Error("an unknown engine was cordoned")
	}
	list.add(1)
	list.add(2)
	list.add(1)
	for _, step := range []struct {
		id                EngineID
		cordoned, changes bool
	}{{1, true, true}, {1, true, false}, {2, false, false}, {2, true, true}, {2, false, true}} {
		if got := list.set(step.id, step.cordoned); got != step.changes || list.isCordoned(step.id) != step.cordoned {
			t.Errorf("%+v: changed %v, cordoned %v", step, got, list.isCordoned(step.id))
		}
	}
	known, cordoned := list.all()
	if !slices.Equal(known, []EngineID{1, 2}) || !slices.Equal(cordoned, []EngineID{1}) {
		t.Errorf("known %v, cordoned %v", known, cordoned)
	}
	list.dropOldest()
	if !list.knows(1) || list.knows(2) {
		t.Error("the cordoned engine was dropped instead of the other one")
	}
}

// serveAndCount has n requests served one after the other, and returns the number of attempts on the given engine.
func (h *harness) serveAndCount(n int, id EngineID) (attempts int) {
	h.t.Helper()
	for range n {
		client := h.arrive("quick", "")
		h.advance(20 * ms)
		for _, e := range client.engines {
			if e == id {
				attempts++
			}
		}
		h.endOutstanding(client, Served, nil)
		h.advance(20 * ms)
	}
	return attempts
}

// A cordoned engine gets no work until it is uncordoned, even if the endpoint list removes it, adds it again or
// reports a restart. Afterwards it warms up and soon gets a request although other engines are idle. Repeated orders
// change nothing, and the controller still knows an engine after its removal.
func TestCordonHoldsUntilUncordon(t *testing.T) {
	h := newHarness(t, withWarmUp(twoClassConfig()))
	h.updateEndpoints(ListComplete, testEngines(4)...)
	h.advance(20 * time.Second)
	if h.serveAndCount(60, 3) == 0 {
		t.Error("engine 3 was never used")
	}
	if h.handle(Cordon{Engine: 9}); h.controller.Knows(9) || h.controller.AvoidedEngines(h.now) != 0 {
		t.Error("an engine that was never listed was cordoned")
	}
	entry := testEngines(4)[2]
	for _, step := range []func(){
		func() { h.handle(Cordon{Engine: 3}) },
		func() { h.handle(Cordon{Engine: 3}) },
		func() { entry.State = Removed; h.updateEndpoints(ListIncremental, entry) },
		func() { entry.State, entry.StartedAt = Live, h.now; h.updateEndpoints(ListIncremental, entry) },
		func() { h.updateEndpoints(ListComplete, testEngines(4)...) },
	} {
		if step(); h.serveAndCount(40, 3) != 0 {
			t.Fatal("a cordoned engine got work")
		}
	}
	if n := h.controller.AvoidedEngines(h.now); n != 1 {
		t.Errorf("%d engines are avoided, want 1", n)
	}
	h.handle(Uncordon{Engine: 3})
	if e := h.controller.endpoints.byID[3]; e.warmUp.end <= h.now || h.serveAndCount(20, 3) == 0 {
		t.Errorf("after the cordon: warm-up ends at %v (now %v), or the engine got no work in 0.8 s",
			e.warmUp.end, h.now)
	}
	entry.State = Removed
	h.updateEndpoints(ListIncremental, entry)
	if !h.controller.Knows(3) || h.controller.Cordoned(3) {
		t.Error("the removed engine is unknown or cordoned")
	}
}

// The number of remembered engines is limited, but cordoned engines are never dropped.
func TestKnownEnginesAreBounded(t *testing.T) {
	h := newHarness(t, twoClassConfig())
	h.updateEndpoints(ListComplete, testEngines(2)...)
	h.handle(Cordon{Engine: 1})
	list := &h.controller.endpoints.cordons
	for i := range maxKnownEngines + 10 {
		list.add(EngineID(100 + i))
	}
	if len(list.cordoned) != maxKnownEngines || len(list.order) != maxKnownEngines {
		t.Errorf("%d and %d engines remembered, want %d", len(list.cordoned), len(list.order), maxKnownEngines)
	}
	if !h.controller.Cordoned(1) || h.controller.Knows(2) {
		t.Error("the cordoned engine was dropped, or the oldest other one was not")
	}
}
