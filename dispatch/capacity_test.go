package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// The thread bounds of all routers add up to the capacity of the fleet, whatever the traffic. This guards against a
// bound by the router's own traffic relative to the tenants' quotas: in a burst each router then used up to the whole
// fleet, and the congestion outlasted the burst.
func TestThreadBoundDoesNotGrowWithTraffic(t *testing.T) {
	config := twoClassConfig()
	config.Routers, config.Tenants = 2, []Tenant{{Name: "a", Quota: 5}}
	h := newHarness(t, config)
	h.updateEndpoints(ListComplete, testEngines(3)...)
	before := h.controller.capacity.threadBound()
	for range 300 {
		h.arriveWith(Arrival{Class: "quick", Tenant: "a", TimeLeft: time.Second})
		h.advance(10 * ms)
	}
	if got := h.controller.capacity.threadBound(); got != before || got != threadsPerCore/2 {
		t.Errorf("bound is %v threads per core under load and %v before, want %v", got, before, threadsPerCore/2)
	}
	if share := h.controller.quotas.trafficShare(); share <= 0.5 {
		t.Errorf("own traffic is %v of the quotas, want more than 0.5: the test sends too few requests", share)
	}
}

func TestThreadBoundShrinksUnderCongestion(t *testing.T) {
	h := newHarness(t, twoClassConfig())
	h.updateEndpoints(ListComplete, testEngines(4)...)
	h.controller.env.now = h.now
	estimate := &h.controller.classes.preferred.estimate
	for _, test := range []struct{ ratio, want float64 }{
		{1, threadsPerCore},
		{congestionFrom, threadsPerCore},
		{(congestionFrom + congestionFull) / 2, (threadsPerCore + congestedThreadsPerCore) / 2},
		{congestionFull, congestedThreadsPerCore},
		{50, congestedThreadsPerCore},
	} {
		estimate.best, estimate.bounded, estimate.observedAt = 1, test.ratio, h.now
		if got := h.controller.capacity.threadBound(); math.Abs(got-test.want) > 1e-9 {
			t.Errorf("service times of %v times the best: %v threads per core, want %v", test.ratio, got, test.want)
		}
	}
}

// The thread bound shrinks on an engine that is slower than the others. Where another program uses most of the cores,
// the usual bound would overload the engine.
func TestThreadBoundShrinksOnSlowEngine(t *testing.T) {
	h := newHarness(t, twoClassConfig())
	h.updateEndpoints(ListComplete, testEngines(4)...)
	c := h.controller
	c.env.now = h.now
	c.selector.engines()
	e := c.endpoints.all[0]
	req := &request{class: c.classes.all[1], estimate: 1, deadline: h.now + time.Second}
	e.usage.threads, c.capacity.threads = threadsPerCore*8/2, threadsPerCore*8/2 // half of the usual bound
	for slowness, want := range map[float64]bool{1: true, 1.5: true, 3: false, 100: false} {
		e.health.slowness, e.health.slownessAt = slowness, h.now
		if got := c.capacity.hasHeadroom(e, req, c.selector.shareFactor()); got != want {
			t.Errorf("slowness %v: has headroom: %v", slowness, got)
		}
	}
}

// serveQuick sends n requests of the preferred class and ends each as served after serviceTime. If interval is not 0,
// one in interval requests takes a second.
func (h *harness) serveQuick(n int, serviceTime time.Duration, interval int) {
	h.t.Helper()
	for i := range n {
		client := h.arrive("quick", "")
		if interval > 0 && i%interval == 0 {
			h.now += time.Second
		} else {
			h.now += serviceTime
		}
		for attempt := range client.engines {
			h.endAttempt(client, attempt, Served, nil)
		}
	}
}

// A few preferred queries that are blocked by a load do not count as congestion, since the time counted for each is
// bounded. This guards against a thread bound that shrinks and holds back reports until they expire, although the
// engines have capacity.
func TestBlockedQueriesDoNotCountAsCongestion(t *testing.T) {
	for _, test := range []struct {
		interval    int // one in this many queries takes a hundred times as long as the others
		serviceTime time.Duration
		congested   bool
	}{{25, 10 * ms, false}, {1000, 30 * ms, true}} {
		h := newHarness(t, twoClassConfig())
		h.updateEndpoints(ListComplete, testEngines(4)...)
		h.serveQuick(100, 10*ms, 0)
		h.serveQuick(200, test.serviceTime, test.interval)
		bound := h.controller.capacity.threadBound()
		if got := bound < threadsPerCore-0.1; got != test.congested {
			t.Errorf("one in %d queries blocked, others served in %v: bound is %v",
				test.interval, test.serviceTime, bound)
		}
	}
}

// An even share is rounded up to one wide query on each engine only if it is at least half of a query.
func TestWideQueryShareRoundsUpByFleetSize(t *testing.T) {
	for _, test := range []struct{ routers, want int }{{4, 4}, {250, 1}} {
		config, list := largeFleetConfig(test.routers, 4, 0)
		h := newHarness(t, config)
		h.updateEndpoints(ListComplete, list...)
		for range 8 {
			h.arrive("big", "")
		}
		if len(h.starts) != test.want {
			t.Errorf("%d routers: %d wide queries started, want %d", test.routers, len(h.starts), test.want)
		}
	}
}

// In a large fleet the usable capacity excludes the engines of lost zones, but not zones that may only be cut off:
// few zones are silent, or most of them. An outcome of a single engine does not change that. Once all engines answer,
// the whole capacity is usable again.
func TestUsableCapacityWithoutLostZones(t *testing.T) {
	for _, test := range []struct{ zones, silent, usableEngines int }{
		{5, 0, 60},
		{5, 1, 60},
		{5, 2, 36},
		{5, 3, 60},
		{5, 4, 60},
		{2, 1, 30},
		{2, 2, 60},
		{1, 1, 60},
	} {
		config, list := largeFleetConfig(250, 60, 3)
		for i := range list {
			list[i].Zone = fmt.Sprint("z", i%test.zones)
		}
		h := newHarness(t, config)
		h.updateEndpoints(ListComplete, list...)
		c := h.controller
		c.env.now = h.now
		if !c.capacity.largeFleet() {
			t.Fatal("the fleet is not large")
		}
		all := c.capacity.usable().cores
		req := &request{class: c.classes.preferred, deadline: time.Hour * 1000}
		for i, e := range c.endpoints.listed {
			if i%test.zones < test.silent {
				c.fleet.recordOutcome(&attempt{request: req, engine: e}, ConnectFailed)
			}
		}
		if got := c.capacity.usable().cores; got != all*float64(test.usableEngines)/60 {
			t.Errorf("%+v: %g of %g cores usable", test, got, all)
		}
		for _, e := range c.endpoints.listed {
			c.fleet.recordOutcome(&attempt{request: req, engine: e}, Served)
		}
		if got := c.capacity.usable().cores; got != all {
			t.Errorf("%+v, after all engines answered: %g of %g cores usable", test, got, all)
		}
	}
}
