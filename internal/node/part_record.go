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
	// observeIntervalMS is how often the dispatch module's view of engines is read, and writeIntervalMS how often the
	// counted figures are written.
	observeIntervalMS = 250.0
	writeIntervalMS   = 1000.0
	// recordDescriptors is the number of descriptors that the part may hold: the open segment, and the folder while old
	// segments are deleted.
	recordDescriptors = 2
	// slowThreshold is the factor by which an engine has to be slower than its peers to be recorded as slow.
	slowThreshold = 1.5
)

// recorder implements router.Observer: it writes records of the states of engines, of requests and of attempts.
type recorder struct {
	loop          *router.Loop
	services      *services
	log           *recordedLog
	writer        *record.Writer
	meter         *record.Meter
	view          dispatch.View
	states        map[dispatch.EngineID]record.State
	seen          map[dispatch.EngineID]bool
	intervalStart float64
	samplesLeft   int // number of failed requests that may still be recorded in this interval
	// maxSamples is how many failed requests are recorded in an interval of one second.
	maxSamples       int
	rejectedSessions int64 // count of rejected and evicted sessions at intervalStart
	invalidResponses int64 // count of engines' invalid responses at intervalStart
}

// recordPart returns the part that writes records for later analysis.
func recordPart(n *node) *part {
	cfg := n.active.site.Records
	if cfg == nil {
		return nil
	}
	rec := &recorder{
		loop: n.loop, services: &n.services, log: &n.recordedLog, states: map[dispatch.EngineID]record.State{},
		seen: map[dispatch.EngineID]bool{}, maxSamples: cfg.FailuresPerSecond,
		meter: record.NewMeter(func(id uint64) string { return settings.FormatEngineID(dispatch.EngineID(id)) }),
	}
	return &part{
		name:        "records",
		descriptors: recordDescriptors,
		start: func(limits) error {
			platform := n.active.platform
			rec.start(*cfg, record.Header{
				Router: platform.Name, Incarnation: n.restart.processNumber(),
				ProcessID: record.NewProcessID(n.loop.Now()), Program: programVersion(), Classes: recordedClasses(platform),
			}, n.log)
			return nil
		},
		configure: func(s *installation.Settings, _ limits) (kept []string) {
			if s.Records.Dir != cfg.Dir {
				kept, s.Records.Dir = append(kept, "/records/dir"), cfg.Dir
			}
			rec.maxSamples = s.Records.FailuresPerSecond
			rec.writer.Configure(*s.Records)
			return kept
		},
		counters: func() []counterGroup { return []counterGroup{{"records", &rec.writer.Counters}} },
		stop: func() {
			if rec.writer != nil {
				rec.writeInterval()
				rec.log.writer.Store(nil)
				rec.writer.Close()
			}
		},
	}
}

// start starts the writer, registers the recorder as the core's observer, and begins to observe engines.
func (c *recorder) start(cfg record.Config, header record.Header, log *slog.Logger) {
	c.writer = record.StartWriter(cfg, header, c.loop.Now, func(err error) {
		if err != nil {
			log.Error("record write failed", "dir", cfg.Dir, "error", err)
		} else {
			log.Info("record write recovered", "dir", cfg.Dir)
		}
	})
	c.log.writer.Store(c.writer)
	c.services.core.Observer = c
	c.intervalStart, c.samplesLeft = c.loop.Now(), c.maxSamples
	c.sample()
}

// programVersion returns the name of the program and, if known, the version that it was built from.
func programVersion() string {
	program := "windflow"
	if info, ok := debug.ReadBuildInfo(); ok {
		program += " " + info.Main.Version
	}
	return program
}

// recordedClasses returns the classes of a configuration for the header of the records.
func recordedClasses(cfg *settings.Node) (all []record.Class) {
	decisions, _ := validate.DispatchConfig(cfg, 0)
	for _, class := range decisions.Classes {
		all = append(all, record.Class{
			Name: class.Name, PriorityWeight: class.PriorityWeight, LateWeightShare: class.LateWeightShare,
			ObjectiveMS: clock.Millis(class.LatencyObjective),
		})
	}
	return all
}

// recordedLog writes log lines to the records once the writer is set.
type recordedLog struct {
	writer atomic.Pointer[record.Writer]
}

// tee returns a logger that writes to log and, once the writer is set, to the records.
func (l *recordedLog) tee(log *slog.Logger, now func() float64) *slog.Logger {
	return slog.New(record.NewLogHandler(log.Handler(), now, func(e *record.Event) {
		if writer := l.writer.Load(); writer != nil {
			writer.Put(e)
		}
	}))
}

// sample observes the engines every observeIntervalMS, and writes the counted figures every writeIntervalMS.
func (c *recorder) sample() {
	c.observe()
	if c.loop.Now()-c.intervalStart >= writeIntervalMS {
		c.writeInterval()
	}
	c.loop.After(observeIntervalMS, c.sample)
}

// EndpointsChanged implements router.Observer. The change is written in the loop's next step, when the dispatch module
// knows it, and not at the next sample: all routers learn of such a change at nearly the same time, so that these
// records relate the clocks of the routers to each other.
func (c *recorder) EndpointsChanged() { c.loop.After(0, c.observe) }

// observe writes a record for each engine whose state has changed or that is no longer listed.
func (c *recorder) observe() {
	now := c.loop.Now()
	c.services.core.FillView(&c.view)
	clear(c.seen)
	for i := range c.view.Engines {
		engine := &c.view.Engines[i]
		c.seen[engine.ID] = true
		if state := engineState(engine); state != c.states[engine.ID] {
			c.writeState(now, engine, state)
		}
		c.meter.SetInFlight(uint64(engine.ID), engine.Running, engine.Threads)
	}
	for id := range c.states {
		if !c.seen[id] {
			c.writeState(now, &dispatch.EngineView{ID: id}, record.Gone)
			delete(c.states, id)
			c.meter.RemoveEngine(uint64(id))
		}
	}
}

