package dispatch

import "time"

// EngineView is what a controller knows of an engine, for records and consoles.
type EngineView struct {
	ID                 EngineID
	Zone, Kind         string
	State              EndpointState // as the endpoint list says
	Cordoned           bool
	WarmingUp          bool
	Ejected            bool // so many of its attempts fail that other engines are preferred
	Down               bool // attempts in a row met no connection, or lost it
	WarmUpEnd          time.Duration
	Slowness           float64 // its service times over the usual ones
	FailureShare       float64 // of its late attempts, fading
	ConnectionFailures int     // attempts in a row that met no connection, or lost it
	Running            int     // this process's attempts
	Threads            float64 // of these attempts
	Work               float64 // estimated work of these attempts in core seconds
}

// View is what a controller knows of the fleet.
type View struct {
	Engines        []EngineView
	Queued         int
	Congestion     float64 // from 0 to 1
	ThreadsPerCore float64 // bound of this router's threads
}

// FillView fills a view, whose slice it uses again. It changes nothing but the controller's time.
func (c *Controller) FillView(now time.Duration, view *View) {
	c.env.advance(now)
	view.Queued = c.queues.len()
	view.ThreadsPerCore = c.capacity.threadBound()
	view.Congestion, _ = c.capacity.congestion()
	view.Engines = view.Engines[:0]
	for _, e := range c.endpoints.engines() {
		if e.State != Removed {
			view.Engines = append(view.Engines, e.view(c.env, c.Cordoned(e.ID)))
		}
	}
}

func (e *engine) view(env *environment, cordoned bool) EngineView {
	own := e.usage.own(e.ID)
	return EngineView{
		ID:                 e.ID,
		Zone:               e.Zone,
		Kind:               e.Kind,
		State:              e.State,
		Cordoned:           cordoned,
		WarmingUp:          e.warmUp.active(env.now),
		Ejected:            e.health.ejected(env),
		Down:               e.health.down(),
		WarmUpEnd:          e.warmUp.end,
		Slowness:           e.health.currentSlowness(env),
		FailureShare:       e.health.currentFailureShare(env),
		ConnectionFailures: e.health.connectionFailures,
		Running:            len(e.running),
		Threads:            own.Threads + own.PreferredThreads,
		Work:               own.Work,
	}
}
