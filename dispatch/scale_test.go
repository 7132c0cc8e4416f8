package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

func largeFleetConfig(gateways, n, instance int) (Config, []Endpoint) {
	cfg := twoClassConfig()
	cfg.Routers, cfg.RouterIndex, cfg.Seed = gateways, instance, uint64(instance)
	return cfg, testEngines(n)
}

// Gateways of a large fleet use a few engines each; every engine is used by as many gateways, give or take a few.
func TestEnginesAreDealtOutEvenly(t *testing.T) {
	for _, k := range []struct{ gateways, engines, most int }{{250, 60, 3}, {80, 18, 3}, {4, 8, 8}, {1, 10, 10}} {
		users := map[EngineID]int{}
		for i := range k.gateways {
			cfg, list := largeFleetConfig(k.gateways, k.engines, i)
			w := newHarness(t, cfg)
			w.updateEndpoints(ListComplete, list...)
			near := w.controller.selector.engines()
			if len(near) != k.most {
				t.Fatalf("%d gateways, %d engines: %d nearby, want %d", k.gateways, k.engines, len(near), k.most)
			}
			for _, e := range near {
				users[e.ID]++
			}
		}
		even := k.gateways * k.most / k.engines
		for id := range k.engines {
			if n := users[EngineID(id+1)]; n < even-4 || n > even+5 {
				t.Errorf("%d gateways: engine %d has %d users, want about %d", k.gateways, id+1, n, even)
			}
		}
	}
}

// When those nearby can take nothing, the rest of the fleet is used.
func TestRestOfTheFleetWhenNearbyIsLost(t *testing.T) {
	cfg, list := largeFleetConfig(250, 60, 3)
	w := newHarness(t, cfg)
	w.updateEndpoints(ListComplete, list...)
	w.controller.env.now = w.now
	near := map[EngineID]bool{}
	for _, e := range w.controller.selector.engines() {
		near[e.ID] = true
		e.health.fullAt = w.now
	}
	tr := w.arrive("quick", "")
	for range 20 {
		w.advance(10 * ms)
	}
	if len(tr.engines) == 0 || near[tr.engines[0]] {
		t.Errorf("sent to %v, want an engine that is not nearby", tr.engines)
	}
}

// A heavy query rounds up on each engine only where an even part of an engine is half of one.
func TestHeavyRoundsUpOnceInALargeFleet(t *testing.T) {
	for _, k := range []struct{ gateways, want int }{{4, 4}, {250, 1}} {
		cfg, list := largeFleetConfig(k.gateways, 4, 0)
		w := newHarness(t, cfg)
		w.updateEndpoints(ListComplete, list...)
		for range 8 {
			w.arrive("big", "")
		}
		if len(w.starts) != k.want {
			t.Errorf("%d gateways: %d heavy queries run, want %d", k.gateways, len(w.starts), k.want)
		}
	}
}

// Events that come in every tick must not push on a wake that is already due.
func TestWakeIsNotPushedOn(t *testing.T) {
	cfg := twoClassConfig()
	c, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	now, due := time.Hour, time.Duration(0)
	answered := false
	handle := func(ev Event) {
		for _, a := range c.Handle(now, ev, nil) {
			switch a := a.(type) {
			case SetTimer:
				due = now + a.After
			case FailRequest, Reject:
				answered = true
			}
		}
	}
	handle(EndpointList{Mode: ListComplete, Endpoints: testEngines(1)})
	handle(Arrival{Request: "x", Class: "quick", TimeLeft: time.Second})
	for range 220 { // its attempt is silent; another event comes in every tick
		now += 5 * ms
		if due > 0 && now+100*time.Microsecond >= due { // hosts round: a timer may come a little early
			due = 0
			handle(TimerFired{Tag: housekeepingTag})
		}
		handle(ClientGone{Request: "unknown"})
	}
	if !answered {
		t.Error("no answer at the client's end")
	}
}

// Gone engines with nothing out are forgotten.
func TestGoneEnginesAreForgotten(t *testing.T) {
	w := newHarness(t, twoClassConfig())
	for i := range 200 {
		e := testEngines(1)[0]
		e.ID = EngineID(i + 1)
		w.updateEndpoints(ListComplete, e)
		w.now += 100 * ms
		w.endLatest(w.arrive("quick", ""), Served)
	}
	if len(w.controller.endpoints.all) > 2 || len(w.controller.endpoints.byID) > 2 {
		t.Errorf("%d engines remembered, %d by id", len(w.controller.endpoints.all), len(w.controller.endpoints.byID))
	}
}

