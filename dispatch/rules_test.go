package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// halfBusyReport is the report that random outcomes carry.
var halfBusyReport = &LoadReport{InFlight: -1, Waiting: -1, Busy: 0.5, Disk: 0.5, Memory: -1}

// randomConfig varies every setting that a rule depends on.
func randomConfig(rng *rand.Rand) Config {
	cfg := twoClassConfig()
	cfg.Seed, cfg.Routers = rng.Uint64(), 1+rng.IntN(4)
	cfg.MaxAttempts = rng.IntN(5)
	cfg.CancelAllowed, cfg.HedgingAllowed, cfg.PolledDiscovery = rng.IntN(2) == 0, rng.IntN(3) == 0, rng.IntN(2) == 0
	cfg.DiscoveryTimeout, cfg.KeyCooldown = 4*time.Second, time.Duration(rng.IntN(500))*ms
	cfg.WarmUpInitialShare, cfg.WarmUpDuration, cfg.WarmUpOverloadFactor, cfg.WarmUpOverloadWindow = 0.4, 5*time.Second, 2, time.Second
	if rng.IntN(2) == 0 {
		cfg.RetryBudget = RetryBudget{Window: 2 * time.Second, Free: float64(rng.IntN(4)), PerRequest: 0.2 * rng.Float64()}
	}
	for i := range cfg.Classes {
		k := &cfg.Classes[i]
		k.Semantics, k.IdempotencyScope = Semantics(rng.IntN(3)), IdempotencyScope(rng.IntN(3))
		k.IdempotencyWindow, k.OrderByKey = time.Duration(200+rng.IntN(2000))*ms, rng.IntN(2) == 0
		k.LateWeightShare = float64(rng.IntN(2)) / 2
		if rng.IntN(3) == 0 {
			k.Zones = []string{"z0"}
		}
		k.LocksTableGroup, k.BlockedByLoad = rng.IntN(3) == 0, rng.IntN(3) == 0
	}
	return cfg
}

// TestRulesHold feeds random legal events; world checks the rules after every action.
func TestRulesHold(t *testing.T) {
	for seed := range uint64(150) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 7))
			w := newHarness(t, randomConfig(rng))
			w.updateEndpoints(ListCached, testEngines(2+rng.IntN(4))...)
			for range 600 {
				w.randomStep(rng)
			}
			for _, tr := range w.clients { // whatever is out now ends when its client does
				for i, o := range tr.outcomes {
					if o == outstanding {
						w.advance(10 * ms)
						w.endAttempt(tr, i, TimedOut, halfBusyReport)
					}
				}
			}
			w.advance(16 * time.Second)
			for _, tr := range w.clients {
				for i, o := range tr.outcomes {
					if o == outstanding {
						w.endAttempt(tr, i, ConnectionReset, halfBusyReport)
					}
				}
			}
			w.advance(16 * time.Second)
			for _, tr := range w.clients {
				if tr.answers != 1 && !tr.gone {
					t.Fatalf("%s has %d answers", tr.id, tr.answers)
				}
			}
			if len(w.starts) == 0 {
				t.Fatal("nothing was ever sent")
			}
		})
	}
}

func (w *harness) randomStep(rng *rand.Rand) {
	w.t.Helper()
	w.advance(10 * ms * time.Duration(rng.IntN(3)))
	switch n := rng.IntN(20); {
	case n < 9:
		k := w.config.Classes[rng.IntN(len(w.config.Classes))]
		key := ""
		if k.OrderByKey {
			key = fmt.Sprint("k", rng.IntN(3))
		}
		w.arriveWith(Arrival{
			Class: k.Name, Key: key, TableGroup: int64(rng.IntN(4)), NeedMB: float64(rng.IntN(3) * 300),
			Estimate: time.Duration(rng.IntN(3)*200) * ms, TimeLeft: time.Duration(rng.Float64() * float64(k.Deadline)),
		})
	case n < 17:
		w.randomOutcome(rng)
	case n == 17:
		tr := w.clients[max(len(w.clients)-1-rng.IntN(5), 0):]
		if len(tr) > 0 && tr[0].answers == 0 {
			tr[0].gone = true
			w.handle(ClientGone{Request: tr[0].id})
		}
	case n == 18:
		e := testEngines(6)[rng.IntN(6)]
		e.State = EndpointState(rng.IntN(3))
		if rng.IntN(2) == 0 {
			e.StartedAt = w.now
		}
		w.updateEndpoints(ListIncremental, e)
	default:
		if rng.IntN(3) == 0 {
			w.updateEndpoints(ListFailed)
			return
		}
		w.updateEndpoints(ListComplete, testEngines(1+rng.IntN(6))...)
	}
}

