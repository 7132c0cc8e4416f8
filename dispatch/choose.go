package dispatch

// Which engine a query goes to: of two random ones with room, the one with less work.

import (
	"cmp"
	"slices"
	"time"

	"windflow/internal/decide/pressure"
	"windflow/internal/decide/subset"
)

const (
	// threadsPerCore is the bound on running threads a core: cores and disks overlap up to about there, and
	// preferred queries run beside it. In a jam it goes down to jamThreads: preferred ones then take jamFrom
	// to jamFull times their least. Each counts jamMost times that at most: a few stood still for a load.
	threadsPerCore, jamThreads = 2.0, 1.2
	jamFrom, jamFull, jamMost  = 1.2, 2.2, 4.0
	// calmRoom is how far the bound gives way on a calm engine; reports lag, so it never opens wholly.
	calmRoom = 2.0
	// preferredRoom is how far preferred queries may pass that bound: they are short and go first.
	preferredRoom = 2.0
	// looseThreads is the bound in a large fleet that is not crowded: parts are small there, and uneven. It
	// goes down as answers of all classes, each of weight crowdGain, take longer than the least seen.
	looseThreads, crowdGain, crowdFrom, crowdFull = 3.0, 0.1, 0.1, 0.5
	// fullRest is how long an engine that turned a query away gets none: sessions end about that often. An
	// ejected one rests twice as long: in overload it alone has room, and would draw all held.
	fullRest = 250 * time.Millisecond
	// slowMost bounds how far the bound on an engine shrinks with its slowness: another program may have most
	// of its cores.
	slowMost = 3.0
	// nearLeast is how many engines a gateway uses at least, to lose some of them; nearFew in a large fleet.
	nearLeast, nearFew = 8, 3
	// homesFrom is how many engines nearby are divided into those that load a table group and those that read
	// it, in a large fleet; homesFor is how long that division stands at least: demand shifts slowly.
	homesFrom, homesFor = 5, 5 * time.Second
	// ownZone is from how many engines of its own zone a query is drawn, if these are calm and have at most
	// ownThreads a core of this gateway's share: crossing zones has its price.
	ownZone, ownThreads, calmSlow, calmFail = 2, 2.0, 1.5, 0.1
	// homesMost bounds the table groups whose engines are remembered: statements may name any number.
	homesMost = 1024
	// draws is how many engines are drawn for two with room, and looked at when held queries are sent.
	draws = 8
	// wideDraws is how many are looked at, at most, where zones are cut off: all of a fleet as today's.
	wideDraws = 96
)

// ---- choosing and releasing

// fits tells whether this gateway may run one more query of a class at all: its part of the fleet's threads
// and memory.
func (c *Controller) fits(r *request) bool {
	use := c.usable()
	if g := c.wanted(r); g > 0 && use.memory > 0 && use.granted > 0 && use.granted+g > use.memory*c.share() {
		return false
	}
	w := float64(r.c.Threads)
	return r.c == c.prefer || use.threads == 0 || c.wholeShare(r) ||
		use.threads+w <= calmRoom*c.bound()*use.cores+calmRoom*w
}

// large tells whether so many gateways share the fleet that an even part of an engine is a sliver of a query.
func (c *Controller) large() bool {
	return 4*threadsPerCore*c.cores*c.share() < float64(len(c.live)*c.widest)
}

// wholeShare tells whether an even part of an engine is half of a query or more: then one rounds up on each
// engine, else on all engines together. It goes by even parts, since all gateways would round up at once.
func (c *Controller) wholeShare(r *request) bool {
	even := threadsPerCore * c.cores / float64(max(c.cfg.Routers, 1))
	return 2*even >= float64(len(c.live)*r.c.Threads)
}

// bound is the threads a core that this gateway may run on average.
func (c *Controller) bound() float64 {
	jam, most := c.jam()
	return (most - (most-jamThreads)*jam) * c.share()
}

