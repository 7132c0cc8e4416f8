package dispatch

import "time"

// This file shows what a controller thinks of the fleet, for records and consoles. It decides nothing and changes
// nothing but the controller's notion of the time.

// EngineView is what a controller thinks of an engine.
type EngineView struct {
	ID             EngineID
	Zone, Kind     string
	State          EngineState // as the list says
	Excluded       bool        // by hand
	Cold           bool        // started not long ago
	Failing        bool        // so many of its attempts fail that others are preferred
	Down           bool        // attempts in a row met no connection, or lost it
	WarmAt         time.Duration
	Slow           float64 // its times over its peers', 1 for like them
	Fail           float64 // share of late attempts that failed, fading
	Lost           int     // attempts in a row that met no connection, or lost it
	Running        int     // own attempts
	Threads, Works float64 // theirs, and their estimated work in seconds
}

// View is what a controller thinks of the fleet.
type View struct {
	Engines []EngineView
	Held    int     // requests that are not sent
	Jam     float64 // 0 for none to 1
	Bound   float64 // own threads a core
}

// See fills a view, whose slice it uses again.
func (c *Controller) See(now time.Duration, v *View) {
	c.now = max(c.now, now)
	v.Engines, v.Held, v.Jam, v.Bound = v.Engines[:0], c.held, 0, 0
	if share := c.share(); c.prefer != nil && share > 0 {
		v.Bound = c.bound()
		v.Jam, _ = c.jam()
	}
	for _, e := range c.engines {
		if e.State == Gone {
			continue
		}
		threads := e.threads - e.peer.Threads + e.prefer - e.peer.Prefer
		v.Engines = append(v.Engines, EngineView{ID: e.ID, Zone: e.Zone, Kind: e.Kind, State: e.State,
			Excluded: c.Excluded(e.ID), Cold: e.warmAt > c.now, WarmAt: e.warmAt,
			Failing: c.failing(e) >= ejectAt, Down: e.lost >= downAfter, Lost: e.lost,
			Slow: c.slowness(e), Fail: c.failing(e),
			Running: len(e.running), Threads: threads, Works: e.work - e.peer.Work})
	}
}
