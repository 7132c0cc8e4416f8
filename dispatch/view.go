package dispatch

import "time"

// EngineView shows what a controller knows about an engine, for records and consoles.
type EngineView struct {
	ID                 EngineID
	Zone, Kind         string
	State              EndpointState // as in the endpoint list
	Cordoned           bool
	WarmingUp          bool
	Ejected            bool // so many of its attempts failed that other engines are preferred
	Down               bool // too many consecutive attempts found no connection or lost it
	WarmUpEnd          time.Duration
	Slowness           float64 // its service times divided by the usual ones
	FailureShare       float64 // decaying share of its recent attempts that failed
	ConnectionFailures int     // number of consecutive attempts that found no connection or lost it
	Running            int     // number of attempts of this process
	Threads            float64 // threads of these attempts
	Work               float64 // estimated work of these attempts in core seconds
}

// View shows what a controller knows about the fleet.
type View struct {
	Engines        []EngineView
	Queued         int
	Congestion     float64 // from 0 to 1
	ThreadsPerCore float64 // maximum number of threads per core for this router
}

// FillView fills a view and reuses its slice. It changes nothing but the controller's time.
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