// jam is how far the bound is down, from 0 to 1, and what it is without a jam.
func (c *Controller) jam() (jam, most float64) {
	p, most := c.prefer, threadsPerCore
	jam = (1 + (p.pace/p.best-1)*c.fade(p.seenAt, evidenceLife) - jamFrom) / (jamFull - jamFrom)
	if c.large() {
		jam, most = (c.crowd*c.fade(c.crowdAt, evidenceLife)-crowdFrom)/(crowdFull-crowdFrom), looseThreads
	}
	return min(max(jam, 0), 1), most
}

// room tells whether an engine may take one more query of a class: rests after a refusal or failures, the
// memory that this gateway may grant, a load that would stop the query, and the thread bound, which gives way on a
// calm engine.
func (c *Controller) room(e *engine, r *request) bool {
	if !c.serves(e) {
		return false
	}
	more := e.press.Headroom(r.query(), c.terms(e), millis(c.now))
	if more.BlockedByLock || r.c != c.prefer && len(e.running) > 0 && more.MemoryShare > c.terms(e).MaxMemoryShare() {
		return false
	}
	if c.now < e.warmAt && c.cfg.WarmUpOverloadFactor > 0 && c.large() {
		return true
	}
	spread := float64(len(c.live)) / float64(max(len(c.near), 1)) // its share falls on those nearby
	if e.granted > 0 && e.memory > 0 && r.need > 0 && e.granted >= e.memory*c.share()*spread {
		return false
	}
	bound, whole := c.bound(), c.wholeShare(r) // a calm engine has room for whole queries
	if e.press.Calm(e.cores, millis(c.now)) {
		bound, whole = bound*calmRoom, true
	}
	own := bound * e.cores * spread / min(max(c.slowness(e), 1), slowMost)
	if r.c == c.prefer {
		return e.prefer+e.threads < preferredRoom*own
	}
	use := c.usable()
	if e.threads == 0 && (use.threads == 0 || whole) {
		return true
	}
	return e.threads < own && use.threads+float64(r.c.Threads) <= bound*use.cores
}

// serves tells whether an engine may take work as far as its failures go.
func (c *Controller) serves(e *engine) bool {
	failed := c.now-e.failAt < 2*fullRest
	return !(c.resting(e) || failed && e.lost >= downAfter || c.failing(e) >= ejectAt &&
		(len(e.running) > 0 || failed) && c.ejected() <= ejectMost*float64(len(c.live)))
}

// cost is an engine's own work per core with this query, scaled by the evidence against the engine.
func (c *Controller) cost(e *engine, r *request) float64 {
	scale := max(c.slowness(e), 0.5) * (1 + failWeight*max(c.failing(e)-c.breakAll, 0))
	scale *= e.press.CostFactor(e.cores, millis(c.now)) / c.warmth(e)
	if e.owed && len(e.running) == 0 {
		scale /= failWeight
	}
	for _, a := range r.attempts {
		if a.e == e {
			scale *= failWeight
		}
	}
	return (e.work + r.work()) / e.cores * scale
}

// nearby are the engines that this gateway uses: all of a small fleet, else as many as the threads it may
// run, in a large one as many as it may run of the widest queries. They are dealt out evenly by the gateways'
// numbers: own counts tell the more of what an engine runs the fewer share it.
func (c *Controller) nearby() []*engine {
	n, size := len(c.live), max(int(threadsPerCore*c.share()*c.cores), nearLeast)
	if c.large() {
		size = max(int(looseThreads*c.share()*c.cores/float64(c.widest))+1, nearFew)
	}
	if size = min(size, n); size != c.nearSize {
		c.near, c.nearSize = c.near[:0], size
		for _, i := range subset.Choose(c.cfg.RouterIndex, c.cfg.Routers, n, size) {
			c.near = append(c.near, c.live[i])
		}
	}
	return c.near
}

