package router

import (
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
	canceled   bool   // the engine was requested to cancel it
	ended      bool
	outcome    dispatch.Outcome // once it has ended
}

// attemptTracker starts attempts on the engine client, and reports their progress and their ends to the dispatch
// module.
type attemptTracker struct {
	dependencies
	client EngineClient
	// onServed is called with an attempt that served its request, if that is still open.
	onServed func(*attempt, *Result)
}

// start starts an attempt. One that can no longer be sent ends at once, in a way that proves that it never ran.
func (t *attemptTracker) start(action dispatch.StartAttempt) {
	request := t.requests.get(action.Request)
	if request == nil {
		t.log.Error("attempt for unknown request", "request", action.Request)
		return
	}
	now := t.loop.Now()
	newAttempt := &attempt{request: request, number: len(request.attempts), engine: action.Engine, startedAt: now}
	request.attempts = append(request.attempts, newAttempt)
	request.outstanding++
	wait := request.deadline - now
	if action.Timeout > 0 {
		wait = min(wait, clock.Millis(action.Timeout))
	}
	engine, listed := t.endpoints.engines[action.Engine]
	maxAttempts := t.settings.Load().maxAttempts
	switch {
	case !request.open(), !listed, wait <= 0, maxAttempts > 0 && len(request.attempts) > maxAttempts:
		newAttempt.call = unstartedAttempt{}
		t.end(newAttempt, End{Outcome: dispatch.NotSent})
	case t.endpoints.unavailable[action.Engine]:
		// Two events about the engine were posted in one step: the module decided after the first one.
		newAttempt.call = unstartedAttempt{}
		t.end(newAttempt, End{Outcome: dispatch.ConnectFailed, Detail: "engine draining or removed"})
	default:
		t.send(newAttempt, engine, wait, clock.Millis(action.StartWithin))
	}
}

// send passes an attempt to the engine client. A startWithin over 0 limits the time until the attempt starts.
func (t *attemptTracker) send(attempt *attempt, engine Engine, wait, startWithin float64) {
	request, current := attempt.request, t.settings.Load()
	t.statistics.Counters.Attempts++
	if t.hooks.Observer != nil {
		t.hooks.Observer.AttemptStarted(attempt.engine)
	}
	semantics := current.classes[request.Class].Semantics
	// An at-most-once request that may have run gets no further attempt, and its end is due at once.
	attempt.exclusive = current.exclusive && semantics != dispatch.AtMostOnce
	if semantics == dispatch.AtMostOnce {
		t.ids.consume(request.ID)
	}
	call := Call{
		Engine: engine, ID: request.ID, Class: request.Class, Statement: request.Statement, WaitMS: wait,
		GrantMB: request.grantMB, Priority: request.priority, Update: request.Update,
		AtMostOnce: semantics != dispatch.Idempotent,
		Exclusive:  attempt.exclusive, CancelAllowed: current.cancelAllowed,
		OnSent:     func() { t.statistics.ByClass[request.Class].Forwards++ },
		OnProgress: func(progress AttemptProgress) { t.progress(attempt, progress) },
	}
	if startWithin > 0 {
		call.LatestStartMS = attempt.startedAt + startWithin
	}
	attempt.call = t.client.Start(call, func(end End) { t.end(attempt, end) })
	t.setTimeout(attempt, attempt.startedAt+wait, "no answer in time")
	if startWithin > 0 {
		attempt.startLimit = t.loop.After(startWithin, func() {
			t.cancelUnsent(attempt, dispatch.ConnectFailed, "not started in time")
		})
	}
}

// setTimeout sets when an attempt times out.
func (t *attemptTracker) setTimeout(attempt *attempt, at float64, detail string) {
	attempt.timeout.Stop()
	attempt.timeout = t.loop.At(at, func() { t.end(attempt, End{Outcome: dispatch.TimedOut, Detail: detail}) })
}

// setResources sets the memory grant of a request's next attempts, and the priority of all of them.
func (t *attemptTracker) setResources(action dispatch.SetResources) {
	request := t.requests.get(action.Request)
	if request == nil {
		return
	}
	request.grantMB = action.GrantMB
	if action.Priority == request.priority {
		return
	}
	request.priority = action.Priority
	for _, attempt := range request.attempts {
		if !attempt.ended {
			attempt.call.SetPriority(action.Priority)
		}
	}
}

