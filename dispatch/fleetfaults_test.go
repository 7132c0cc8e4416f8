package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// fleetFaults injects the faults of a simulation.
type fleetFaults struct{ *fleetSimulation }

// scheduleFaults schedules all faults of the scenario.
func (f fleetFaults) scheduleFaults() {
	scenario := &f.scenario
	for i := range f.engines {
		if f.rng.Float64() >= scenario.replacedShare {
			continue
		}
		at := scenario.faultAt + time.Duration(f.rng.Float64()*float64(scenario.faultDuration))
		f.schedule(at, func() { f.replaceEngine(i) })
	}
	if scenario.zoneLost && scenario.lostZones == 0 {
		for _, e := range f.engines {
			if f.scenario.isLost(e.Cell) {
				f.scheduleEngineLoss(e)
			}
		}
	}
	f.scheduleInfrastructureFaults()
	if scenario.partitioned {
		f.schedule(scenario.faultAt, func() { f.partitioned = true })
		f.schedule(scenario.faultAt+scenario.faultDuration, func() { f.partitioned = false })
	}
	for _, router := range f.routers {
		if f.rng.Float64() < scenario.restartedShare {
			f.schedule(scenario.faultAt, func() { f.startRouter(router) })
		}
	}
}

// scheduleEngineLoss has one engine lost, and back with a restart.
func (f fleetFaults) scheduleEngineLoss(e *fleetEngine) {
	scenario := &f.scenario
	f.schedule(scenario.faultAt, func() { e.silent, e.running = true, nil })
	if scenario.listDelay > 0 {
		f.schedule(scenario.faultAt+scenario.listDelay, func() {
			e.State = Removed
			f.announce(0, e.Endpoint)
		})
	}
	f.schedule(scenario.faultAt+scenario.faultDuration, func() {
		e.silent, e.State, e.StartedAt = false, Live, f.now
		f.announce(300*ms, e.Endpoint)
	})
}

// scheduleWideFaults has zones lost with their routers, a rack lost, and machines restarted and replaced one by one.
func (f fleetFaults) scheduleInfrastructureFaults() {
	scenario := &f.scenario
	if scenario.zoneLost && scenario.lostZones > 0 {
		f.schedule(scenario.faultAt, f.loseZones)
		if scenario.listDelay > 0 {
			f.schedule(scenario.faultAt+scenario.listDelay, func() { f.announceLostEngines(Removed, 0) })
		}
		f.schedule(scenario.faultAt+scenario.faultDuration, f.restoreZones)
	}
	if scenario.rackSize > 0 {
		f.schedule(scenario.faultAt, f.loseRack)
	}
	f.scheduleRolling(scenario.rollingRestarts, func(i int) { f.restartRouter(f.routers[i%len(f.routers)]) })
	f.scheduleRolling(scenario.rollingReplacements, func(i int) { f.replaceEngine(i % scenario.engines) })
}

// scheduleRolling has something happen n times, evenly over the time of the fault.
func (f fleetFaults) scheduleRolling(n int, run func(i int)) {
	for i := range n {
		at := f.scenario.faultAt + f.scenario.faultDuration*time.Duration(i)/time.Duration(n)
		f.schedule(at, func() { run(i) })
	}
}

// replaceEngine drains and ends an engine, and adds a new one instead.
func (f fleetFaults) replaceEngine(index int) {
	e := f.engines[index]
	e.State = Draining
	f.announce(200*ms, e.Endpoint)
	f.schedule(3*time.Second, func() {
		e.dead = true
		f.resetAttempts(e)
		e.State = Removed
		f.announce(200*ms, e.Endpoint)
	})
	f.schedule(700*ms, func() {
		replacement := f.addEngine(EngineID(max(1000, f.scenario.engines+1)+index), index)
		replacement.StartedAt = f.now
		f.announce(800*ms, replacement.Endpoint)
	})
}

// rack returns the engines and routers of a rack, all in zone z0.
func (f fleetFaults) rack() (engines []*fleetEngine, routers []*fleetRouter) {
	zones, size := f.scenario.zones, f.scenario.rackSize
	for i, e := range f.engines {
		if e.Cell == 0 && i/zones < size {
			engines = append(engines, e)
		}
	}
	for i, router := range f.routers {
		if i%zones == 0 && i/zones < size/2 {
			routers = append(routers, router)
		}
	}
	return engines, routers
}

// announceAll announces all these engines in one state.
func (f fleetFaults) announceAll(engines []*fleetEngine, state EndpointState, delay time.Duration) {
	var list []Endpoint
	for _, e := range engines {
		e.State = state
		list = append(list, e.Endpoint)
	}
	f.announce(delay, list...)
}

// loseRack ends a rack with its routers, or drains its engines.
func (f fleetFaults) loseRack() {
	engines, routers := f.rack()
	if f.scenario.rackDrained {
		f.announceAll(engines, Draining, 200*ms)
		f.schedule(3*time.Second, func() {
			for _, e := range engines {
				e.dead = true
				f.resetAttempts(e)
			}
			f.announceAll(engines, Removed, 200*ms)
		})
		return
	}
	for _, e := range engines {
		e.silent, e.running = true, nil
	}
	for _, router := range routers {
		f.breakConnections(router)
		router.down = true
	}
	if f.scenario.listDelay > 0 {
		f.schedule(f.scenario.listDelay, func() { f.announceAll(engines, Removed, 200*ms) })
	}
}

// lostEngines are the engines of the lost zones.
func (f fleetFaults) lostEngines() []*fleetEngine {
	return slices.DeleteFunc(slices.Clone(f.engines), func(e *fleetEngine) bool { return !f.scenario.isLost(e.Cell) })
}

func (f fleetFaults) loseZones() {
	for _, e := range f.lostEngines() {
		e.silent, e.running = true, nil
	}
	for _, router := range f.routers {
		if f.scenario.isLost(router.config.RouterIndex % f.scenario.zones) {
			f.breakConnections(router)
			router.down = true
		}
	}
}

func (f fleetFaults) announceLostEngines(state EndpointState, delay time.Duration) {
	f.announceAll(f.lostEngines(), state, delay)
}

// restoreZones restarts all that was lost: engines warm up, and routers know nothing.
func (f fleetFaults) restoreZones() {
	for _, e := range f.lostEngines() {
		e.silent, e.StartedAt = false, f.now
	}
	f.announceLostEngines(Live, 300*ms)
	for _, router := range f.routers {
		if router.down {
			router.down = false
			f.startRouter(router)
		}
	}
}

// restartRouter restarts a router without a hot restart.
func (f fleetFaults) restartRouter(router *fleetRouter) {
	f.breakConnections(router)
	f.startRouter(router)
}

// breakConnections breaks the connections of a router's clients. Most send their requests again, to other routers; what
// must not run twice is not sent again.
func (f fleetFaults) breakConnections(router *fleetRouter) {
	var open []*fleetRequest
	for _, req := range router.open {
		open = append(open, req)
	}
	slices.SortFunc(open, func(a, b *fleetRequest) int { return cmp.Compare(a.id, b.id) })
	router.incarnation++
	router.open = map[RequestID]*fleetRequest{}
	for _, req := range open {
		atMostOnce := router.config.Classes[req.class].LocksTableGroup
		if atMostOnce || req.earlierTries >= fleetMaxSends-1 || f.rng.Float64() < 0.2 {
			continue
		}
		f.schedule(time.Duration((0.5+f.rng.Float64())*float64(300*ms)), func() {
			clients := fleetClients(f)
			clients.sendRequest(clients.availableRouter(router), req.retry())
		})
	}
}
