package pressure

import "math"

const (
	// life is the time over which demand is averaged, in milliseconds: of the loads of one group a router sees one in
	// seconds.
	life = 30_000.0
	// settled is how long demand is watched before it says anything.
	settled = 5000.0
	// lockUse and coreUse are the shares of the time that a group may be held by loads on its engines, and of the cores
	// that its readers may use on theirs: past them, those that come wait long.
	lockUse, coreUse = 0.6, 0.6
	// halfPart is the part of the engines that load a group where nothing asks for more.
	halfPart = 0.5
	// groupsMost bounds the groups whose demand is kept: statements may name any number.
	groupsMost = 1024
	// most bounds what one query counts, in milliseconds: one wild estimate would outweigh all others for minutes.
	most = 600_000.0
)

// demand is what of a group came of late, in milliseconds, faded to the time that Demand has.
type demand struct {
	held float64 // that loads hold it
	work float64 // of those that wait for loads, on one core
}

// Demand keeps what comes to one router by table group, and divides the engines of a group between those that load it and
// those that read it. All routers see about the same mix, so that they divide alike, give or take an engine.
type Demand struct {
	from, at float64
	started  bool
	groups   map[int64]demand
}

// Add notes a query of a group: the time for which it would hold the group, or the work on one core of one that waits.
func (d *Demand) Add(group int64, held, work, now float64) {
	if group == 0 || !(held >= 0) || !(work >= 0) {
		return
	}
	held, work = min(held, most), min(work, most)
	if !d.started {
		d.started, d.from, d.at, d.groups = true, now, now, map[int64]demand{}
	}
	if _, known := d.groups[group]; !known && len(d.groups) >= groupsMost {
		d.Decay(now)
		if len(d.groups) >= groupsMost {
			return
		}
	}
	g, up := d.groups[group], math.Exp((now-d.at)/life) // what comes later has faded less
	if now-d.at > life {
		d.Decay(now)
		g, up = d.groups[group], 1
	}
	d.groups[group] = demand{g.held + held*up, g.work + work*up}
}

// Decay brings all demand to a time, and forgets what is next to nothing.
func (d *Demand) Decay(now float64) {
	down := math.Exp((d.at - now) / life)
	for k, g := range d.groups {
		if g.held, g.work = g.held*down, g.work*down; g.held+g.work < 1 {
			delete(d.groups, k)
		} else {
			d.groups[k] = g
		}
	}
	d.at = now
}

// Fleet is what there is for a group.
type Fleet struct {
	Engines int     // of the fleet
	Subset  int     // those of them that this router uses
	Cores   float64 // of each of them
	Routers int     // that share them, with about the same traffic
}

// LoaderCount is the number of engines near that load a group; the others read it. It is half of them, rounded down and one at
// least, and more where its loads would wait for each other while its readers leave room. With one engine there is no
// dividing, and of a few out of many, which other routers share each with other neighbours, always half: what a group
// asks of those few can't be told.
func (d *Demand) LoaderCount(group int64, f Fleet, now float64) int {
	half := max(int(halfPart*float64(f.Subset)), 1)
	g, known := d.groups[group]
	if !known || now-d.from < settled || !(f.Cores > 0) || f.Subset < f.Engines {
		return half
	}
	// A flow that lasts for a time leaves its rate x life x (1 - exp(-time/life)) after fading.
	down := math.Exp((d.at-now)/life) * float64(max(f.Routers, 1)) / (life * (1 - math.Exp((d.from-now)/life)))
	loads, cores := g.held*down, g.work*down
	readers := max(int(math.Ceil(min(cores/(coreUse*f.Cores), float64(f.Engines)))), 1)
	want := int(math.Ceil(min(loads/lockUse, float64(f.Engines))))
	return max(min(want, f.Engines-readers), half)
}
