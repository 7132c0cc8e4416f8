package node

import (
	"log/slog"
	"runtime/debug"
	"sync/atomic"

	"windflow/dispatch"
	"windflow/internal/clock"
	"windflow/internal/installation"
	"windflow/internal/record"
	"windflow/internal/router"
	"windflow/internal/settings"
	"windflow/internal/validate"
)

const (
	// lookEvery is how often the module is asked for its view of engines, in milliseconds, and secondEvery how often what
	// was counted is written.
	lookEvery   = 250.0
	secondEvery = 1000.0
)

// recorder is the part that writes records.
type recorder struct {
	r       *node
	w       *record.Writer
	meter   *record.Meter
	view    dispatch.View
	states  map[dispatch.EngineID]record.State
	seen    map[dispatch.EngineID]bool
	takenAt float64
	samples int // left in this second
	most    int
	turned  int64
	spoilt  int64
}

// recordPart writes records of what the router sees and does.
func recordPart(r *node) *part {
	cfg := r.site.Records
	if cfg == nil {
		return nil
	}
	c := &recorder{r: r, states: map[dispatch.EngineID]record.State{}, seen: map[dispatch.EngineID]bool{}, most: cfg.FailuresPerSecond}
	c.meter = record.NewMeter(func(id uint64) string { return settings.FormatEngineID(dispatch.EngineID(id)) })
	return &part{
		name:        "records",
		descriptors: 2, // a segment, and the folder while it is swept
		start: func(bounds) error {
			program := "windflow"
			if info, ok := debug.ReadBuildInfo(); ok {
				program += " " + info.Main.Version
			}
			now := r.loop.Now
			plain := r.log // what the writer has to say of its disk can't go to that disk
			c.w = record.StartWriter(*cfg, record.Header{
				Router: r.cfg.Name, Incarnation: uint64(r.machine.Self),
				ProcessID: record.NewProcessID(now()), Program: program, Classes: classesOf(r.cfg),
			}, now, func(err error) {
				if err != nil {
					plain.Error("records can't be written; serving goes on", "dir", cfg.Dir, "err", err)
				} else {
					plain.Info("records are written again", "dir", cfg.Dir)
				}
			})
			r.records.put.Store(&c.w)
			r.core.Observer = c
			c.takenAt, c.samples = now(), c.most
			c.look()
			return nil
		},
		configure: func(s *installation.Settings, _ bounds) (kept []string) {
			if s.Records.Dir != cfg.Dir {
				kept, s.Records.Dir = append(kept, "/records/dir"), cfg.Dir
			}
			c.most = s.Records.FailuresPerSecond
			c.w.Configure(*s.Records)
			return kept
		},
		counters: func() []counted { return []counted{{"records", &c.w.Counters}} },
		stop: func() {
			if c.w != nil {
				c.second()
				r.records.put.Store(nil)
				c.w.Close()
			}
		},
	}
}

func classesOf(cfg *settings.Node) (all []record.Class) {
	d, _ := validate.DispatchConfig(cfg, 0)
	for _, k := range d.Classes {
		all = append(all, record.Class{Name: k.Name, PriorityWeight: k.PriorityWeight, LateWeightShare: k.LateWeightShare, ObjectiveMS: clock.Millis(k.LatencyObjective)})
	}
	return all
}

// records joins the log to the records, once there is a writer.
type records struct {
	put atomic.Pointer[*record.Writer]
}

// tee has the log's lines recorded, where records are on.
func (r *records) tee(log *slog.Logger, now func() float64) *slog.Logger {
	return slog.New(record.NewLogHandler(log.Handler(), now, func(e *record.Event) {
		if w := r.put.Load(); w != nil {
			(*w).Put(e)
		}
	}))
}

// look is what the recorder does now and again.
func (c *recorder) look() {
	c.observe()
	if c.r.loop.Now()-c.takenAt >= secondEvery {
		c.second()
	}
	c.r.loop.After(lookEvery, c.look)
}

// EndpointsChanged implements router.Watcher. The change is written in the next step, when the module has been told: all routers
// hear of it at much the same time, so that it ties their clocks together.
func (c *recorder) EndpointsChanged() { c.r.loop.After(0, c.observe) }

// observe writes how engines' states changed.
func (c *recorder) observe() {
	now := c.r.loop.Now()
	c.r.core.FillView(&c.view)
	clear(c.seen)
	for i := range c.view.Engines {
		e := &c.view.Engines[i]
		c.seen[e.ID] = true
		if state := stateOf(e); state != c.states[e.ID] {
			c.change(now, e, state)
		}
		c.meter.SetInFlight(uint64(e.ID), e.Running, e.Threads)
	}
	for id := range c.states {
		if !c.seen[id] {
			c.change(now, &dispatch.EngineView{ID: id}, record.Gone)
			delete(c.states, id)
			c.meter.RemoveEngine(uint64(id))
		}
	}
}