// writeState writes the change of an engine to a state.
func (c *recorder) writeState(now float64, engine *dispatch.EngineView, state record.State) {
	change := &record.EngineChange{
		AtMS: now, EngineID: settings.FormatEngineID(engine.ID), State: state, Previous: c.states[engine.ID],
		Slowness: engine.Slowness, FailureRate: engine.FailureShare, ConnectionFailures: engine.ConnectionFailures,
		Zone: engine.Zone, Kind: engine.Kind,
	}
	if state == record.WarmingUp {
		change.WarmUpEndMS = clock.Millis(engine.WarmUpEnd)
	}
	if c.services.endpoints != nil {
		change.LastEvent = c.services.endpoints.LastEvent()
	}
	c.states[engine.ID] = state
	c.writer.Put(change)
}

// engineState returns the state with which an engine is recorded. If several apply, the first one below counts.
func engineState(engine *dispatch.EngineView) record.State {
	switch {
	case engine.Cordoned:
		return record.Cordoned
	case engine.State == dispatch.Draining:
		return record.Draining
	case engine.Down:
		return record.Down
	case engine.Ejected:
		return record.Ejected
	case engine.WarmingUp:
		return record.WarmingUp
	case engine.Slowness >= slowThreshold:
		return record.Slow
	}
	return record.Normal
}

// writeInterval writes the figures counted since the last call, and starts a new interval.
func (c *recorder) writeInterval() {
	now := c.loop.Now()
	front, engines := c.services.front, c.services.engines
	interval := &record.Interval{
		AtMS: now, DurationMS: now - c.intervalStart, OpenRequests: c.services.core.OpenRequests(),
		QueuedRequests: c.view.Queued, Congestion: c.view.Congestion,
		EngineConnections: engines.ConnCount(), ClientSessions: front.Sessions(),
	}
	interval.Classes, interval.Engines = c.meter.Collect()
	rejectedSessions, invalidResponses := front.Counters.Rejected+front.Counters.Evicted, engines.Counters.BadResponses
	interval.RejectedSessions = rejectedSessions - c.rejectedSessions
	interval.InvalidResponses = invalidResponses - c.invalidResponses
	c.rejectedSessions, c.invalidResponses = rejectedSessions, invalidResponses
	if endpoints := c.services.endpoints; endpoints != nil {
		interval.LastEvent, interval.DiscoveryAgeMS = endpoints.LastEvent(), now-endpoints.LastContactMS()
	}
	c.intervalStart, c.samplesLeft = now, c.maxSamples
	c.writer.Put(interval)
}

// RequestArrived implements router.Observer. It counts the request.
func (c *recorder) RequestArrived(q *router.Request) {
	c.meter.RequestArrived(q.Class, q.Tenant, q.Retry, q.EstimateMS)
}

// RequestAnswered implements router.Observer. It counts the outcome, and records a rejected or failed request while
// fewer than maxSamples have been recorded in the interval.
func (c *recorder) RequestAnswered(request *router.Request, answer router.Answer) {
	outcome := requestOutcome(answer)
	c.meter.RequestEnded(request.Class, request.Tenant, outcome, answer.TookMS)
	if outcome != record.RequestRejected && outcome != record.RequestFailed || c.samplesLeft == 0 {
		return
	}
	c.samplesLeft--
	failure := &record.RequestFailure{
		AtMS: c.loop.Now(), RequestID: request.ID, Class: request.Class, Tenant: request.Tenant,
		Rejected: outcome == record.RequestRejected, Reason: answer.Reason, AfterMS: answer.TookMS,
	}
	if answer.Engine != 0 {
		failure.EngineID = settings.FormatEngineID(answer.Engine)
	}
	c.writer.Put(failure)
}

// requestOutcome returns the outcome with which an answered request is counted.
func requestOutcome(answer router.Answer) record.RequestOutcome {
	switch answer.Kind {
	case router.AnswerServed:
		if answer.TookMS > answer.ObjectiveMS {
			return record.RequestLate
		}
		return record.RequestOnTime
	case router.AnswerRejected:
		return record.RequestRejected
	case router.AnswerClientGone:
		return record.RequestCancelled
	case router.AnswerFailed:
	}
	return record.RequestFailed
}

// AttemptStarted implements router.Observer. It counts the attempt.
func (c *recorder) AttemptStarted(e dispatch.EngineID) { c.meter.AttemptStarted(uint64(e)) }

// attemptOutcomes maps outcomes of attempts to those in records; others are recorded as AttemptOther.
var attemptOutcomes = map[dispatch.Outcome]record.AttemptOutcome{
	dispatch.Served:          record.AttemptServed,
	dispatch.EngineFull:      record.AttemptRejected,
	dispatch.EngineFailed:    record.AttemptErrored,
	dispatch.ConnectFailed:   record.AttemptConnectionFailed,
	dispatch.ConnectionReset: record.AttemptConnectionFailed,
	dispatch.TimedOut:        record.AttemptTimedOut,
}

// AttemptEnded implements router.Observer. It counts the outcome.
func (c *recorder) AttemptEnded(e dispatch.EngineID, outcome dispatch.Outcome, tookMS float64) {
	recorded, ok := attemptOutcomes[outcome]
	if !ok {
		recorded = record.AttemptOther
	}
	c.meter.AttemptEnded(uint64(e), recorded, tookMS)
}
