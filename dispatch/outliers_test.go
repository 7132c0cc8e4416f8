package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"
)

// A network that resets one attempt in eight, whatever the engine, ejects none and leaves all warm: it guards
// against taking chance for a sick fleet, which would then refuse work.
func TestRandomResetsEjectNoEngine(t *testing.T) {
	config := twoClassConfig()
	config.MaxAttempts = 5
	config.WarmUpInitialShare, config.WarmUpDuration, config.WarmUpOverloadFactor, config.WarmUpOverloadWindow = 0.4, 10*time.Second, 2, time.Second
	h := newHarness(t, config)
	h.updateEndpoints(ListComplete, testEngines(5)...)
	rng := rand.New(rand.NewPCG(1, 2))
	shut := 0
	for range 2000 {
		h.now += 10 * ms
		client := h.arriveWith(Arrival{Class: "quick", TableGroup: int64(h.lastID), TimeLeft: 3 * time.Second})
		for client.answers == 0 && client.outcomes[len(client.outcomes)-1] == outstanding {
			o := Served
			if rng.IntN(8) == 0 {
				o = []Outcome{ConnectionReset, ConnectFailed}[rng.IntN(2)]
			}
			h.endLatest(client, o)
		}
		for _, e := range h.controller.endpoints.all {
			if e.health.currentFailureShare(h.controller.env) >= ejectionThreshold || h.now < e.warmUp.end {
				shut++
			}
		}
	}
	if shut > 20 {
		t.Errorf("an engine was ejected or held to be cold at %d of 10000 looks", shut)
	}
}

// Avoided is what the module goes by: engines that fail count until so many do that all are used again.
func TestAvoidedEnginesFollowEjectionLimit(t *testing.T) {
	h := newHarness(t, twoClassConfig())
	h.updateEndpoints(ListComplete, testEngines(4)...)
	for i, want := range []int{1, 2, 0, 0} {
		h.controller.env.now = h.now
		h.controller.outliers.attributeFailure(h.controller.endpoints.all[i], 1)
		if got := h.controller.AvoidedEngines(h.now); got != want {
			t.Errorf("%d engines fail: %d avoided, want %d", i+1, got, want)
		}
	}
}

func TestFastFailingEngineGetsFewRequests(t *testing.T) {
	h := newHarness(t, twoClassConfig())
	h.updateEndpoints(ListComplete, testEngines(4)...)
	bad, n := EngineID(1), 0
	for i := range 200 {
		h.now += 20 * ms
		client := h.arriveWith(Arrival{Class: "quick", TableGroup: int64(i), TimeLeft: 3 * time.Second})
		for client.answers == 0 && len(client.outcomes) > 0 && client.outcomes[len(client.outcomes)-1] == outstanding {
			if client.engines[len(client.engines)-1] == bad {
				n++
				h.endLatest(client, EngineFailed)
			} else {
				h.now += 125 * ms
				h.endLatest(client, Served)
			}
		}
	}
	if n == 0 || n > 20 {
		t.Errorf("the failing engine got %d of 200", n)
	}
}

// When all others are at their bound, an engine that fails at once has room; it must not draw what is held.
func TestEjectedEngineIsBackedOffFromInOverload(t *testing.T) {
	h := newHarness(t, twoClassConfig())
	h.updateEndpoints(ListComplete, testEngines(3)...)
	h.controller.env.now = h.now
	bad := h.controller.endpoints.byID[1]
	for _, e := range h.controller.endpoints.all[1:] {
		e.usage.threads, e.usage.preferredThreads = 100, 100
	}
	for range 3 {
		h.controller.outliers.attributeFailure(bad, failureGain)
	}
	client := h.arrive("big", "")
	if len(client.engines) != 0 {
		t.Fatal("sent to an engine that just failed three times")
	}
	h.advance(2*fullBackoff + 50*ms)
	if len(client.engines) != 1 {
		t.Error("not tried after the rest")
	}
}

