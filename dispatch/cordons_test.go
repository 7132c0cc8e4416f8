package dispatch

import (
	"testing"
	"time"
)

// An engine that an operator excludes gets nothing until the word back, whatever the list says meanwhile, a restart
// included. Then it counts as cold and yet gets a query while others are idle. Repeats change nothing, and an id that
// was once listed stays known.
func TestCordonHoldsUntilUncordon(t *testing.T) {
	config := twoClassConfig()
	config.WarmUpDuration, config.WarmUpInitialShare, config.WarmUpOverloadFactor, config.WarmUpOverloadWindow = 12*time.Second, 0.36, 2, 1500*ms
	h := newHarness(t, config)
	h.updateEndpoints(ListComplete, testEngines(4)...)
	h.advance(20 * time.Second)
	sent := func(n int) (to3 int) {
		for range n {
			client := h.arrive("quick", "")
			h.advance(20 * ms)
			for hop, id := range client.engines {
				if id == 3 {
					to3++
				}
				if client.outcomes[hop] == outstanding {
					h.endAttempt(client, hop, Served, nil)
				}
			}
			h.advance(20 * ms)
		}
		return to3
	}
	if sent(60) == 0 {
		t.Error("engine 3 was never used")
	}
	if h.handle(Cordon{Engine: 9}); h.controller.Knows(9) || h.controller.AvoidedEngines(h.now) != 0 {
		t.Error("an engine that was never listed was excluded")
	}
	back := testEngines(4)[2]
	for _, word := range []func(){
		func() { h.handle(Cordon{Engine: 3}) },
		func() { h.handle(Cordon{Engine: 3}) },
		func() { back.State = Removed; h.updateEndpoints(ListIncremental, back) },
		func() { back.State, back.StartedAt = Live, h.now; h.updateEndpoints(ListIncremental, back) },
		func() { h.updateEndpoints(ListComplete, testEngines(4)...) },
	} {
		if word(); sent(40) != 0 {
			t.Fatal("an excluded engine got work")
		}
	}
	if n := h.controller.AvoidedEngines(h.now); n != 1 {
		t.Errorf("%d engines are avoided", n)
	}
	h.handle(Uncordon{Engine: 3})
	if e := h.controller.endpoints.byID[3]; e.warmUp.end <= h.now || sent(20) == 0 {
		t.Errorf("after the word back: warm at %v of %v, or no work in 0.8 s", e.warmUp.end, h.now)
	}
	back.State = Removed
	h.updateEndpoints(ListIncremental, back)
	if !h.controller.Knows(3) || h.controller.Cordoned(3) {
		t.Error("an engine that has gone is not known any more, or excluded")
	}
}

// The ids that were listed are remembered within a bound, the excluded ones for good.
func TestKnownEnginesAreBounded(t *testing.T) {
	h := newHarness(t, twoClassConfig())
	h.updateEndpoints(ListComplete, testEngines(2)...)
	h.handle(Cordon{Engine: 1})
	for i := range maxKnownEngines + 10 {
		h.controller.endpoints.cordons.add(EngineID(100 + i))
	}
	if n := len(h.controller.endpoints.cordons.cordoned); n != maxKnownEngines || len(h.controller.endpoints.cordons.order) != maxKnownEngines || !h.controller.Cordoned(1) || h.controller.Knows(2) {
		t.Errorf("%d ids are remembered, at most %d should be; 1 is excluded: %v", n, maxKnownEngines, h.controller.Cordoned(1))
	}
}
