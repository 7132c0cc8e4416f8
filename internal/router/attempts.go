package router

import (
	"log/slog"
	"sync/atomic"

	"windflow/dispatch"
	"windflow/internal/clock"
)

// attempt is one attempt of a request at an engine.
type attempt struct {
	request    *request
	number     int // among the request's attempts, from 0
	engine     dispatch.EngineID
	startedAt  float64
	progressAt float64 // when its progress was last passed to the module
	call       Attempt // nil until the engine client has started it
	timeout    *Timer
	startLimit *Timer // at its latest start, if it has one
	exclusive  bool   // see Call
	canceled   bool   // the engine was asked to cancel it
	ended      bool
	outcome    dispatch.Outcome // once it has ended
}

// attemptTracker starts attempts on the engine client, and reports their progress and their ends to the dispatch module.
type attemptTracker struct {
	loop       *Loop
	log        *slog.Logger
	client     EngineClient
	settings   *atomic.Pointer[settings]
	hooks      *Hooks
	statistics *Statistics
	queue      *eventQueue
	requests   *requestTable
	ids        *requestIDs
	endpoints  *endpointTable
	// onServed is called with an attempt that served its request, if that is still open.
	onServed func(*attempt, *Result)
}

// start starts an attempt. One that can no longer be sent ends at once, in a way that proves that it never ran.
func (t *attemptTracker) start(action dispatch.StartAttempt) {
	r := t.requests.byKey[action.Request]
	if r == nil {
		t.log.Error("attempt for unknown request", "request", action.Request)
		return
	}
	now := t.loop.Now()
	a := &attempt{request: r, number: len(r.attempts), engine: action.Engine, startedAt: now}
	r.attempts = append(r.attempts, a)
	r.outstanding++
	wait := r.deadline - now
	if action.Timeout > 0 {
		wait = min(wait, clock.Millis(action.Timeout))
	}
	engine, listed := t.endpoints.engines[action.Engine]
	maxAttempts := t.settings.Load().maxAttempts
	switch {
	case !r.open(), !listed, wait <= 0, maxAttempts > 0 && len(r.attempts) > maxAttempts:
		a.call = unstartedAttempt{}
		t.end(a, End{Outcome: dispatch.NotSent})
	case t.endpoints.unavailable[action.Engine]:
		// Two events about the engine came in one step: the module decided after the first one.
		a.call = unstartedAttempt{}
		t.end(a, End{Outcome: dispatch.ConnectFailed, Detail: "engine draining or removed"})
	default:
		t.send(a, engine, wait, clock.Millis(action.StartWithin))
	}
}

// send passes an attempt to the engine client. A startWithin over 0 limits the time until the attempt starts.
func (t *attemptTracker) send(a *attempt, engine Engine, wait, startWithin float64) {
	r, current := a.request, t.settings.Load()
	t.statistics.Counters.Attempts++
	if t.hooks.Observer != nil {
		t.hooks.Observer.AttemptStarted(a.engine)
	}
	semantics := current.classes[r.Class].Semantics
	// An at-most-once request that may have run gets no further attempt, and its end is due at once.
	a.exclusive = current.exclusive && semantics != dispatch.AtMostOnce
	if semantics == dispatch.AtMostOnce {
		t.ids.consume(r.ID)
	}
	call := Call{
		Engine: engine, ID: r.ID, Class: r.Class, Statement: r.Statement, WaitMS: wait,
		GrantMB: r.grantMB, Priority: r.priority, Update: r.Update,
		AtMostOnce: semantics != dispatch.Idempotent, Exclusive: a.exclusive, CancelAllowed: current.cancelAllowed,
		OnSent:     func() { t.statistics.ByClass[r.Class].Forwards++ },
		OnProgress: func(progress AttemptProgress) { t.progress(a, progress) },
	}
	if startWithin > 0 {
		call.LatestStartMS = a.startedAt + startWithin
	}
	a.call = t.client.Start(call, func(end End) { t.end(a, end) })
	t.endAt(a, a.startedAt+wait, "no answer in time")
	if startWithin > 0 {
		a.startLimit = t.loop.After(startWithin, func() {
			t.cancelUnsent(a, dispatch.ConnectFailed, "not started in time")
		})
	}
}

// endAt sets when an attempt times out.
func (t *attemptTracker) endAt(a *attempt, at float64, detail string) {
	a.timeout.Stop()
	a.timeout = t.loop.At(at, func() { t.end(a, End{Outcome: dispatch.TimedOut, Detail: detail}) })
}

// setResources sets the memory grant of a request's next attempts, and the priority of all of them.
func (t *attemptTracker) setResources(action dispatch.SetResources) {
	r := t.requests.byKey[action.Request]
	if r == nil {
		return
	}
	r.grantMB = action.GrantMB
	if action.Priority == r.priority {
		return
	}
	r.priority = action.Priority
	for _, a := range r.attempts {
		if !a.ended {
			a.call.SetPriority(action.Priority)
		}
	}
}