func (w *harness) randomOutcome(rng *rand.Rand) {
	w.t.Helper()
	for i := len(w.clients) - 1; i >= 0; i-- {
		tr := w.clients[i]
		for hop, o := range tr.outcomes {
			if o != outstanding || rng.IntN(3) == 0 {
				continue
			}
			if rng.IntN(3) == 0 {
				w.handle(AttemptProgress{Request: tr.id, Attempt: hop, Kind: ProgressKind(rng.IntN(4)), Amount: rng.Float64() * 2})
			}
			w.endAttempt(tr, hop, Outcome(rng.IntN(int(NotSent))), halfBusyReport)
			return
		}
	}
}

// A crash while the list is silent: own outcomes tell of it, and the engine is cold when it answers again.
func TestCrashDuringListOutage(t *testing.T) {
	cfg := twoClassConfig()
	cfg.WarmUpInitialShare, cfg.WarmUpDuration, cfg.WarmUpOverloadFactor, cfg.WarmUpOverloadWindow = 0.4, 10*time.Second, 2, time.Second
	w := newHarness(t, cfg)
	w.updateEndpoints(ListComplete, testEngines(3)...)
	tr := w.arrive("quick", "")
	dead := tr.engines[0]
	w.endLatest(tr, ConnectionReset)
	if len(tr.engines) != 2 || tr.engines[1] == dead {
		t.Fatalf("not run elsewhere: %v", tr.engines)
	}
	w.endLatest(tr, Served)
	e := w.controller.endpoints.byID[dead]
	// Six at a time, so that the others have work and it is looked at.
	six := func(down bool) (tries int) {
		w.advance(20 * ms)
		var open []*clientRequest
		for range 6 {
			open = append(open, w.arriveWith(Arrival{Class: "quick", TableGroup: int64(w.lastID), TimeLeft: 3 * time.Second}))
		}
		for len(open) > 0 {
			tr := open[0]
			open = open[1:]
			if down && tr.engines[len(tr.engines)-1] == dead {
				tries++
				w.endLatest(tr, ConnectFailed)
				open = append(open, tr)
			} else {
				w.endLatest(tr, Served)
			}
		}
		return tries
	}
	tries := 0
	for range 400 {
		tries += six(true)
	}
	if most := maxConnectionFailures + int(400*20*ms/(2*fullBackoff)) + 1; e.health.connectionFailures < maxConnectionFailures || tries > most {
		t.Fatalf("%d attempts were lost in a row; it was tried %d times, at most %d are wanted", e.health.connectionFailures, tries, most)
	}
	for range 400 {
		six(false)
		if e.health.connectionFailures == 0 {
			break
		}
	}
	if e.health.connectionFailures > 0 || w.now >= e.warmUp.end {
		t.Error("it came back and is not treated as cold")
	}
}

// A network that resets one attempt in eight, whatever the engine, ejects none and leaves all warm: it guards
// against taking chance for a sick fleet, which would then refuse work.
func TestResetsByChanceEjectNobody(t *testing.T) {
	cfg := twoClassConfig()
	cfg.MaxAttempts = 5
	cfg.WarmUpInitialShare, cfg.WarmUpDuration, cfg.WarmUpOverloadFactor, cfg.WarmUpOverloadWindow = 0.4, 10*time.Second, 2, time.Second
	w := newHarness(t, cfg)
	w.updateEndpoints(ListComplete, testEngines(5)...)
	rng := rand.New(rand.NewPCG(1, 2))
	shut := 0
	for range 2000 {
		w.now += 10 * ms
		tr := w.arriveWith(Arrival{Class: "quick", TableGroup: int64(w.lastID), TimeLeft: 3 * time.Second})
		for tr.answers == 0 && tr.outcomes[len(tr.outcomes)-1] == outstanding {
			o := Served
			if rng.IntN(8) == 0 {
				o = []Outcome{ConnectionReset, ConnectFailed}[rng.IntN(2)]
			}
			w.endLatest(tr, o)
		}
		for _, e := range w.controller.endpoints.all {
			if e.health.currentFailureShare(w.controller.env) >= ejectionThreshold || w.now < e.warmUp.end {
				shut++
			}
		}
	}
	if shut > 20 {
		t.Errorf("an engine was ejected or held to be cold at %d of 10000 looks", shut)
	}
}

// Two loads on one table group must not share an engine while another is free.
func TestLoadsOnOneGroupSpread(t *testing.T) {
	cfg := twoClassConfig()
	cfg.Classes[1].LocksTableGroup = true
	for seed := range uint64(20) {
		cfg.Seed = seed
		w := newHarness(t, cfg)
		w.updateEndpoints(ListComplete, testEngines(4)...)
		used := map[EngineID]bool{}
		for range 4 {
			tr := w.arriveWith(Arrival{Class: "big", TableGroup: 9, TimeLeft: 15 * time.Second})
			used[tr.engines[0]] = true
		}
		if len(used) < 4 {
			t.Fatalf("seed %d: four loads on one group use %d engines", seed, len(used))
		}
	}
}

