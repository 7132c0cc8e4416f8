package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// fleetFaults injects the faults of a simulation.
type fleetFaults struct{ *fleetSimulation }

// scheduleFaults schedules all faults that the scenario defines.
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

// scheduleEngineLoss makes an engine unreachable during the fault and restarts it at the end of the fault.
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

// scheduleInfrastructureFaults schedules the loss of zones with their routers, the loss of a rack, and rolling restarts
// and replacements of machines.
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

// scheduleRolling schedules n calls of run at equal intervals over the duration of the fault.
func (f fleetFaults) scheduleRolling(n int, run func(i int)) {
	for i := range n {
		at := f.scenario.faultAt + f.scenario.faultDuration*time.Duration(i)/time.Duration(n)
		f.schedule(at, func() { run(i) })
	}
}

// replaceEngine drains an engine, stops it 3 s later, and adds a new engine in its place 700 ms after the drain began.
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

// rack returns the engines and routers of the rack that is lost or drained. All of them are in zone z0.
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

// announceAll sets the state of the given engines and announces them in one endpoint list.
func (f fleetFaults) announceAll(engines []*fleetEngine, state EndpointState, delay time.Duration) {
	var list []Endpoint
	for _, e := range engines {
		e.State = state
		list = append(list, e.Endpoint)
	}
	f.announce(delay, list...)
}

// loseRack makes the engines of a rack unreachable and stops its routers, or drains and stops only its engines if the
// scenario sets rackDrained.
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

// lostEngines returns the engines of the lost zones.
func (f fleetFaults) lostEngines() []*fleetEngine {
	return slices.DeleteFunc(slices.Clone(f.engines), func(e *fleetEngine) bool { return !f.scenario.isLost(e.Cell) })
}

// loseZones makes the engines of the lost zones unreachable and stops the routers there.
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

// announceLostEngines announces the engines of the lost zones in the given state.
func (f fleetFaults) announceLostEngines(state EndpointState, delay time.Duration) {
	f.announceAll(f.lostEngines(), state, delay)
}

// restoreZones restarts the lost engines, which then warm up, and the routers, which have lost their state.
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

// restartRouter restarts a router without a hot restart: its connections break and its state is lost.
func (f fleetFaults) restartRouter(router *fleetRouter) {
	f.breakConnections(router)
	f.startRouter(router)
}

// breakConnections breaks the client connections of a router. Four of five clients send their open requests again, to
// any router that is up. Loads are not sent again, because a load may run at most once.
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
