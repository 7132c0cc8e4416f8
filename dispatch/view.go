package dispatch

import "time"

// This file shows what a controller thinks of the fleet, for records and consoles. It decides nothing and changes
// nothing but the controller's notion of the time.

// EngineView is what a controller thinks of an engine.
type EngineView struct {
	ID                 EngineID
	Zone, Kind         string
	State              EndpointState // as the list says
	Cordoned           bool          // by hand
	WarmingUp          bool          // started not long ago
	Ejected            bool          // so many of its attempts fail that others are preferred
	Down               bool          // attempts in a row met no connection, or lost it
	WarmUpEnd          time.Duration
	Slowness           float64 // its times over its peers', 1 for like them
	FailureShare       float64 // share of late attempts that failed, fading
	ConnectionFailures int     // attempts in a row that met no connection, or lost it
	Running            int     // own attempts
	Threads, Work      float64 // theirs, and their estimated work in seconds
}

// View is what a controller thinks of the fleet.
type View struct {
	Engines        []EngineView
	Queued         int     // requests that are not sent
	Congestion     float64 // 0 for none to 1
	ThreadsPerCore float64 // own threads a core
}

// FillView fills a view, whose slice it uses again.
func (c *Controller) FillView(now time.Duration, v *View) {
	c.now = max(c.now, now)
	v.Engines, v.Queued, v.Congestion, v.ThreadsPerCore = v.Engines[:0], c.held, 0, 0
	if share := c.share(); c.prefer != nil && share > 0 {
		v.ThreadsPerCore = c.bound()
		v.Congestion, _ = c.jam()
	}
	for _, e := range c.engines {
		if e.State == Removed {
			continue
		}
		threads := e.threads - e.peer.Threads + e.prefer - e.peer.PreferredThreads
		v.Engines = append(v.Engines, EngineView{ID: e.ID, Zone: e.Zone, Kind: e.Kind, State: e.State,
			Cordoned: c.Cordoned(e.ID), WarmingUp: e.warmAt > c.now, WarmUpEnd: e.warmAt,
			Ejected: c.failing(e) >= ejectAt, Down: e.lost >= downAfter, ConnectionFailures: e.lost,
			Slowness: c.slowness(e), FailureShare: c.failing(e),
			Running: len(e.running), Threads: threads, Work: e.work - e.peer.Work})
	}
}
