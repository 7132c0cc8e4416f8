package dispatch

// The engines that lists name, and the operators' word on them.

import (
	"slices"
	"time"

	"windflow/internal/decide/backoff"
	"windflow/internal/decide/slowstart"
)

func (c *Controller) onList(ev EndpointList) {
	if ev.Mode == ListFailed {
		// Back off with jitter, so that gateways which failed together don't call together again.
		c.askWait = min(max(2*c.askWait, 250*time.Millisecond), max(c.cfg.DiscoveryTimeout/4, 500*time.Millisecond))
		c.askAt = c.now + c.askWait/2 + time.Duration(c.rng.Float64()*float64(c.askWait))
		return
	}
	if ev.Mode != ListCached {
		c.askWait = 0
	}
	if ev.Mode != ListIncremental {
		for _, e := range c.engines {
			e.listed, e.State, c.someGone = false, Removed, true
		}
	}
	first := len(c.engines) == 0
	for _, entry := range ev.Endpoints {
		c.onEntry(entry, first)
	}
	c.relist()
	c.release()
}

// exclude keeps work from an engine, or ends that: it has started anew by then, and is owed a first query.
func (c *Controller) exclude(id EngineID, on bool) {
	if !c.Knows(id) || c.Cordoned(id) == on {
		return
	}
	c.ids.excluded[id] = on
	if e := c.byID[id]; e != nil {
		e.listed, e.owed = e.State == Live && !on, !on
		c.chill(e, c.now)
		e.lost, e.fullAt = 0, 0
		c.relist()
		c.release()
	}
}

// chill treats an engine as just started: its history is void.
func (c *Controller) chill(e *engine, at time.Duration) {
	e.coldAt, e.warmAt = at, max(e.warmAt, at+c.cfg.WarmUpDuration)
	e.slow, e.fail = 1, 0
	e.rest.RecordSuccess()
	e.ration = slowstart.NewBudget(c.cfg.RouterIndex, c.cfg.Routers, float64(mix(1, e.ID)>>11)/(1<<53), millis(at))
	e.rationBy, c.tally.till, c.tally.failingUntil = rationBy{}, 0, 0
}

func (c *Controller) onEntry(entry Endpoint, first bool) {
	e := c.byID[entry.ID]
	if e == nil {
		e = &engine{Endpoint: entry, cores: max(entry.CapacityWeight, 1), slow: 1}
		c.equip(e)
		c.byID[entry.ID] = e
		c.engines = append(c.engines, e)
		c.unsorted = true
		if entry.StartedAt == 0 && !first {
			c.chill(e, c.now)
		}
	}
	if entry.StartedAt > 0 && (entry.StartedAt != e.StartedAt || e.warmAt == 0) && entry.StartedAt+c.cfg.WarmUpDuration > c.now {
		c.chill(e, entry.StartedAt)
	}
	if e.zone == nil || e.Zone != entry.Zone {
		e.zone = c.zoneOf(entry.Zone)
	}
	e.Endpoint = entry
	c.someGone = c.someGone || entry.State == Removed
	c.ids.named(entry.ID)
	e.listed = entry.State == Live && !c.Cordoned(entry.ID)
}

// relist keeps the listed engines and their sums, and forgets those that are gone with nothing out.
func (c *Controller) relist() {
	if c.someGone {
		c.someGone = false
		c.engines = slices.DeleteFunc(c.engines, c.forget)
	}
	if c.unsorted {
		c.unsorted = false
		slices.SortFunc(c.engines, byEngineID)
	}
	c.live, c.cores, c.memory, c.nearSize = c.live[:0], 0, 0, 0
	clear(c.homeOf)
	c.tally.till, c.tally.failingUntil = 0, 0
	before := c.groups
	c.groups = nil
	for _, z := range before {
		z.listed = false
	}
	for _, e := range c.engines {
		if e.counted = false; !e.listed {
			continue
		}
		if !e.zone.listed {
			e.zone.listed = true
			c.groups = append(c.groups, e.zone)
		}
		c.live, c.cores, c.memory = append(c.live, e), c.cores+e.cores, c.memory+e.memory
	}
	for _, z := range c.groups {
		if !slices.Contains(before, z) {
			z.ZoneBackoff = backoff.ZoneBackoff{} // of a zone with no listed engine nothing is kept
		}
	}
}

// forget tells whether an engine is gone with nothing out, and drops all that is known of it.
func (c *Controller) forget(e *engine) bool {
	if e.State != Removed {
		return false
	}
	if len(e.running) > 0 {
		c.someGone = true // later
		return false
	}
	c.setPeer(e, EngineUsage{})
	delete(c.byID, e.ID)
	if e.noted {
		c.failed = without(c.failed, e)
	}
	return true
}

// zoneOf is the zone of that name.
func (c *Controller) zoneOf(name string) *zone {
	z := c.zones[name]
	if z == nil {
		z = &zone{}
		c.zones[name] = z
	}
	return z
}

// ids remembers the engines that a list has named, the latest maxIDs of them and all that are excluded.
type ids struct {
	excluded map[EngineID]bool // of all remembered ones
	order    []EngineID
}

// maxIDs is some days of engines.
const maxIDs = 8192

// named notes that a list names an engine.
func (k *ids) named(id EngineID) {
	if _, known := k.excluded[id]; known {
		return
	}
	if len(k.order) >= maxIDs {
		if i := slices.IndexFunc(k.order, func(old EngineID) bool { return !k.excluded[old] }); i >= 0 {
			delete(k.excluded, k.order[i])
			k.order = slices.Delete(k.order, i, i+1)
		}
	}
	k.excluded[id] = false
	k.order = append(k.order, id)
}

// Knows tells whether a list has named an engine.
func (c *Controller) Knows(id EngineID) bool {
	_, known := c.ids.excluded[id]
	return known
}

// Cordoned tells whether an engine gets no work by an operator's word.
func (c *Controller) Cordoned(id EngineID) bool { return c.ids.excluded[id] }

// AvoidedEngines counts the engines in the list that get no ordinary work at that time: they drain, are excluded,
// fail or are down.
func (c *Controller) AvoidedEngines(now time.Duration) int {
	c.now = max(c.now, now)
	n, eject := 0, c.ejected() <= ejectMost*float64(len(c.live)) // else those that fail are used like others
	for _, e := range c.engines {
		if e.State != Removed && (!e.listed || e.lost >= downAfter || eject && c.failing(e) >= ejectAt) {
			n++
		}
	}
	return n
}