func (c *recorder) change(now float64, e *dispatch.EngineView, state record.State) {
	r := &record.EngineChange{
		AtMS: now, EngineID: settings.FormatEngineID(e.ID), State: state, Previous: c.states[e.ID], Slowness: e.Slowness, FailureRate: e.FailureShare,
		ConnectionFailures: e.ConnectionFailures, Zone: e.Zone, Kind: e.Kind,
	}
	if state == record.WarmingUp {
		r.WarmUpEndMS = clock.Millis(e.WarmUpEnd)
	}
	if c.r.board != nil {
		r.LastEvent = c.r.board.LastEvent()
	}
	c.states[e.ID] = state
	c.w.Put(r)
}

// slowAt is from where on an engine counts as slow against its peers.
const slowAt = 1.5

func stateOf(e *dispatch.EngineView) record.State {
	switch {
	case e.Cordoned:
		return record.Cordoned
	case e.State == dispatch.Draining:
		return record.Draining
	case e.Down:
		return record.Down
	case e.Ejected:
		return record.Ejected
	case e.WarmingUp:
		return record.WarmingUp
	case e.Slowness >= slowAt:
		return record.Slow
	}
	return record.Normal
}

// second writes what was counted since it did so last.
func (c *recorder) second() {
	now := c.r.loop.Now()
	s := &record.Interval{
		AtMS: now, DurationMS: now - c.takenAt, OpenRequests: c.r.core.OpenRequests(), QueuedRequests: c.view.Queued, Congestion: c.view.Congestion,
		EngineConnections: c.r.client.ConnCount(), ClientSessions: c.r.front.Sessions(),
	}
	s.Classes, s.Engines = c.meter.Collect()
	turned, spoilt := c.r.front.Counters.Rejected+c.r.front.Counters.Evicted, c.r.client.Counters.BadResponses
	s.RejectedSessions, s.InvalidResponses = turned-c.turned, spoilt-c.spoilt
	c.turned, c.spoilt = turned, spoilt
	if b := c.r.board; b != nil {
		s.LastEvent, s.DiscoveryAgeMS = b.LastEvent(), now-b.LastContactMS()
	}
	c.takenAt, c.samples = now, c.most
	c.w.Put(s)
}

// RequestArrived implements router.Watcher.
func (c *recorder) RequestArrived(q *router.Request) {
	c.meter.RequestArrived(q.Class, q.Tenant, q.Retry, q.EstimateMS)
}

// RequestAnswered implements router.Watcher.
func (c *recorder) RequestAnswered(q *router.Request, what router.Answer) {
	how := record.RequestFailed
	switch what.Kind {
	case router.AnswerServed:
		if how = record.RequestOnTime; what.TookMS > what.ObjectiveMS {
			how = record.RequestLate
		}
	case router.AnswerRejected:
		how = record.RequestRejected
	case router.AnswerClientGone:
		how = record.RequestCancelled
	}
	c.meter.RequestEnded(q.Class, q.Tenant, how, what.TookMS)
	if (how == record.RequestRejected || how == record.RequestFailed) && c.samples > 0 {
		c.samples--
		a := &record.RequestFailure{
			AtMS: c.r.loop.Now(), RequestID: q.ID, Class: q.Class, Tenant: q.Tenant, Rejected: how == record.RequestRejected,
			Reason: what.Reason, AfterMS: what.TookMS,
		}
		if what.Engine != 0 {
			a.EngineID = settings.FormatEngineID(what.Engine)
		}
		c.w.Put(a)
	}
}

// AttemptStarted implements router.Watcher.
func (c *recorder) AttemptStarted(e dispatch.EngineID) { c.meter.AttemptStarted(uint64(e)) }

var ends = map[dispatch.Outcome]record.AttemptOutcome{
	dispatch.Served: record.AttemptServed, dispatch.EngineFull: record.AttemptRejected, dispatch.EngineFailed: record.AttemptErrored,
	dispatch.ConnectFailed: record.AttemptConnectionFailed, dispatch.ConnectionReset: record.AttemptConnectionFailed, dispatch.TimedOut: record.AttemptTimedOut,
}

// AttemptEnded implements router.Watcher.
func (c *recorder) AttemptEnded(e dispatch.EngineID, outcome dispatch.Outcome, tookMS float64) {
	how, ok := ends[outcome]
	if !ok {
		how = record.AttemptOther
	}
	c.meter.AttemptEnded(uint64(e), how, tookMS)
}
