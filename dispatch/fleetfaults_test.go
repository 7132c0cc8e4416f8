package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// This file has the troubles of a fleet that has regions, and machines that are restarted in a row.

// isLost says whether a zone is among those that a day loses or cuts off.
func (f *fleetSimulation) isLost(zone int) bool { return zone < max(1, f.scenario.lostZones) }

// scheduleWideFaults loses whole zones, with their gateways, and restarts and replaces machines in a row.
func (f *fleetSimulation) scheduleWideFaults() {
	d := f.scenario
	if d.zoneLost && d.lostZones > 0 {
		f.schedule(d.faultAt, func() { f.loseZones() })
		if d.listDelay > 0 {
			f.schedule(d.faultAt+d.listDelay, func() { f.announceLost(Removed, 0) })
		}
		f.schedule(d.faultAt+d.faultFor, func() { f.restoreZones() })
	}
	if d.rackSize > 0 {
		f.schedule(d.faultAt, func() { f.loseRack() })
	}
	for i := range d.rollingRestarts {
		f.schedule(d.faultAt+d.faultFor*time.Duration(i)/time.Duration(d.rollingRestarts), func() { f.restartRouter(f.routers[i%len(f.routers)]) })
	}
	for i := range d.rollingReplacements {
		f.schedule(d.faultAt+d.faultFor*time.Duration(i)/time.Duration(d.rollingReplacements), func() { f.replaceEngine(i % d.engines) })
	}
}

// replaceEngine has an engine drain and die, and a cold one take its place.
func (f *fleetSimulation) replaceEngine(i int) {
	e := f.engines[i]
	e.State = Draining
	f.announce(200*ms, e.Endpoint)
	f.schedule(3*time.Second, func() { e.dead = true; f.breakAttempts(e); e.State = Removed; f.announce(200*ms, e.Endpoint) })
	f.schedule(700*ms, func() {
		fresh := f.addEngine(EngineID(max(1000, f.scenario.engines+1)+i), i)
		fresh.StartedAt = f.now
		f.announce(800*ms, fresh.Endpoint)
	})
}

// rack gives the engines and gateways of a rack, all in zone z0.
func (f *fleetSimulation) rack() (engines []*fleetEngine, gateways []*fleetRouter) {
	for i, e := range f.engines {
		if e.Cell == 0 && i/f.scenario.zones < f.scenario.rackSize {
			engines = append(engines, e)
		}
	}
	for i, r := range f.routers {
		if i%f.scenario.zones == 0 && i/f.scenario.zones < f.scenario.rackSize/2 {
			gateways = append(gateways, r)
		}
	}
	return engines, gateways
}

func (f *fleetSimulation) loseRack() {
	engines, gateways := f.rack()
	say := func(s EndpointState) {
		var list []Endpoint
		for _, e := range engines {
			e.State = s
			list = append(list, e.Endpoint)
		}
		f.announce(200*ms, list...)
	}
	if f.scenario.rackDrained {
		say(Draining)
		f.schedule(3*time.Second, func() {
			for _, e := range engines {
				e.dead = true
				f.breakAttempts(e)
			}
			say(Removed)
		})
		return
	}
	for _, e := range engines {
		e.silent, e.running = true, nil
	}
	for _, r := range gateways {
		f.breakConnections(r)
		r.down = true
	}
	if f.scenario.listDelay > 0 {
		f.schedule(f.scenario.listDelay, func() { say(Removed) })
	}
}

func (f *fleetSimulation) loseZones() {
	for _, e := range f.engines {
		if f.isLost(e.Cell) {
			e.silent, e.running = true, nil
		}
	}
	for _, r := range f.routers {
		if f.isLost(r.config.RouterIndex % f.scenario.zones) {
			f.breakConnections(r)
			r.down = true
		}
	}
}

func (f *fleetSimulation) announceLost(s EndpointState, late time.Duration) {
	var list []Endpoint
	for _, e := range f.engines {
		if f.isLost(e.Cell) {
			e.State = s
			list = append(list, e.Endpoint)
		}
	}
	f.announce(late, list...)
}

// restoreZones has all that was lost start anew, engines cold and gateways knowing nothing.
func (f *fleetSimulation) restoreZones() {
	for _, e := range f.engines {
		if f.isLost(e.Cell) {
			e.silent, e.StartedAt = false, f.now
		}
	}
	f.announceLost(Live, 300*ms)
	for _, r := range f.routers {
		if r.down {
			r.down = false
			f.startRouter(r)
		}
	}
}

// restartRouter ends a gateway and starts it anew, without word from the one before.
func (f *fleetSimulation) restartRouter(r *fleetRouter) {
	f.breakConnections(r)
	f.startRouter(r)
}

// breakConnections breaks what a gateway has open. Its clients come again, at others; what may not run twice does not.
func (f *fleetSimulation) breakConnections(r *fleetRouter) {
	var open []*fleetRequest
	for _, q := range r.open {
		open = append(open, q)
	}
	slices.SortFunc(open, func(a, b *fleetRequest) int { return cmp.Compare(a.id, b.id) })
	r.incarnation++
	r.open = map[RequestID]*fleetRequest{}
	for _, q := range open {
		if r.config.Classes[q.class].LocksTableGroup || q.tries >= 2 || f.rng.Float64() < 0.2 {
			continue
		}
		f.schedule(time.Duration((0.5+f.rng.Float64())*float64(300*ms)), func() {
			f.sendRequest(f.availableRouter(r), &fleetRequest{class: q.class, work: q.work, arrivedAt: q.arrivedAt, objective: q.objective, deadline: q.deadline, tries: q.tries + 1})
		})
	}
}

// availableRouter is where the clients of a gateway go: to itself, or to any that is up.
func (f *fleetSimulation) availableRouter(r *fleetRouter) *fleetRouter {
	for r.down {
		r = f.routers[f.rng.IntN(len(f.routers))]
	}
	return r
}