// With most engines failing, none is ejected: the few others could not carry all.
func TestEjectionIsLimited(t *testing.T) {
	for _, k := range []struct {
		failing int
		ejected bool
	}{{1, true}, {2, true}, {3, false}, {4, false}} {
		h := newHarness(t, twoClassConfig())
		h.updateEndpoints(ListComplete, testEngines(4)...)
		h.controller.env.now = h.now
		for _, e := range h.controller.endpoints.all[:k.failing] {
			h.controller.outliers.attributeFailure(e, failureGain)
			e.health.failureShare, e.health.failureShareAt = 1, h.now-600*ms
			h.controller.outliers.tracked = append(h.controller.outliers.tracked, e)
			e.running = append(e.running, &attempt{})
		}
		r := &request{class: h.controller.classes.all[0], estimate: 1, deadline: h.now + time.Second}
		if got := !h.controller.capacity.hasHeadroom(h.controller.endpoints.all[0], r, h.controller.selector.spread()); got != k.ejected {
			t.Errorf("%d of 4 failing: ejected %v, want %v", k.failing, got, k.ejected)
		}
	}
}

// A try of an engine that is down renews the evidence against it, and it counts among those that fail.
func TestAttemptOnDownEngineRenewsFailure(t *testing.T) {
	h := newHarness(t, twoClassConfig())
	h.updateEndpoints(ListComplete, testEngines(1)...)
	h.controller.env.now = h.now
	e := h.controller.endpoints.listed[0]
	for range maxConnectionFailures + 1 {
		h.controller.outliers.attributeFailure(e, failureGain)
		e.health.connectionFailures++
	}
	h.now += evidenceLife
	h.controller.env.now = h.now
	if got := h.controller.outliers.ejectedCount(); got != 0 || e.health.currentFailureShare(h.controller.env) >= ejectionThreshold {
		t.Fatalf("%v engines are ejected after the evidence has faded", got)
	}
	if h.arrive("quick", ""); len(h.starts) != 1 {
		t.Fatal("the engine was not tried")
	}
	if got, want := h.controller.outliers.ejectedCount(), h.controller.recountEjected(); got != want || want != 1 {
		t.Errorf("%v engines are ejected, %v fail, want 1", got, want)
	}
}

// A router of a large fleet keeps off what gave no answer, alone or as a zone; not where all that is listed rests, not after a
// ban has ended, and an engine that is no longer listed has no say.
func TestZoneBackoffInLargeFleet(t *testing.T) {
	config, list := largeFleetConfig(300, 8, 0)
	strikes := func() *harness {
		h := newHarness(t, config)
		h.updateEndpoints(ListComplete, list...)
		for range 12 {
			for _, e := range h.controller.endpoints.listed {
				if e.Zone == "z0" {
					h.controller.fleet.recordOutcome(&attempt{engine: e, request: &request{}}, ConnectFailed)
				}
			}
		}
		return h
	}
	h := strikes()
	if e, other := h.controller.endpoints.byID[1], h.controller.endpoints.byID[2]; !h.controller.outliers.backedOff(e) || h.controller.outliers.backedOff(other) {
		t.Fatal("zone z0 does not rest, or z1 does")
	}
	if h.controller.endpoints.byID[7].health.backoff.RecordSuccess(); !h.controller.outliers.backedOff(h.controller.endpoints.byID[7]) {
		t.Error("an engine of a zone that rests is used")
	}
	gone := list[0] // the last of z1 is gone, and z0 rests
	left := []Endpoint{gone, list[2], list[4]}
	h.updateEndpoints(ListComplete, left...)
	h.controller.endpoints.byID[3].health.backoff.RecordSuccess()
	if h.controller.outliers.backedOff(h.controller.endpoints.byID[3]) {
		t.Error("all zones that are listed rest, and the router keeps off all")
	}
	h = strikes()
	h.handle(Cordon{Engine: 1})
	h.handle(Uncordon{Engine: 1})
	if h.controller.endpoints.byID[1].health.backoff.Active(milliseconds(h.now)) {
		t.Error("an engine rests after its ban has ended")
	}
}