// A restarted gateway with a stale list learns from outcomes and from the full list that follows.
func TestRestartWithStaleList(t *testing.T) {
	w := newHarness(t, twoClassConfig())
	w.updateEndpoints(ListCached, testEngines(3)...)
	tr := w.arrive("quick", "")
	w.endLatest(tr, ConnectFailed)
	if len(tr.engines) != 2 || tr.engines[0] == tr.engines[1] {
		t.Fatalf("tried %v", tr.engines)
	}
	w.endLatest(tr, Served)
	w.updateEndpoints(ListComplete, testEngines(3)[1:]...)
	for range 30 {
		w.now += 50 * ms
		w.endLatest(w.arrive("quick", ""), Served)
	}
	for _, s := range w.starts[2:] {
		if s.Engine == 1 {
			t.Fatal("sent to an engine that the full list no longer has")
		}
	}
}

// A tenant past its share stands aside, others don't.
func TestOverShareStandsAside(t *testing.T) {
	cfg := twoClassConfig()
	cfg.Tenants = []Tenant{{Name: "a", Quota: 10}, {Name: "b", Quota: 10}}
	w := newHarness(t, cfg)
	over := map[string]int{}
	for i := range 400 {
		w.now += 20 * ms
		tenant := "a"
		if i%10 == 0 {
			tenant = "b"
		}
		tr := w.arriveWith(Arrival{Class: "big", Tenant: tenant, TimeLeft: 15 * time.Second})
		if w.controller.requests.byID[tr.id].overQuota {
			over[tenant]++
		}
	}
	if over["a"] == 0 || over["b"] > 0 {
		t.Errorf("past their share: %v", over)
	}
}

// However much comes in, the bounds of all gateways sum to what the fleet can do. It guards against a share by
// own traffic over the tenants' quotas: in a burst each gateway then took up to all of the fleet, and the jam
// outlived the burst.
func TestBoundDoesNotGrowWithTraffic(t *testing.T) {
	cfg := twoClassConfig()
	cfg.Routers, cfg.Tenants = 2, []Tenant{{Name: "a", Quota: 5}}
	w := newHarness(t, cfg)
	w.updateEndpoints(ListComplete, testEngines(3)...)
	calm := w.controller.capacity.threadBound()
	for range 300 {
		w.arriveWith(Arrival{Class: "quick", Tenant: "a", TimeLeft: time.Second})
		w.advance(10 * ms)
	}
	if got := w.controller.capacity.threadBound(); got != calm || got != threadsPerCore/2 {
		t.Errorf("bound %v a core under load, %v before, want %v", got, calm, threadsPerCore/2)
	}
	if w.controller.quotas.trafficShare() <= 0.5 {
		t.Errorf("own traffic %v of the quotas: the load of this test is too small", w.controller.quotas.trafficShare())
	}
}

// Gateways that never spoke read a table group from the same engines and load it on others. It guards
// against readers that stand still behind another gateway's load, and against cold reads.
func TestReadersAndLoadsOfAGroupPart(t *testing.T) {
	seen := map[bool][]EngineID{}
	for gateway := range 3 {
		cfg := twoClassConfig()
		cfg.Seed, cfg.RouterIndex, cfg.Routers = uint64(gateway)+7, gateway, 3
		cfg.Classes[0].BlockedByLoad, cfg.Classes[1].LocksTableGroup = true, true
		w := newHarness(t, cfg)
		w.updateEndpoints(ListComplete, testEngines(8)...)
		for _, load := range []bool{false, true} {
			cl := w.controller.classes.all[0]
			if load {
				cl = w.controller.classes.all[1]
			}
			var ids []EngineID
			for _, e := range w.controller.selector.forRequest(&request{class: cl, tableGroup: 17}) {
				ids = append(ids, e.ID)
			}
			if gateway > 0 && !slices.Equal(ids, seen[load]) {
				t.Errorf("gateway %d has homes %v, another %v", gateway, ids, seen[load])
			}
			seen[load] = ids
		}
	}
	for _, id := range seen[true] {
		if slices.Contains(seen[false], id) {
			t.Errorf("engine %v both reads and loads the group: %v and %v", id, seen[false], seen[true])
		}
	}
}