// Many uneven gateways lose all warm engines to a drain and have only cold ones: together they stay under the
// rule's figure, and the engines get work.
func TestManyGatewaysKeepColdEnginesUp(t *testing.T) {
	const gateways, warm, cold = 40, 50, 6
	for seed := range uint64(3) {
		rng := rand.New(rand.NewPCG(seed, 3))
		spent := map[EngineID]float64{}
		windows := map[string]float64{}
		now, born := 30*time.Second, 40*time.Second
		for i := range gateways {
			cfg, list := largeFleetConfig(gateways, warm, i)
			cfg.WarmUpInitialShare, cfg.WarmUpDuration, cfg.WarmUpOverloadFactor, cfg.WarmUpOverloadWindow = 0.4, 12*time.Second, 2.5, 2*time.Second
			cfg.Seed = seed*1000 + uint64(i)
			c, err := New(cfg)
			if err != nil {
				t.Fatal(err)
			}
			c.Handle(now, EndpointList{Mode: ListComplete, Endpoints: list}, nil)
			rate := 1 + 4*rng.Float64()*rng.Float64()*2 // queries a second, uneven
			n := 0
			for at := now; at < born+10*time.Second; at += seconds(rng.ExpFloat64() / rate) {
				if n > 0 && at > born && len(c.endpoints.listed) == warm {
					fresh := testEngines(warm + cold)[warm:]
					for j := range fresh {
						fresh[j].StartedAt = born
					}
					for _, e := range list {
						e.State = Draining
						fresh = append(fresh, e)
					}
					c.Handle(at, EndpointList{Mode: ListIncremental, Endpoints: fresh}, nil)
					rate *= 5 // a burst
				}
				n++
				id := RequestID(fmt.Sprint(i, "-", n))
				c.Handle(at, TimerFired{Tag: housekeepingTag}, nil) // those held too long are given up; else they block their queue
				for _, a := range c.Handle(at, Arrival{Request: id, Class: "quick", TimeLeft: time.Second}, nil) {
					if s, ok := a.(StartAttempt); ok {
						if s.Engine > warm {
							spent[s.Engine] += 0.125
							windows[fmt.Sprint(s.Engine, at/(2*time.Second))] += 0.125
						}
						c.Handle(at+125*ms, AttemptEnd{Request: id, Outcome: Served, Last: true}, nil)
					}
				}
			}
		}
		for key, work := range windows {
			if limit := 0.4 * 8 * 0.85 * 2.5 * 2; work > limit {
				t.Errorf("seed %d, window %s: %.1f s of work, limit %.1f", seed, key, work, limit)
			}
		}
		if len(spent) < cold {
			t.Errorf("seed %d: only %d of %d cold engines got work", seed, len(spent), cold)
		}
	}
}

// What an event allocates does not grow with the fleet.
func TestAllocationsDoNotGrowWithTheFleet(t *testing.T) {
	allocs := func(n int) float64 {
		cfg, list := largeFleetConfig(1, n, 0)
		c, err := New(cfg)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Hour
		c.Handle(now, EndpointList{Mode: ListComplete, Endpoints: list}, nil)
		buf := make([]Action, 0, 16)
		return testing.AllocsPerRun(500, func() {
			now += 10 * ms
			c.Handle(now, Arrival{Request: "a", Class: "quick", TimeLeft: time.Second}, buf[:0])
			c.Handle(now, AttemptEnd{Request: "a", Outcome: Served, Last: true}, buf[:0])
			c.Handle(now, TimerFired{Tag: housekeepingTag}, buf[:0])
		})
	}
	if few, many := allocs(8), allocs(80); many > few+1 {
		t.Errorf("%v allocations an event cycle with 8 engines, %v with 80", few, many)
	}
}

// Cold engines that are small against a query stay under the rule's figure also where all gateways of a large fleet saved
// their rations and sentWork them at once: what was due in two windows, and one query more, may meet in one.
func TestRationsSpentAtOnce(t *testing.T) {
	const gateways, window = 300, 1500 * ms
	most, sent := 0.0, 0
	for burst := range 40 {
		born := 30 * time.Second
		at := born + time.Second + time.Duration(burst)*100*ms
		var sends []time.Duration
		for i := range gateways {
			cfg, _ := largeFleetConfig(gateways, 1, i)
			cfg.WarmUpInitialShare, cfg.WarmUpDuration, cfg.WarmUpOverloadFactor, cfg.WarmUpOverloadWindow = 0.4, 12*time.Second, 2, window
			cfg.Classes[1].LatencyObjective, cfg.MaxAttempts = 4*time.Second, 0
			c, err := New(cfg)
			if err != nil {
				t.Fatal(err)
			}
			cold := testEngines(1)
			cold[0].StartedAt = born
			c.Handle(born+time.Second, EndpointList{Mode: ListComplete, Endpoints: cold}, nil)
			for now := at; now < at+window; now += 50 * ms {
				id := RequestID(fmt.Sprint(now))
				for _, a := range c.Handle(now, Arrival{Request: id, Class: "big", TimeLeft: 15 * time.Second}, nil) {
					if s, ok := a.(StartAttempt); ok {
						sends = append(sends, now)
						c.Handle(now, AttemptEnd{Request: s.Request, Outcome: EngineFull}, nil)
					}
				}
				c.Handle(now, ClientGone{Request: id}, nil)
			}
		}
		warmth := 0.4 + 0.6*(at-born).Seconds()/12
		most = max(most, 4*float64(len(sends))/(2*8*0.85*warmth*window.Seconds()))
		sent += len(sends)
	}
	if most > 1 || sent == 0 {
		t.Errorf("%.2f of what a cold engine may be sent in a window; %d queries in all", most, sent)
	}
}

