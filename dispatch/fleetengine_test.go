package dispatch

import (
	"fmt"
	"math"
	"time"
)

// fleetEngine is an engine that shares its cores among what it runs.
type fleetEngine struct {
	Endpoint
	speed     float64
	dead      bool // it takes no connections
	silent    bool // it does not answer
	collapsed bool // it was overloaded while it warmed up
	running   []*fleetAttempt
	received  []sentWork // while it warms up, within the overload window
}

// fleetAttempt is an attempt at an engine.
type fleetAttempt struct {
	router           *fleetRouter
	incarnation      int // of the router
	id               RequestID
	index            int
	class            int
	work             float64
	workLeft         float64
	threads          float64
	preferred        bool
	missesStartLimit bool // its connection does not come up by the time at which it has to start
}

// warmingLoad is how close warming engines were to collapsing.
type warmingLoad struct {
	collapsed int
	// maxShare is the most work that one was sent in a window, over what it can take.
	maxShare float64
	// maxExcess is the most that one was sent beyond what it can take, in queries of mean work, over 2 root of N + 2, N
	// being what it can take: up to 1 is chance.
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

// connectTime is how long an attempt waits for its connection; one that has to start sooner is marked.
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

// warmUpFactor is the share of its capacity that an engine has by now.
func (f *fleetSimulation) warmUpFactor(e *fleetEngine) float64 {
	if e.StartedAt == 0 || f.now > e.StartedAt+fleetWarmUpDuration {
		return 1
	}
	elapsed := (f.now - e.StartedAt).Seconds()
	return fleetWarmUpInitialShare + (1-fleetWarmUpInitialShare)*elapsed/fleetWarmUpDuration.Seconds()
}

// unreachable reports whether a router gets no answer from an engine.
func (f *fleetSimulation) unreachable(router *fleetRouter, e *fleetEngine) bool {
	routerLost := f.scenario.isLost(router.config.RouterIndex % f.scenario.zones)
	return e.silent || f.partitioned && f.scenario.isLost(e.Cell) != routerLost
}

// reachEngine delivers an attempt to its engine.
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

// endUnanswered ends an attempt at an engine that does not answer. Most find no connection, some wait in vain on one
// that was open before; a load is not canceled that soon.
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

// overloads counts an attempt at an engine that warms up, and reports whether it is more than that can take.
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

// collapse ends an overloaded engine.
func (f *fleetSimulation) collapse(e *fleetEngine) {
	e.collapsed, e.dead = true, true
	f.warmingLoad.collapsed++
	f.resetAttempts(e)
}

// breakAttempts breaks all attempts at an engine.
func (f *fleetSimulation) resetAttempts(e *fleetEngine) {
	for _, a := range e.running {
		f.endAttempt(a, ConnectionReset)
	}
	e.running = nil
}

// runEngines has every engine work for a tick.
func (f *fleetSimulation) runEngines() {
	for _, e := range f.engines {
		if !e.dead && !e.silent && len(e.running) > 0 {
			f.runEngine(e, fleetTick.Seconds())
		}
	}
}

// runEngine advances an engine's work by a time in seconds. Preferred queries get eight times the weight of others.
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
		capacity /= 1 + 2*(load-1) // threads contend, and memory is short
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
