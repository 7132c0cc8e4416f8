package dispatch

import (
	"fmt"
	"math"
	"time"
)

// fleetEngine simulates an engine that shares its cores among its running attempts.
type fleetEngine struct {
	Endpoint
	speed     float64 // relative to the nominal speed
	dead      bool    // it refuses connections and runs nothing
	silent    bool    // it is unreachable: attempts fail to connect or time out
	collapsed bool    // it failed because it was overloaded during its warm-up
	running   []*fleetAttempt
	received  []sentWork // work received within the last overload window, during the warm-up
}

// fleetAttempt is an attempt on an engine.
type fleetAttempt struct {
	router           *fleetRouter
	incarnation      int // incarnation of the router that started it
	id               RequestID
	index            int
	class            int
	work             float64 // in core seconds
	workLeft         float64 // in core seconds
	threads          float64
	preferred        bool
	missesStartLimit bool // its connection is not established within StartAttempt.StartWithin
}

// warmingLoad records how close warming engines came to collapsing.
type warmingLoad struct {
	collapsed int // number of engines that collapsed
	// maxShare is the largest amount of work that a warming engine received in an overload window, as a share of what
	// it can handle.
	maxShare float64
	// maxExcess is the largest amount of work that a warming engine received in an overload window beyond what it can
	// handle. It is counted in queries of mean work and divided by 2 sqrt(N) + 2, where N is the number of such queries
	// that the engine can handle. Values up to 1 are attributed to chance.
	maxExcess float64
}

func (f *fleetSimulation) addEngine(id EngineID, index int) *fleetEngine {
	cell := index % f.scenario.zones
	e := &fleetEngine{
		Endpoint: Endpoint{ID: id, Kind: "k", Zone: fmt.Sprint("z", cell), Cell: cell, CapacityWeight: 1},
		speed:    0.9 + 0.2*f.rng.Float64(),
	}
	if f.rng.Float64() < f.scenario.slowShare {
		e.speed /= 3
	}
	f.engines = append(f.engines, e)
	f.enginesByID[id] = e
	return e
}

// connectDelay returns how long an attempt waits for its connection. If that is longer than startWithin, it marks the
// attempt and returns startWithin.
func (f *fleetSimulation) connectDelay(e *fleetEngine, a *fleetAttempt, startWithin time.Duration) time.Duration {
	if f.scenario.connectInterval == 0 || f.warmUpFactor(e) == 1 {
		return 0
	}
	delay := f.scenario.connectInterval - f.now%f.scenario.connectInterval
	if startWithin > 0 && delay > startWithin {
		a.missesStartLimit = true
		return startWithin
	}
	return delay
}

// warmUpFactor returns the share of its full capacity that an engine has at present.
func (f *fleetSimulation) warmUpFactor(e *fleetEngine) float64 {
	if e.StartedAt == 0 || f.now > e.StartedAt+fleetWarmUpDuration {
		return 1
	}
	elapsed := (f.now - e.StartedAt).Seconds()
	return fleetWarmUpInitialShare + (1-fleetWarmUpInitialShare)*elapsed/fleetWarmUpDuration.Seconds()
}

// unreachable reports whether an engine is silent or on the other side of a network partition from a router.
func (f *fleetSimulation) unreachable(router *fleetRouter, e *fleetEngine) bool {
	routerLost := f.scenario.isLost(router.config.RouterIndex % f.scenario.zones)
	return e.silent || f.partitioned && f.scenario.isLost(e.Cell) != routerLost
}

// deliverAttempt starts an attempt on its engine, or ends it if the engine cannot run it.
func (f *fleetSimulation) deliverAttempt(e *fleetEngine, a *fleetAttempt) {
	switch {
	case a.missesStartLimit:
		f.endAttempt(a, ConnectFailed)
	case f.unreachable(a.router, e):
		f.endUnanswered(a)
	case e.dead:
		f.endAttempt(a, ConnectFailed)
	case f.overloads(e, a):
		f.collapse(e)
		f.endAttempt(a, ConnectionReset)
	case len(e.running) >= fleetQueriesPerCore*f.scenario.cores:
		f.currentSecond().engineFullAnswers++
		f.endAttempt(a, EngineFull)
	default:
		e.running = append(e.running, a)
	}
}

