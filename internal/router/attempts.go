package router

import (
	"windflow/dispatch"
	"windflow/internal/clock"
)

// attempt is one execution of a request at an engine, with its timers and its outcome.
type attempt struct {
	request    *request
	number     int // index among the request's attempts, from 0
	engine     dispatch.EngineID
	startedAt  float64
	progressAt float64 // when its progress was last passed to the dispatch module
	call       Attempt // nil until EngineClient.Start has returned
	timeout    *Timer
	startLimit *Timer // fires at the latest allowed start; nil if there is none
	exclusive  bool   // see Call.Exclusive
	canceled   bool   // the engine client was requested to cancel it
	ended      bool
	outcome    dispatch.Outcome // valid if ended is set
}

// attemptTracker starts attempts on the engine client, and reports their progress and their ends to the dispatch
// module. It also cancels attempts and limits their time.
type attemptTracker struct {
	dependencies
	client EngineClient
	// onServed is called with the attempt and the result when an attempt is served while its request is open.
	onServed func(*attempt, *Result)
}

// start starts an attempt. If it can't be sent any more, it ends at once, with an outcome that proves that it never
// ran.
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
		// Two events about the engine were posted in one step, and the dispatch module decided after the first of them.
		newAttempt.call = unstartedAttempt{}
		t.end(newAttempt, End{Outcome: dispatch.ConnectFailed, Detail: "engine is draining or removed"})
	default:
		t.send(newAttempt, engine, wait, clock.Millis(action.StartWithin))
	}
}

// send passes an attempt to the engine client. The attempt times out after wait milliseconds. If startWithin is over 0,
// the attempt fails unless it starts within that many milliseconds.
func (t *attemptTracker) send(attempt *attempt, engine Engine, wait, startWithin float64) {
	request, current := attempt.request, t.settings.Load()
	t.statistics.Counters.Attempts++
	if t.hooks.Observer != nil {
		t.hooks.Observer.AttemptStarted(attempt.engine)
	}
	semantics := current.classes[request.Class].Semantics
	// An exclusive attempt ends only when the engine has ended it. An at-most-once request needs no such wait: once it
	// may have run, it gets no further attempt.
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

// setTimeout makes an attempt time out at that time, in place of its earlier timeout.
func (t *attemptTracker) setTimeout(attempt *attempt, at float64, detail string) {
	attempt.timeout.Stop()
	attempt.timeout = t.loop.At(at, func() { t.end(attempt, End{Outcome: dispatch.TimedOut, Detail: detail}) })
}

// setResources sets the memory grant of a request's next attempts, and the priority of its outstanding and next ones.
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

// cancel cancels an attempt. An exclusive attempt stays outstanding until the engine has canceled it.
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

// cancelUnsent ends an attempt with an outcome that proves that it never ran, if it was not sent completely. This
// prevents an attempt that waits for a connection or a dial from starting long after the dispatch module decided on it.
func (t *attemptTracker) cancelUnsent(attempt *attempt, outcome dispatch.Outcome, detail string) {
	if !attempt.ended && attempt.call != nil && attempt.call.CancelUnsent() {
		t.end(attempt, End{Outcome: outcome, Detail: detail})
	}
}

// cancelAllUnsent ends the attempts of an answered or abandoned request that were not sent completely.
func (t *attemptTracker) cancelAllUnsent(request *request) {
	for _, attempt := range request.attempts {
		t.cancelUnsent(attempt, dispatch.NotSent, "request answered or abandoned")
	}
}

// limitTimeouts sets the timeouts of a request's outstanding attempts to the shutdown deadline.
func (t *attemptTracker) limitTimeouts(request *request, shutdownAt float64) {
	for _, attempt := range request.attempts {
		if !attempt.ended && attempt.timeout != nil {
			t.setTimeout(attempt, shutdownAt, "router is shutting down")
		}
	}
}

// progress passes an engine's load report to the dispatch module, and the attempt's progress if engines are configured
// to report it. Progress of the kind ProgressAlive is passed at most twice per progress interval.
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

// end ends an attempt and reports its outcome to the dispatch module. The first attempt that is served answers the
// request.
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
		// No earlier attempt may have run either, or the dispatch module would not have started this one.
		t.ids.release(request.ID)
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

// reportEnd queues the end of an attempt for the dispatch module.
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

// provesNotRun reports whether an outcome proves that the attempt never ran on an engine.
func provesNotRun(outcome dispatch.Outcome) bool {
	return outcome == dispatch.EngineFull || outcome == dispatch.ConnectFailed || outcome == dispatch.NotSent
}
