package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"
)

// If the network resets one attempt in eight on every engine, no engine is ejected or warms up. This guards against
// mistaking chance for a failing fleet, which would make the router reject work.
func TestRandomResetsEjectNoEngine(t *testing.T) {
	config := withShortWarmUp(twoClassConfig())
	config.MaxAttempts = 5
	h := newHarness(t, config)
	h.updateEndpoints(ListComplete, testEngines(5)...)
	rng := rand.New(rand.NewPCG(1, 2))
	unavailable := 0
	for range 2000 {
		h.now += 10 * ms
		client := h.arriveWith(Arrival{Class: "quick", TableGroup: int64(h.lastID), TimeLeft: 3 * time.Second})
		for client.answers == 0 && client.latestOutcome() == outstanding {
			outcome := Served
			if rng.IntN(8) == 0 {
				outcome = []Outcome{ConnectionReset, ConnectFailed}[rng.IntN(2)]
			}
			h.endLatest(client, outcome)
		}
		for _, e := range h.controller.endpoints.all {
			if e.health.ejected(h.controller.env) || h.now < e.warmUp.end {
				unavailable++
			}
		}
	}
	if unavailable > 20 {
		t.Errorf("an engine was ejected or warmed up in %d of 10000 cases, want at most 20", unavailable)
	}
}

// An engine that fails fast looks idle but must not attract requests.
func TestFastFailingEngineGetsFewRequests(t *testing.T) {
	h := newHarness(t, twoClassConfig())
	h.updateEndpoints(ListComplete, testEngines(4)...)
	failing, n := EngineID(1), 0
	for i := range 200 {
		h.now += 20 * ms
		client := h.arriveWith(Arrival{Class: "quick", TableGroup: int64(i), TimeLeft: 3 * time.Second})
		for client.isOpen() {
			if client.lastEngine() == failing {
				n++
				h.endLatest(client, EngineFailed)
			} else {
				h.now += 125 * ms
				h.endLatest(client, Served)
			}
		}
	}
	if n == 0 || n > 20 {
		t.Errorf("the failing engine got %d of 200 requests, want 1 to 20", n)
	}
}

// If all other engines are at their bound, an engine that fails at once has headroom. It must not get the queued
// requests.
func TestEjectedEngineIsBackedOffFromInOverload(t *testing.T) {
	h := newHarness(t, twoClassConfig())
	h.updateEndpoints(ListComplete, testEngines(3)...)
	h.controller.env.now = h.now
	failing := h.controller.endpoints.byID[1]
	for _, e := range h.controller.endpoints.all[1:] {
		e.usage.threads, e.usage.preferredThreads = 100, 100
	}
	for range 3 {
		h.controller.outliers.attributeFailure(failing, failureGain)
	}
	client := h.arrive("big", "")
	if len(client.engines) != 0 {
		t.Fatal("request started on an engine that just failed three times")
	}
	h.advance(2*fullBackoff + 50*ms)
	if len(client.engines) != 1 {
		t.Error("the engine was not tried after the backoff")
	}
}

// If most engines fail, none is ejected, because the few others could not carry all traffic.
func TestEjectionIsLimited(t *testing.T) {
	for _, test := range []struct {
		failing int
		ejected bool
	}{{1, true}, {2, true}, {3, false}, {4, false}} {
		h := newHarness(t, twoClassConfig())
		h.updateEndpoints(ListComplete, testEngines(4)...)
		c := h.controller
		c.env.now = h.now
		for _, e := range c.endpoints.all[:test.failing] {
			c.outliers.attributeFailure(e, failureGain)
			e.health.failureShare, e.health.failureShareAt = 1, h.now-600*ms
			c.outliers.tracked = append(c.outliers.tracked, e)
			e.running = append(e.running, &attempt{})
		}
		req := &request{class: c.classes.all[0], estimate: 1, deadline: h.now + time.Second}
		if got := !c.capacity.hasHeadroom(c.endpoints.all[0], req, c.selector.shareFactor()); got != test.ejected {
			t.Errorf("%d of 4 engines fail: ejected: %v, want %v", test.failing, got, test.ejected)
		}
	}
}

