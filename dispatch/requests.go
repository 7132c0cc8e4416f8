package dispatch

import (
	"math"
	"time"

	"windflow/internal/decide/pressure"
)

// request is an open request, or an answered one that still has an outstanding attempt.
type request struct {
	id           RequestID
	class        *class
	tableGroup   int64
	key          string
	tenant       *tenant
	arrivedAt    time.Duration
	objective    time.Duration // an answer by this time meets the latency objective
	deadline     time.Duration // the client waits until this time
	estimate     float64       // work in seconds, by the client's estimate or else the mean estimate of the class
	hasEstimate  bool          // the client sent an estimate
	neededMB     float64       // as estimated by the client; 0 if unknown
	attempts     []*attempt
	outstanding  int // number of attempts that have not ended
	engineErrors int // number of attempts that an engine answered with an error
	finished     bool
	queued       bool
	deferred     bool // queued behind the requests that can still meet their objective
	overQuota    bool
	ordered      bool // runs after the earlier requests of its key
}

// attempt is one execution of a request on an engine.
type attempt struct {
	request    *request
	engine     *engine
	index      int
	startedAt  time.Duration
	progressAt time.Duration // time of the last progress report
	work       float64       // estimated, in core seconds
	grantMB    float64
	ended      bool
	cancelled  bool
	streaming  bool // its answer is being sent to the client
	preferred  bool // its class was the preferred class when it started
	mayHaveRun bool
	spilled    bool
	attributed bool // its silence was counted as a failure of the engine
}

// requestTracker manages requests from their arrival to their final answer.
type requestTracker struct {
	env       *environment
	classes   *classSet
	quotas    *tenantQuotas
	queues    *classQueues
	ordering  *keyOrder
	outliers  *outlierDetector
	warmUps   *warmUpLimiter
	capacity  *capacityLimiter
	retries   *retryRules
	selector  *selector
	deadlines *deadlines
	learner   *outcomeLearner
	byID      map[RequestID]*request
	open      []*request // all unfinished requests, and finished ones until the next sweep
}

// onArrival handles a new request: it is started at once, queued or rejected.
func (t *requestTracker) onArrival(event Arrival) {
	t.retries.recordArrival()
	t.quotas.recordArrival()
	req := t.newRequest(event)
	t.byID[req.id] = req
	t.open = append(t.open, req)
	t.selector.recordDemand(req)
	t.ordering.add(req)
	if t.cannotFinishInTime(req) {
		t.reject(req)
		return
	}
	if t.queues.noneReady(req.class) { // otherwise the new request would overtake queued ones
		if e := t.selector.pick(req); e != nil {
			t.start(req, e)
			return
		}
	}
	t.enqueue(req, false)
	if t.env.now+t.env.answerMargin() >= req.deadline || req.deferred && t.queues.overLimit() {
		t.reject(req)
	}
	t.release()
}

func (t *requestTracker) newRequest(event Arrival) *request {
	named := t.classes.byName(event.Class)
	req := &request{
		id:         event.Request,
		class:      named,
		tableGroup: event.TableGroup,
		key:        event.Key,
		arrivedAt:  t.env.now,
		deadline:   t.env.now + event.TimeLeft,
		neededMB:   finiteOrZero(event.NeedMB),
		estimate:   named.estimate.clientEstimate,
		tenant:     t.quotas.tenant(event.Tenant),
		ordered:    named.OrderByKey && event.Key != "",
	}
	if event.Estimate > 0 {
		req.hasEstimate = true
		longest := named.LatencyObjective.Seconds() * float64(named.Threads)
		req.estimate = named.estimate.learnClientEstimate(event.Estimate.Seconds(), longest)
	}
	stretch := seconds(named.ObjectiveStretch * req.estimate * named.estimate.best / float64(named.Threads))
	req.objective = min(t.env.now+named.LatencyObjective+stretch, req.deadline)
	req.overQuota = t.quotas.exceeded(req.tenant)
	return req
}

// work returns the request's estimated work in core seconds. If the client sent no estimate, it is the usual work of
// the class.
func (r *request) work() float64 { return r.estimate * r.class.estimate.best }

// expectedTime returns the time that the request currently takes on an engine of average speed.
func (r *request) expectedTime(env *environment) time.Duration {
	return seconds(r.class.estimate.current(env) * r.estimate / float64(r.class.Threads))
}

// query returns the properties of the request that the pressure on an engine depends on.
func (r *request) query() pressure.Query {
	return pressure.Query{
		NeedMB:          r.neededMB,
		TableGroup:      r.tableGroup,
		LocksTableGroup: r.class.LocksTableGroup,
		BlockedByLoad:   r.class.BlockedByLoad,
	}
}

// threadTimeMS returns the usual elapsed time of the request in milliseconds when it runs on all its threads.
func (r *request) threadTimeMS() float64 { return 1000 * r.work() / float64(r.class.Threads) }

// cannotFinishInTime reports whether a new request should not be started at all because it arrived after its deadline
// or, in a large fleet, would end too late. Engines continue to run queries whose clients have disconnected, and this
// adds up over all routers.
func (t *requestTracker) cannotFinishInTime(req *request) bool {
	if t.env.now >= req.deadline {
		return true
	}
	if !t.capacity.largeFleet() || !t.recentlyObserved(req.class) {
		return false
	}
	estimate := &req.class.estimate
	work := estimate.current(t.env) * min(req.estimate, heavyFactor*estimate.clientEstimate)
	end := t.env.now + seconds(work/float64(req.class.Threads))
	return end >= req.deadline || req.class.LateWeightShare == 0 && end > req.objective
}