// endUnanswered ends an attempt on an unreachable engine. Most attempts fail to connect after 400 ms. The others use a
// connection that was open already: they time out after 420 ms or, for some loads, after 2 s, because a load is not
// cancelled that soon.
func (f *fleetSimulation) endUnanswered(a *fleetAttempt) {
	switch {
	case f.rng.Float64() < 0.3 && a.router.config.Classes[a.class].LocksTableGroup:
		f.schedule(2*time.Second, func() { f.endAttempt(a, TimedOut) })
	case f.rng.Float64() < 0.3:
		f.schedule(420*ms, func() { f.endAttempt(a, TimedOut) })
	default:
		f.schedule(400*ms, func() { f.endAttempt(a, ConnectFailed) })
	}
}

// overloads records the work of an attempt on a warming engine and reports whether the engine thereby collapses,
// because it received more work in the overload window than it can handle.
func (f *fleetSimulation) overloads(e *fleetEngine, a *fleetAttempt) bool {
	factor := f.warmUpFactor(e)
	if factor == 1 {
		return false
	}
	e.received = append(e.received, sentWork{f.now, fleetClasses[a.class].work})
	for len(e.received) > 0 && e.received[0].at < f.now-fleetOverloadWindow {
		e.received = e.received[1:]
	}
	sum, limit := 0.0, f.scenario.maxWarmingWork(factor)
	for _, sent := range e.received {
		sum += sent.work
	}
	n := limit / meanFleetWork()
	load := &f.warmingLoad
	load.maxShare = max(load.maxShare, sum/limit)
	load.maxExcess = max(load.maxExcess, (sum/meanFleetWork()-n)/(2*math.Sqrt(n)+2))
	return sum > limit && !e.collapsed
}

// collapse makes an overloaded engine fail together with its attempts.
func (f *fleetSimulation) collapse(e *fleetEngine) {
	e.collapsed, e.dead = true, true
	f.warmingLoad.collapsed++
	f.resetAttempts(e)
}

// resetAttempts ends all attempts on an engine with ConnectionReset.
func (f *fleetSimulation) resetAttempts(e *fleetEngine) {
	for _, a := range e.running {
		f.endAttempt(a, ConnectionReset)
	}
	e.running = nil
}

// runEngines advances the work of all engines that are up by one tick.
func (f *fleetSimulation) runEngines() {
	for _, e := range f.engines {
		if !e.dead && !e.silent && len(e.running) > 0 {
			f.runEngine(e, fleetTick.Seconds())
		}
	}
}

// runEngine advances the work of an engine by a duration in seconds and ends the attempts that are complete. A thread
// of the preferred class has eight times the weight of another thread.
func (f *fleetSimulation) runEngine(e *fleetEngine, duration float64) {
	preferred, others := 0.0, 0.0
	for _, a := range e.running {
		if a.preferred {
			preferred += a.threads
		} else {
			others += a.threads
		}
	}
	cores := float64(f.scenario.cores) * e.speed * f.warmUpFactor(e)
	capacity := cores * fleetDiskWorkFactor
	if load := (preferred + others) / (fleetThreadsPerCore * cores); load > 1 {
		capacity /= 1 + 2*(load-1) // models contention of threads and shortage of memory
	}
	preferredRate := min(preferred, capacity*8*preferred/(8*preferred+others))
	othersRate := min(others, capacity-preferredRate)
	preferredRate = min(preferred, capacity-othersRate)
	unfinished := e.running[:0]
	for _, a := range e.running {
		rate := othersRate / others * a.threads
		if a.preferred {
			rate = preferredRate / preferred * a.threads
		}
		a.workLeft -= rate * duration
		if a.workLeft > 0 {
			unfinished = append(unfinished, a)
			continue
		}
		f.endAttempt(a, Served)
	}
	clear(e.running[len(unfinished):])
	e.running = unfinished
}