// A gateway of a large fleet keeps off what gave no answer, alone or as a zone; not where all that is listed rests, not after a
// ban has ended, and an engine that is no longer listed has no say.
func TestRestsInALargeFleet(t *testing.T) {
	cfg, list := largeFleetConfig(300, 8, 0)
	strikes := func() *harness {
		w := newHarness(t, cfg)
		w.updateEndpoints(ListComplete, list...)
		for range 12 {
			for _, e := range w.controller.endpoints.listed {
				if e.Zone == "z0" {
					w.controller.fleet.recordOutcome(&attempt{engine: e, request: &request{}}, ConnectFailed)
				}
			}
		}
		return w
	}
	w := strikes()
	if e, other := w.controller.endpoints.byID[1], w.controller.endpoints.byID[2]; !w.controller.outliers.backedOff(e) || w.controller.outliers.backedOff(other) {
		t.Fatal("zone z0 does not rest, or z1 does")
	}
	if w.controller.endpoints.byID[7].health.backoff.RecordSuccess(); !w.controller.outliers.backedOff(w.controller.endpoints.byID[7]) {
		t.Error("an engine of a zone that rests is used")
	}
	gone := list[0] // the last of z1 is gone, and z0 rests
	left := []Endpoint{gone, list[2], list[4]}
	w.updateEndpoints(ListComplete, left...)
	w.controller.endpoints.byID[3].health.backoff.RecordSuccess()
	if w.controller.outliers.backedOff(w.controller.endpoints.byID[3]) {
		t.Error("all zones that are listed rest, and the router keeps off all")
	}
	w = strikes()
	w.handle(Cordon{Engine: 1})
	w.handle(Uncordon{Engine: 1})
	if w.controller.endpoints.byID[1].health.backoff.Active(milliseconds(w.now)) {
		t.Error("an engine rests after its ban has ended")
	}
}

// Successors take over what their predecessors hold to be cold with the ration begun when that began, each at its own point: they
// do not all have one at once, whenever they come.
func TestTakeoverBeginsNoBurst(t *testing.T) {
	most := 0
	for k := range 40 {
		spent := 0
		for i := range 40 {
			cfg, list := largeFleetConfig(300, 8, 7*i)
			cfg.WarmUpDuration, cfg.WarmUpInitialShare, cfg.WarmUpOverloadFactor, cfg.WarmUpOverloadWindow = 12*time.Second, 0.36, 2, 1500*ms
			w := newHarness(t, cfg)
			w.now += time.Duration(k) * 10 * time.Second
			w.updateEndpoints(ListComplete, list...)
			w.handle(RestoreSnapshot{Snapshot: Snapshot{Engines: []EngineSnapshot{{ID: 1, WarmUpStart: w.now, WarmUpEnd: w.now + 12*time.Second, Slowness: 1}}}})
			for range 100 {
				w.now += 100 * ms
				w.arrive("big", "")
			}
			if slices.ContainsFunc(w.starts, func(s StartAttempt) bool { return s.Engine == 1 }) {
				spent++
			}
		}
		most = max(most, spent)
	}
	if most == 0 || most > 6 {
		t.Errorf("%d of 40 successors sent to a cold engine within ten seconds, want some and not all", most)
	}
}

// The bound of a large fleet counts out the engines of zones that are lost, not those beyond a link that may be cut: of few
// zones, or of most. What a gateway saw of an engine alone does not undo that.
func TestBoundWithoutLostZones(t *testing.T) {
	for _, k := range []struct{ zones, silent, want int }{{5, 0, 60}, {5, 1, 60}, {5, 2, 36}, {5, 3, 60}, {5, 4, 60}, {2, 1, 30}, {2, 2, 60}, {1, 1, 60}} {
		cfg, list := largeFleetConfig(250, 60, 3)
		for i := range list {
			list[i].Zone = fmt.Sprint("z", i%k.zones)
		}
		w := newHarness(t, cfg)
		w.updateEndpoints(ListComplete, list...)
		c := w.controller
		c.env.now = w.now
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