// recentlyObserved reports whether a service time of the class was observed recently. A class without recent
// observations has to be tried again.
func (t *requestTracker) recentlyObserved(k *class) bool {
	return t.env.now-k.estimate.observedAt < 2*evidenceDecayTime
}

// missesObjective reports whether a request would miss its latency objective if it started now.
func (t *requestTracker) missesObjective(req *request) bool {
	return t.env.now+seconds(deferFactor*req.expectedTime(t.env).Seconds()) > req.objective
}

// enqueue queues a request, at the front if one of its attempts has ended without an answer.
func (t *requestTracker) enqueue(req *request, front bool) {
	heavy := req.estimate > heavyFactor*req.class.estimate.clientEstimate
	req.deferred = req.overQuota || t.missesObjective(req) || heavy
	t.queues.push(req, front)
}

// reject ends a request with a rejection if the client can safely retry, and with a failure otherwise.
func (t *requestTracker) reject(req *request) {
	t.finish(req)
	if !t.retries.mayReject(req) {
		t.env.emit(FailRequest{Request: req.id})
		return
	}
	retryAfter := time.Duration(0)
	if t.env.config.RetryAfter.Allowed {
		retryAfter = min(req.class.LatencyObjective, t.env.config.RetryAfter.Max)
	}
	t.env.emit(Reject{Request: req.id, RetryAfter: retryAfter})
}

// fail ends a request with an answer that does not guarantee a safe retry.
func (t *requestTracker) fail(req *request) {
	t.finish(req)
	t.env.emit(FailRequest{Request: req.id})
}

// finish marks a request as finished. Its outstanding attempts continue.
func (t *requestTracker) finish(req *request) {
	if req.finished {
		return
	}
	req.finished = true
	t.queues.remove(req)
	t.removeIfComplete(req)
}

// removeIfComplete removes a finished request without outstanding attempts, so that the next request of its key can
// start.
func (t *requestTracker) removeIfComplete(req *request) {
	if !req.finished || req.outstanding > 0 {
		return
	}
	delete(t.byID, req.id)
	t.ordering.remove(req)
}

// onClientGone ends a request whose client has disconnected, and cancels its outstanding attempts if cancelling is
// allowed.
func (t *requestTracker) onClientGone(id RequestID) {
	req := t.byID[id]
	if req == nil {
		return
	}
	for _, a := range req.attempts {
		if t.env.config.CancelAllowed && !a.ended && !a.cancelled {
			t.cancel(a)
		}
	}
	t.finish(req)
	t.release()
}

// sweepOpen checks each open request once and drops finished requests from the list.
func (t *requestTracker) sweepOpen() {
	open := t.open[:0]
	for _, req := range t.open {
		t.sweep(req)
		if !req.finished {
			open = append(open, req)
			t.deadlines.checkAt(t.nextCheck(req))
		}
	}
	clear(t.open[len(open):])
	t.open = open
}

// sweep counts silent attempts of an open request as failures of their engines and reroutes them. It ends the request
// if its time is over, and defers it if it can no longer meet its objective.
func (t *requestTracker) sweep(req *request) {
	if req.finished {
		return
	}
	for _, a := range req.attempts {
		if t.isSilent(a) {
			a.attributed = true
			t.outliers.attributeFailure(a.engine, failureGain)
			t.reroute(a)
		}
	}
	switch {
	case req.queued && t.mustLeaveQueue(req):
		t.reject(req)
	case req.queued && t.missesObjective(req) && !req.deferred:
		t.queues.remove(req)
		t.enqueue(req, false)
	case req.outstanding == 0 && !req.queued || t.env.now >= req.deadline:
		t.fail(req)
	}
}

// mustLeaveQueue reports whether a queued request has to be rejected now: its deadline is near, it must not be sent
// again, or it misses its objective and either late answers earn nothing or the queues are over their limit.
func (t *requestTracker) mustLeaveQueue(req *request) bool {
	if t.env.now+t.env.answerMargin() >= req.deadline || !t.retries.mayRepeat(req) {
		return true
	}
	return t.missesObjective(req) && (req.class.LateWeightShare == 0 || t.queues.overLimit())
}

// nextCheck returns the time at which an open request has to be checked again.
func (t *requestTracker) nextCheck(req *request) time.Duration {
	next := req.deadline
	for _, a := range req.attempts {
		if !a.ended && !a.attributed && !a.streaming {
			next = min(next, t.silentAt(a)+1)
		}
	}
	return next
}

// onResponseStarted records that the answer of an attempt is being streamed. The deadline no longer applies.
func (t *requestTracker) onResponseStarted(event ResponseStarted) {
	if a := t.attempt(event.Request, event.Attempt); a != nil {
		a.streaming = true
		a.request.deadline = math.MaxInt64
	}
}

// setShutdownDeadline limits the deadlines and the latency objectives of open requests to the end of the process. No
// attempt is started after a deadline.
func (t *requestTracker) setShutdownDeadline(at time.Duration) {
	for _, req := range t.open {
		req.deadline = min(req.deadline, at)
		req.objective = min(req.objective, at)
	}
	t.deadlines.checkAt(t.env.now)
}

// release starts queued requests as long as an engine has headroom for one of them.
func (t *requestTracker) release() {
	t.queues.release(t.env.now, t.ordering.blocks, func(req *request) bool {
		e := t.selector.cheapest(req)
		if e != nil {
			t.start(req, e)
		}
		return e != nil
	})
}