// An engine that an operator excludes gets nothing until the word back, whatever the list says meanwhile, a restart
// included. Then it counts as cold and yet gets a query while others are idle. Repeats change nothing, and an id that
// was once listed stays known.
func TestExcludeHoldsUntilInclude(t *testing.T) {
	cfg := twoClassConfig()
	cfg.WarmUpDuration, cfg.WarmUpInitialShare, cfg.WarmUpOverloadFactor, cfg.WarmUpOverloadWindow = 12*time.Second, 0.36, 2, 1500*ms
	w := newHarness(t, cfg)
	w.updateEndpoints(ListComplete, testEngines(4)...)
	w.advance(20 * time.Second)
	sent := func(n int) (to3 int) {
		for range n {
			tr := w.arrive("quick", "")
			w.advance(20 * ms)
			for hop, id := range tr.engines {
				if id == 3 {
					to3++
				}
				if tr.outcomes[hop] == outstanding {
					w.endAttempt(tr, hop, Served, nil)
				}
			}
			w.advance(20 * ms)
		}
		return to3
	}
	if sent(60) == 0 {
		t.Error("engine 3 was never used")
	}
	if w.handle(Cordon{Engine: 9}); w.controller.Knows(9) || w.controller.AvoidedEngines(w.now) != 0 {
		t.Error("an engine that was never listed was excluded")
	}
	back := testEngines(4)[2]
	for _, word := range []func(){
		func() { w.handle(Cordon{Engine: 3}) },
		func() { w.handle(Cordon{Engine: 3}) },
		func() { back.State = Removed; w.updateEndpoints(ListIncremental, back) },
		func() { back.State, back.StartedAt = Live, w.now; w.updateEndpoints(ListIncremental, back) },
		func() { w.updateEndpoints(ListComplete, testEngines(4)...) },
	} {
		if word(); sent(40) != 0 {
			t.Fatal("an excluded engine got work")
		}
	}
	if n := w.controller.AvoidedEngines(w.now); n != 1 {
		t.Errorf("%d engines are avoided", n)
	}
	w.handle(Uncordon{Engine: 3})
	if e := w.controller.endpoints.byID[3]; e.warmUp.end <= w.now || sent(20) == 0 {
		t.Errorf("after the word back: warm at %v of %v, or no work in 0.8 s", e.warmUp.end, w.now)
	}
	back.State = Removed
	w.updateEndpoints(ListIncremental, back)
	if !w.controller.Knows(3) || w.controller.Cordoned(3) {
		t.Error("an engine that has gone is not known any more, or excluded")
	}
}

// The ids that were listed are remembered within a bound, the excluded ones for good.
func TestIDsAreBounded(t *testing.T) {
	w := newHarness(t, twoClassConfig())
	w.updateEndpoints(ListComplete, testEngines(2)...)
	w.handle(Cordon{Engine: 1})
	for i := range maxKnownEngines + 10 {
		w.controller.endpoints.cordons.add(EngineID(100 + i))
	}
	if n := len(w.controller.endpoints.cordons.cordoned); n != maxKnownEngines || len(w.controller.endpoints.cordons.order) != maxKnownEngines || !w.controller.Cordoned(1) || w.controller.Knows(2) {
		t.Errorf("%d ids are remembered, at most %d should be; 1 is excluded: %v", n, maxKnownEngines, w.controller.Cordoned(1))
	}
}

// No more are held than may be, of those that can't meet their aim any more: the client hears at once. It guards against
// held queries that take the clients' connections from those that could still be served. Both processes of an upgrade
// count.
func TestHeldAreBounded(t *testing.T) {
	cfg := twoClassConfig()
	cfg.MaxQueued = 10
	for _, k := range []struct{ peer, want int }{{0, 10}, {4, 6}, {40, 0}} {
		w := newHarness(t, cfg)
		w.updateEndpoints(ListComplete, testEngines(2)...)
		w.handle(OtherProcessUsage{Queued: k.peer})
		for range 60 {
			w.arriveWith(Arrival{Class: "big", Estimate: 20 * time.Second, TimeLeft: 15 * time.Second})
		}
		w.advance(5 * time.Second)
		answered := 0
		for _, tr := range w.clients {
			answered += tr.answers
		}
		if w.controller.queues.length != k.want || answered != 60-k.want-len(w.starts) {
			t.Errorf("%d held and %d answered with %d sent; %d are held elsewhere", w.controller.queues.length, answered, len(w.starts), k.peer)
		}
	}
}

// Avoided is what the module goes by: engines that fail count until so many do that all are used again.
func TestAvoidedFollowsTheFloor(t *testing.T) {
	w := newHarness(t, twoClassConfig())
	w.updateEndpoints(ListComplete, testEngines(4)...)
	for i, want := range []int{1, 2, 0, 0} {
		w.controller.env.now = w.now
		w.controller.outliers.attributeFailure(w.controller.endpoints.all[i], 1)
		if got := w.controller.AvoidedEngines(w.now); got != want {
			t.Errorf("%d engines fail: %d avoided, want %d", i+1, got, want)
		}
	}
}
