package dispatch

import (
	"cmp"
	"slices"
	"time"
)

// This file has the troubles of a fleet that has regions, and machines that are restarted in a row.

// lost says whether a zone is among those that a day loses or cuts off.
func (f *fleet) lost(zone int) bool { return zone < max(1, f.day.wide) }

// wideTroubles loses whole zones, with their gateways, and restarts and replaces machines in a row.
func (f *fleet) wideTroubles() {
	d := f.day
	if d.zone && d.wide > 0 {
		f.after(d.joinAt, func() { f.loseZones() })
		if d.told > 0 {
			f.after(d.joinAt+d.told, func() { f.announceLost(Removed, 0) })
		}
		f.after(d.joinAt+d.joinFor, func() { f.zonesBack() })
	}
	if d.rack > 0 {
		f.after(d.joinAt, func() { f.loseRack() })
	}
	for i := range d.roll {
		f.after(d.joinAt+d.joinFor*time.Duration(i)/time.Duration(d.roll), func() { f.restart(f.routers[i%len(f.routers)]) })
	}
	for i := range d.replace {
		f.after(d.joinAt+d.joinFor*time.Duration(i)/time.Duration(d.replace), func() { f.swap(i % d.engines) })
	}
}

// swap has an engine drain and die, and a cold one take its place.
func (f *fleet) swap(i int) {
	e := f.engines[i]
	e.State = Draining
	f.announce(200*ms, e.Endpoint)
	f.after(3*time.Second, func() { e.dead = true; f.lose(e); e.State = Removed; f.announce(200*ms, e.Endpoint) })
	f.after(700*ms, func() {
		fresh := f.addEngine(EngineID(max(1000, f.day.engines+1)+i), i)
		fresh.StartedAt = f.now
		f.announce(800*ms, fresh.Endpoint)
	})
}

// rack gives the engines and gateways of a rack, all in zone z0.
func (f *fleet) rack() (engines []*fleetEngine, gateways []*fleetRouter) {
	for i, e := range f.engines {
		if e.Cell == 0 && i/f.day.zones < f.day.rack {
			engines = append(engines, e)
		}
	}
	for i, r := range f.routers {
		if i%f.day.zones == 0 && i/f.day.zones < f.day.rack/2 {
			gateways = append(gateways, r)
		}
	}
	return engines, gateways
}

func (f *fleet) loseRack() {
	engines, gateways := f.rack()
	say := func(s EndpointState) {
		var list []Endpoint
		for _, e := range engines {
			e.State = s
			list = append(list, e.Endpoint)
		}
		f.announce(200*ms, list...)
	}
	if f.day.drained {
		say(Draining)
		f.after(3*time.Second, func() {
			for _, e := range engines {
				e.dead = true
				f.lose(e)
			}
			say(Removed)
		})
		return
	}
	for _, e := range engines {
		e.silent, e.running = true, nil
	}
	for _, r := range gateways {
		f.breakOff(r)
		r.down = true
	}
	if f.day.told > 0 {
		f.after(f.day.told, func() { say(Removed) })
	}
}

func (f *fleet) loseZones() {
	for _, e := range f.engines {
		if f.lost(e.Cell) {
			e.silent, e.running = true, nil
		}
	}
	for _, r := range f.routers {
		if f.lost(r.cfg.RouterIndex % f.day.zones) {
			f.breakOff(r)
			r.down = true
		}
	}
}

func (f *fleet) announceLost(s EndpointState, late time.Duration) {
	var list []Endpoint
	for _, e := range f.engines {
		if f.lost(e.Cell) {
			e.State = s
			list = append(list, e.Endpoint)
		}
	}
	f.announce(late, list...)
}

// zonesBack has all that was lost start anew, engines cold and gateways knowing nothing.
func (f *fleet) zonesBack() {
	for _, e := range f.engines {
		if f.lost(e.Cell) {
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

// restart ends a gateway and starts it anew, without word from the one before.
func (f *fleet) restart(r *fleetRouter) {
	f.breakOff(r)
	f.startRouter(r)
}

// breakOff breaks what a gateway has open. Its clients come again, at others; what may not run twice does not.
func (f *fleet) breakOff(r *fleetRouter) {
	var open []*fleetAsk
	for _, q := range r.open {
		open = append(open, q)
	}
	slices.SortFunc(open, func(a, b *fleetAsk) int { return cmp.Compare(a.id, b.id) })
	r.life++
	r.open = map[RequestID]*fleetAsk{}
	for _, q := range open {
		if r.cfg.Classes[q.class].LocksTableGroup || q.tries >= 2 || f.rng.Float64() < 0.2 {
			continue
		}
		f.after(time.Duration((0.5+f.rng.Float64())*float64(300*ms)), func() {
			f.ask(f.upFor(r), &fleetAsk{class: q.class, work: q.work, first: q.first, aim: q.aim, end: q.end, tries: q.tries + 1})
		})
	}
}

// upFor is where the clients of a gateway go: to itself, or to any that is up.
func (f *fleet) upFor(r *fleetRouter) *fleetRouter {
	for r.down {
		r = f.routers[f.rng.IntN(len(f.routers))]
	}
	return r
}
