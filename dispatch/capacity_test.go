package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// However much traffic there is, the bounds of all routers add up to what the fleet can do. It guards against a share
// by own traffic over the tenants' quotas: in a burst each router then used up to all of the fleet, and the
// congestion outlived the burst.
func TestThreadBoundDoesNotGrowWithTraffic(t *testing.T) {
	config := twoClassConfig()
	config.Routers, config.Tenants = 2, []Tenant{{Name: "a", Quota: 5}}
	h := newHarness(t, config)
	h.updateEndpoints(ListComplete, testEngines(3)...)
	calm := h.controller.capacity.threadBound()
	for range 300 {
		h.arriveWith(Arrival{Class: "quick", Tenant: "a", TimeLeft: time.Second})
		h.advance(10 * ms)
	}
	if got := h.controller.capacity.threadBound(); got != calm || got != threadsPerCore/2 {
		t.Errorf("bound %v a core under load, %v before, want %v", got, calm, threadsPerCore/2)
	}
	if share := h.controller.quotas.trafficShare(); share <= 0.5 {
		t.Errorf("own traffic is %v of the quotas: the load of this test is too small", share)
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
			t.Errorf("at %v times the best: %v threads a core, want %v", test.ratio, got, test.want)
		}
	}
}

// The thread bound shrinks on an engine that is slower than the others: where another program has most of the cores,
// the usual bound would overload it.
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
			t.Errorf("slower by %v: headroom %v", slowness, got)
		}
	}
}

// serveQuick has requests of the preferred class served, each after a while; one in interval takes a second.
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

// A few preferred queries that a load blocked are no congestion: each counts a bounded time. It guards against a bound
// that shrinks, and holds reports back until they expire, while the engines have capacity.
func TestBlockedQueriesDoNotCountAsCongestion(t *testing.T) {
	for _, test := range []struct {
		interval    int // one in so many queries takes a hundred times as long as the others
		serviceTime time.Duration
		congested   bool
	}{{25, 10 * ms, false}, {1000, 30 * ms, true}} {
		h := newHarness(t, twoClassConfig())
		h.updateEndpoints(ListComplete, testEngines(4)...)
		h.serveQuick(100, 10*ms, 0)
		h.serveQuick(200, test.serviceTime, test.interval)
		bound := h.controller.capacity.threadBound()
		if got := bound < threadsPerCore-0.1; got != test.congested {
			t.Errorf("one in %d blocked, others served in %v: bound %v", test.interval, test.serviceTime, bound)
		}
	}
}

// A wide query rounds up on each engine only where an even share of an engine is half of one.
func TestWideQueryShareRoundsUpByFleetSize(t *testing.T) {
	for _, test := range []struct{ routers, want int }{{4, 4}, {250, 1}} {
		config, list := largeFleetConfig(test.routers, 4, 0)
		h := newHarness(t, config)
		h.updateEndpoints(ListComplete, list...)
		for range 8 {
			h.arrive("big", "")
		}
		if len(h.starts) != test.want {
			t.Errorf("%d routers: %d wide queries run, want %d", test.routers, len(h.starts), test.want)
		}
	}
}

// The bound of a large fleet leaves out the engines of lost zones, but not those that may be cut off: where few zones
// are silent, or most of them. What a router observed of a single engine does not undo that.
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
			t.Errorf("%+v: %g of %g cores are usable", test, got, all)
		}
		for _, e := range c.endpoints.listed {
			c.fleet.recordOutcome(&attempt{request: req, engine: e}, Served)
		}
		if got := c.capacity.usable().cores; got != all {
			t.Errorf("%+v, then all answer: %g of %g cores are usable", test, got, all)
		}
	}
}