// Failing engines count as avoided until so many fail that all engines are used again.
func TestAvoidedEnginesFollowEjectionLimit(t *testing.T) {
	h := newHarness(t, twoClassConfig())
	h.updateEndpoints(ListComplete, testEngines(4)...)
	for i, want := range []int{1, 2, 0, 0} {
		h.controller.env.now = h.now
		h.controller.outliers.attributeFailure(h.controller.endpoints.all[i], 1)
		if got := h.controller.AvoidedEngines(h.now); got != want {
			t.Errorf("%d engines fail: %d engines avoided, want %d", i+1, got, want)
		}
	}
}

// An attempt on a down engine restarts the decay of its failure share, and the engine counts as ejected.
func TestAttemptOnDownEngineRenewsFailure(t *testing.T) {
	h := newHarness(t, twoClassConfig())
	h.updateEndpoints(ListComplete, testEngines(1)...)
	c := h.controller
	c.env.now = h.now
	e := c.endpoints.listed[0]
	for range maxConnectionFailures + 1 {
		c.outliers.attributeFailure(e, failureGain)
		e.health.connectionFailures++
	}
	h.now += evidenceDecayTime
	c.env.now = h.now
	if got := c.outliers.ejectedCount(); got != 0 || e.health.ejected(c.env) {
		t.Fatalf("%v engines ejected after the evidence has decayed, want 0", got)
	}
	if h.arrive("quick", ""); len(h.starts) != 1 {
		t.Fatal("the engine was not tried")
	}
	if got, want := c.outliers.ejectedCount(), c.recountEjected(); got != want || want != 1 {
		t.Errorf("%v engines counted as ejected and %v recounted, want 1", got, want)
	}
}

// zoneFailureHarness returns a router of a large fleet after failed connections to all engines of zone z0.
func zoneFailureHarness(t *testing.T) (h *harness, list []Endpoint) {
	t.Helper()
	config, list := largeFleetConfig(300, 8, 0)
	h = newHarness(t, config)
	h.updateEndpoints(ListComplete, list...)
	for range 12 {
		for _, e := range h.controller.endpoints.listed {
			if e.Zone == "z0" {
				h.controller.fleet.recordOutcome(&attempt{engine: e, request: &request{}}, ConnectFailed)
			}
		}
	}
	return h, list
}

// A router of a large fleet backs off from an engine or a zone that does not answer. It does not back off if all
// listed zones are backed off from, or after the cordon of the engine has ended. Zones without listed engines do not
// count.
func TestZoneBackoffInLargeFleet(t *testing.T) {
	h, list := zoneFailureHarness(t)
	c := h.controller
	if !c.outliers.backedOff(c.endpoints.byID[1]) || c.outliers.backedOff(c.endpoints.byID[2]) {
		t.Fatal("zone z0 is not backed off from, or z1 is")
	}
	if c.endpoints.byID[7].health.backoff.RecordSuccess(); !c.outliers.backedOff(c.endpoints.byID[7]) {
		t.Error("an engine of a zone that is backed off from is used")
	}
	h.updateEndpoints(ListComplete, list[0], list[2], list[4]) // no engine of z1
	c.endpoints.byID[3].health.backoff.RecordSuccess()
	if c.outliers.backedOff(c.endpoints.byID[3]) {
		t.Error("an engine is backed off from although the backoff covers all listed zones")
	}
	h, _ = zoneFailureHarness(t)
	h.handle(Cordon{Engine: 1})
	h.handle(Uncordon{Engine: 1})
	if h.controller.endpoints.byID[1].health.backoff.Active(milliseconds(h.now)) {
		t.Error("an engine is backed off from after its cordon has ended")
	}
}