// homes are the engines nearby that a query's table group is read from or, for a load, loaded on: readers
// take one end of their ranks, loads the other. Of few all are: halves of three or four would jam.
func (c *Controller) homes(r *request) []*engine {
	near := c.nearby()
	if r.group == 0 || len(near) < 3 || c.large() && len(near) < homesFrom {
		return near
	}
	if c.now-c.homesAt > homesFor {
		clear(c.homeOf)
		c.homesAt = c.now
	}
	key := home{r.group, r.c.LocksTableGroup}
	if c.homeOf[key] == nil {
		if len(c.homeOf) >= homesMost {
			clear(c.homeOf)
		}
		ranks := slices.Clone(near)
		slices.SortFunc(ranks, func(a, b *engine) int {
			return cmp.Compare(mix(r.group, a.ID), mix(r.group, b.ID))
		})
		n := c.demand.LoaderCount(r.group, pressure.Fleet{Engines: len(c.live), Subset: len(near),
			Cores: c.cores / float64(len(c.live)), Routers: c.cfg.Routers}, millis(c.now))
		if !r.c.LocksTableGroup {
			n = len(near) - n
		} else {
			slices.Reverse(ranks)
		}
		c.homeOf[key] = ranks[:n]
	}
	return c.homeOf[key]
}

// pick draws two engines of those with room and takes the one with less work.
func (c *Controller) pick(r *request) *engine {
	near := c.homes(r)
	if c.keyBlocked(r) || len(near) == 0 {
		return nil
	}
	if e := c.coldest(r); e != nil || !c.fits(r) {
		return e
	}
	if !c.large() {
		if own := c.own(near, r); len(own) >= ownZone {
			near = own
		}
	}
	var one *engine
	for range draws {
		e := near[c.rng.IntN(len(near))]
		if e == one || !c.allowed(r, e) || !c.room(e, r) {
			continue
		}
		if one == nil {
			one = e
			continue
		}
		if c.cost(e, r) < c.cost(one, r) {
			one = e
		}
		if c.failing(one) >= ejectAt {
			break // both draws are bad: look at more
		}
		return one
	}
	return c.least(r)
}

// own are the engines of this gateway's zone that are calm and have room.
func (c *Controller) own(near []*engine, r *request) []*engine {
	c.drawn = c.drawn[:0]
	for _, e := range near {
		if e.Zone == c.cfg.Zone && c.now >= e.warmAt && c.slowness(e) <= calmSlow && c.failing(e) <= calmFail &&
			e.threads+e.prefer < ownThreads*c.share()*e.cores && c.allowed(r, e) && c.room(e, r) {
			c.drawn = append(c.drawn, e)
		}
	}
	return c.drawn
}

// least is the engine nearby with room and the least work or, where none has room, the best of a few others.
func (c *Controller) least(r *request) *engine {
	if len(c.live) == 0 {
		return nil
	}
	if e := c.coldest(r); e != nil || !c.fits(r) {
		return e
	}
	near := c.homes(r)
	if e := c.leastOf(r, near, len(near)); e != nil || len(near) == len(c.live) || c.apart(r, near) {
		return e
	}
	return c.leastOf(r, c.live, max(draws, min(c.zonesOn(), 1)*min(len(c.live), wideDraws)))
}

// apart tells whether a query has to keep to its homes, for as long as half of them serve: elsewhere, loads and those
// that wait for loads would stop each other.
func (c *Controller) apart(r *request, homes []*engine) bool {
	serve := 0
	for _, e := range homes {
		if c.serves(e) {
			serve++
		}
	}
	return c.waits && (r.c.LocksTableGroup || r.c.BlockedByLoad) && 2*serve >= len(homes)
}

// coldest is the cold engine, wherever it is, that this gateway has a ration of.
func (c *Controller) coldest(r *request) *engine {
	if !c.large() {
		return nil
	}
	cold := c.chunked()
	return c.leastOf(r, cold, len(cold))
}

// leastOf looks at some of the engines, from a random one on, so that ties fall anywhere; many lie all over them.
func (c *Controller) leastOf(r *request, among []*engine, looks int) *engine {
	var best *engine
	least, from := 0.0, c.rng.IntN(max(len(among), 1))
	step := 1
	if looks > draws {
		step = max(len(among)/looks, 1) // neighbours may have gone together
	}
	for i := range looks {
		e := among[(from+i*step)%len(among)]
		if !c.allowed(r, e) || !c.room(e, r) {
			continue
		}
		if cost := c.cost(e, r); best == nil || cost < least {
			best, least = e, cost
		}
	}
	return best
}