// cancel cancels an attempt. An exclusive one stays outstanding until the engine has canceled it.
func (t *attemptTracker) cancel(action dispatch.CancelAttempt) {
	r := t.requests.byKey[action.Request]
	if r == nil || action.Attempt >= len(r.attempts) {
		return
	}
	a := r.attempts[action.Attempt]
	if a.ended || a.canceled {
		return
	}
	t.cancelUnsent(a, dispatch.ConnectFailed, "canceled before it was sent")
	if a.ended {
		return
	}
	a.canceled = true
	a.call.Cancel()
	if !a.exclusive {
		t.end(a, End{Outcome: dispatch.Cancelled})
	}
}

// cancelUnsent ends an attempt that was not sent completely, as one that never ran. It guards against attempts that
// start long after the module decided on them, because they wait for a connection or for a dial.
func (t *attemptTracker) cancelUnsent(a *attempt, outcome dispatch.Outcome, detail string) {
	if !a.ended && a.call != nil && a.call.CancelUnsent() {
		t.end(a, End{Outcome: outcome, Detail: detail})
	}
}

// cancelAllUnsent ends those attempts of an answered request that were not sent completely.
func (t *attemptTracker) cancelAllUnsent(r *request) {
	for _, a := range r.attempts {
		t.cancelUnsent(a, dispatch.NotSent, "request answered or abandoned")
	}
}

// limitTimeouts has the outstanding attempts of a request time out at the shutdown deadline.
func (t *attemptTracker) limitTimeouts(r *request, shutdownAt float64) {
	for _, a := range r.attempts {
		if !a.ended && a.timeout != nil {
			t.endAt(a, shutdownAt, "router shuts down")
		}
	}
}

// progress passes an engine's load report to the module and, if engines report progress, that of an attempt. An answer
// that says only that the attempt is alive is passed on twice per progress interval at most.
func (t *attemptTracker) progress(a *attempt, progress AttemptProgress) {
	now := t.loop.Now()
	if progress.Report != nil && t.endpoints.recordLoad(a.engine, *progress.Report, now) {
		t.queue.add(dispatch.EngineLoad{Engine: a.engine, Report: *progress.Report})
	}
	interval := t.settings.Load().progressIntervalMS
	if a.ended || progress.Final || interval <= 0 {
		return
	}
	if progress.Kind == dispatch.ProgressAlive && now-a.progressAt < interval/2 {
		return
	}
	a.progressAt = now
	t.queue.add(dispatch.AttemptProgress{
		Request: a.request.key, Attempt: a.number, Kind: progress.Kind, Amount: progress.Amount,
	})
}

// end ends an attempt and reports that to the module. The first attempt that is served answers the request.
func (t *attemptTracker) end(a *attempt, end End) {
	if a.ended {
		t.statistics.Counters.EndsAfterEnd++
		return
	}
	r := a.request
	a.ended, a.outcome = true, end.Outcome
	if t.hooks.Observer != nil {
		t.hooks.Observer.AttemptEnded(a.engine, end.Outcome, t.loop.Now()-a.startedAt)
	}
	a.timeout.Stop()
	a.startLimit.Stop()
	a.call.Abandon()
	r.outstanding--
	t.statistics.Counters.Outcomes[end.Outcome]++
	if provesNotRun(end.Outcome) {
		t.ids.release(r.ID) // no earlier attempt may have run: the module would not have started this one
	}
	if end.Outcome != dispatch.Served {
		t.log.Debug("attempt ended", "request_id", r.ID, "class", r.Class, "outcome", end.Outcome,
			"detail", end.Detail, "took", t.loop.Now()-a.startedAt)
	} else if r.open() {
		t.onServed(a, end.Result)
	}
	t.reportEnd(a, end.Result)
	t.requests.removeEnded(r)
}

// reportEnd queues the end of an attempt for the module.
func (t *attemptTracker) reportEnd(a *attempt, result *Result) {
	event := dispatch.AttemptEnd{
		Request: a.request.key, Attempt: a.number, Outcome: a.outcome,
		Took: clock.Duration(t.loop.Now() - a.startedAt), Last: !a.request.open(),
	}
	if result != nil {
		event.Work, event.NeedMB = clock.Duration(result.WorkMS), result.NeedMB
	}
	t.queue.add(event)
}

// provesNotRun reports whether an outcome proves that the attempt never ran.
func provesNotRun(outcome dispatch.Outcome) bool {
	return outcome == dispatch.EngineFull || outcome == dispatch.ConnectFailed || outcome == dispatch.NotSent
}