// cancel cancels an attempt. An exclusive one stays outstanding until the engine has canceled it.
func (t *attemptTracker) cancel(action dispatch.CancelAttempt) {
	request := t.requests.get(action.Request)
	if request == nil || action.Attempt >= len(request.attempts) {
		return
	}
	attempt := request.attempts[action.Attempt]
	if attempt.ended || attempt.canceled {
		return
	}
	t.cancelUnsent(attempt, dispatch.ConnectFailed, "canceled before it was sent")
	if attempt.ended {
		return
	}
	attempt.canceled = true
	attempt.call.Cancel()
	if !attempt.exclusive {
		t.end(attempt, End{Outcome: dispatch.Cancelled})
	}
}

// cancelUnsent ends an attempt that was not sent completely, as one that never ran. It guards against attempts that
// start long after the module decided on them, because they wait for a connection or for a dial.
func (t *attemptTracker) cancelUnsent(attempt *attempt, outcome dispatch.Outcome, detail string) {
	if !attempt.ended && attempt.call != nil && attempt.call.CancelUnsent() {
		t.end(attempt, End{Outcome: outcome, Detail: detail})
	}
}

// cancelAllUnsent ends those attempts of an answered request that were not sent completely.
func (t *attemptTracker) cancelAllUnsent(request *request) {
	for _, attempt := range request.attempts {
		t.cancelUnsent(attempt, dispatch.NotSent, "request answered or abandoned")
	}
}

// limitTimeouts moves the timeouts of a request's outstanding attempts to the shutdown deadline.
func (t *attemptTracker) limitTimeouts(request *request, shutdownAt float64) {
	for _, attempt := range request.attempts {
		if !attempt.ended && attempt.timeout != nil {
			t.setTimeout(attempt, shutdownAt, "router shuts down")
		}
	}
}

// progress passes an engine's load report to the module and, if engines report progress, that of an attempt. An answer
// that says only that the attempt is alive is passed on twice per progress interval at most.
func (t *attemptTracker) progress(attempt *attempt, progress AttemptProgress) {
	now := t.loop.Now()
	if progress.Report != nil && t.endpoints.recordLoad(attempt.engine, *progress.Report, now) {
		t.queue.add(dispatch.EngineLoad{Engine: attempt.engine, Report: *progress.Report})
	}
	interval := t.settings.Load().progressIntervalMS
	if attempt.ended || progress.Final || interval <= 0 {
		return
	}
	if progress.Kind == dispatch.ProgressAlive && now-attempt.progressAt < interval/2 {
		return
	}
	attempt.progressAt = now
	t.queue.add(dispatch.AttemptProgress{
		Request: attempt.request.key, Attempt: attempt.number, Kind: progress.Kind, Amount: progress.Amount,
	})
}

// end ends an attempt and reports that to the module. The first attempt that is served answers the request.
func (t *attemptTracker) end(attempt *attempt, end End) {
	if attempt.ended {
		t.statistics.Counters.DuplicateEnds++
		return
	}
	request := attempt.request
	attempt.ended, attempt.outcome = true, end.Outcome
	if t.hooks.Observer != nil {
		t.hooks.Observer.AttemptEnded(attempt.engine, end.Outcome, t.loop.Now()-attempt.startedAt)
	}
	attempt.timeout.Stop()
	attempt.startLimit.Stop()
	attempt.call.Abandon()
	request.outstanding--
	t.statistics.Counters.Outcomes[end.Outcome]++
	if provesNotRun(end.Outcome) {
		t.ids.release(request.ID) // no earlier attempt may have run: the module would not have started this one
	}
	if end.Outcome != dispatch.Served {
		t.log.Debug("attempt ended", "request_id", request.ID, "class", request.Class, "outcome", end.Outcome,
			"detail", end.Detail, "took", t.loop.Now()-attempt.startedAt)
	} else if request.open() {
		t.onServed(attempt, end.Result)
	}
	t.reportEnd(attempt, end.Result)
	t.requests.removeEnded(request)
}

// reportEnd queues the end of an attempt for the module.
func (t *attemptTracker) reportEnd(attempt *attempt, result *Result) {
	event := dispatch.AttemptEnd{
		Request: attempt.request.key, Attempt: attempt.number, Outcome: attempt.outcome,
		Took: clock.Duration(t.loop.Now() - attempt.startedAt), Last: !attempt.request.open(),
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
