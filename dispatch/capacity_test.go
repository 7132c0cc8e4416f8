package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// However much comes in, the bounds of all routers sum to what the fleet can do. It guards against a share by
// own traffic over the tenants' quotas: in a burst each router then took up to all of the fleet, and the jam
// outlived the burst.
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
	if h.controller.quotas.trafficShare() <= 0.5 {
		t.Errorf("own traffic %v of the quotas: the load of this test is too small", h.controller.quotas.trafficShare())
	}
}

// The bound on running threads goes down in a jam, and on one engine that is slower than the others: where another
// program has most of the cores, the usual bound would have it thrash.
func TestThreadBoundShrinksUnderCongestionAndOnSlowEngine(t *testing.T) {
	h := newHarness(t, twoClassConfig())
	h.updateEndpoints(ListComplete, testEngines(4)...)
	h.controller.env.now = h.now
	quick, big := h.controller.classes.preferred, h.controller.classes.all[1]
	for _, k := range []struct{ times, want float64 }{
		{1, threadsPerCore},
		{congestionFrom, threadsPerCore},
		{(congestionFrom + congestionFull) / 2, (threadsPerCore + congestedThreadsPerCore) / 2},
		{congestionFull, congestedThreadsPerCore},
		{50, congestedThreadsPerCore},
	} {
		quick.estimate.best, quick.estimate.bounded, quick.estimate.observedAt = 1, k.times, h.now
		if got := h.controller.capacity.threadBound(); math.Abs(got-k.want) > 1e-9 {
			t.Errorf("at %v times the least: %v threads a core, want %v", k.times, got, k.want)
		}
	}
	quick.estimate.bounded = 1
	h.controller.selector.engines()
	e, r := h.controller.endpoints.all[0], &request{class: big, estimate: 1, deadline: h.now + time.Second}
	e.usage.threads, h.controller.capacity.threads = threadsPerCore*8/2, threadsPerCore*8/2 // half of the usual bound
	for slow, want := range map[float64]bool{1: true, 1.5: true, 3: false, 100: false} {
		e.health.slowness, e.health.slownessAt = slow, h.now
		if got := h.controller.capacity.hasHeadroom(e, r, h.controller.selector.spread()); got != want {
			t.Errorf("slow by %v: room %v", slow, got)
		}
	}
}

// A few preferred queries that stood still for a load are no jam: each counts a bounded time. It guards against a bound
// that goes down, and holds reports back until they expire, while the engines have room.
func TestBlockedQueriesAreNoCongestion(t *testing.T) {
	for _, k := range []struct {
		every int // one in so many queries takes a hundred times as long as the others, which take slow times the least
		slow  time.Duration
		jam   bool
	}{{25, 1, false}, {1000, 3, true}} {
		h := newHarness(t, twoClassConfig())
		h.updateEndpoints(ListComplete, testEngines(4)...)
		play := func(n int, slow time.Duration, every int) {
			for i := range n {
				client := h.arrive("quick", "")
				took := 10 * ms * slow
				if every > 0 && i%every == 0 {
					took = 1000 * ms
				}
				h.now += took
				for hop := range client.engines {
					h.endAttempt(client, hop, Served, nil)
				}
			}
		}
		play(100, 1, 0)
		play(200, k.slow, k.every)
		if got := h.controller.capacity.threadBound() < threadsPerCore-0.1; got != k.jam {
			t.Errorf("one in %d long, others %d times the least: bound %v", k.every, k.slow, h.controller.capacity.threadBound())
		}
	}
}

// A heavy query rounds up on each engine only where an even part of an engine is half of one.
func TestWideQueryRoundsUpOnceInLargeFleet(t *testing.T) {
	for _, k := range []struct{ routers, want int }{{4, 4}, {250, 1}} {
		config, list := largeFleetConfig(k.routers, 4, 0)
		h := newHarness(t, config)
		h.updateEndpoints(ListComplete, list...)
		for range 8 {
			h.arrive("big", "")
		}
		if len(h.starts) != k.want {
			t.Errorf("%d routers: %d heavy queries run, want %d", k.routers, len(h.starts), k.want)
		}
	}
}

// The bound of a large fleet counts out the engines of zones that are lost, not those beyond a link that may be cut: of few
// zones, or of most. What a router saw of an engine alone does not undo that.
func TestUsableCapacityWithoutLostZones(t *testing.T) {
	for _, k := range []struct{ zones, silent, want int }{{5, 0, 60}, {5, 1, 60}, {5, 2, 36}, {5, 3, 60}, {5, 4, 60}, {2, 1, 30}, {2, 2, 60}, {1, 1, 60}} {
		config, list := largeFleetConfig(250, 60, 3)
		for i := range list {
			list[i].Zone = fmt.Sprint("z", i%k.zones)
		}
		h := newHarness(t, config)
		h.updateEndpoints(ListComplete, list...)
		c := h.controller
		c.env.now = h.now
		if !c.capacity.largeFleet() {
			t.Fatal("the fleet is not large")
		}
		all := c.capacity.usable().cores
		r := &request{class: c.classes.preferred, deadline: time.Hour * 1000}
		for i, e := range c.endpoints.listed {
			if i%k.zones < k.silent {
				c.fleet.recordOutcome(&attempt{request: r, engine: e}, ConnectFailed)
			}
		}
		if got := c.capacity.usable().cores; got != all*float64(k.want)/60 {
			t.Errorf("%d of %d zones silent: %g of %g cores counted, want those of %d engines", k.silent, k.zones, got, all, k.want)
		}
		for _, e := range c.endpoints.listed {
			c.fleet.recordOutcome(&attempt{request: r, engine: e}, Served)
		}
		if got := c.capacity.usable().cores; got != all {
			t.Errorf("%d of %d zones silent, then heard: %g of %g cores counted", k.silent, k.zones, got, all)
		}
	}
}
