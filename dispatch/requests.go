package dispatch

import (
	"math"
	"time"

	"windflow/internal/decide/pressure"
)

// request is an open request, or one that is answered and still has an attempt outstanding.
type request struct {
	id           RequestID
	class        *class
	tableGroup   int64
	key          string
	tenant       *tenant
	arrivedAt    time.Duration
	objective    time.Duration // an answer until then is in time
	deadline     time.Duration // the client waits until then
	estimate     float64       // of the work in seconds, by the client, else by the class's mean
	hasEstimate  bool          // the client sent the estimate
	neededMB     float64       // by the client's estimate; 0 if unknown
	attempts     []*attempt
	outstanding  int // attempts that have not ended
	engineErrors int // attempts that an engine answered with an error
	finished     bool
	queued       bool
	deferred     bool // it is queued behind those that can still meet their objective
	overQuota    bool
	ordered      bool // it runs after earlier requests of its key
}

// attempt is one attempt of a request at an engine.
type attempt struct {
	request    *request
	engine     *engine
	index      int
	startedAt  time.Duration
	progressAt time.Duration // of the last report
	work       float64       // estimated, in core seconds
	grantMB    float64
	ended      bool
	cancelled  bool
	streaming  bool // its answer is being sent to the client
	preferred  bool // its class was the preferred one when it started
	mayHaveRun bool
	spilled    bool
	attributed bool // its silence was attributed to the engine
}

// requestTracker follows open requests from their arrival to their final answer.
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
	open      []*request // those that are not finished, and some that are
}

// onArrival admits a request: it is started at once, queued, or rejected.
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
	if t.queues.isEmpty(req.class) { // else the newcomer would overtake those that wait
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

// work is the request's estimated work in core seconds, that of its class where the client sent no estimate.
func (r *request) work() float64 { return r.estimate * r.class.estimate.best }

// expectedTime is the time that the request takes at present on an engine of usual speed.
func (r *request) expectedTime(env *environment) time.Duration {
	return seconds(r.class.estimate.current(env) * r.estimate / float64(r.class.Threads))
}

// query is what the pressure on an engine depends on.
func (r *request) query() pressure.Query {
	return pressure.Query{
		NeedMB:          r.neededMB,
		TableGroup:      r.tableGroup,
		LocksTableGroup: r.class.LocksTableGroup,
		BlockedByLoad:   r.class.BlockedByLoad,
	}
}

// threadTimeMS is the usual time of the request on its threads, in milliseconds.
func (r *request) threadTimeMS() float64 { return 1000 * r.work() / float64(r.class.Threads) }

// cannotFinishInTime reports whether a new request should not be started at all: it arrived after its deadline or, in
// a large fleet, would end too late. Engines continue running queries whose clients have left, which adds up over all
// routers.
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

// observedLately reports whether a class was observed recently; one that was not has to be tried again.
func (t *requestTracker) recentlyObserved(k *class) bool {
	return t.env.now-k.estimate.observedAt < 2*evidenceDecayTime
}

// missesObjective reports whether a request that is started now would miss its latency objective.
func (t *requestTracker) missesObjective(req *request) bool {
	return t.env.now+seconds(deferFactor*req.expectedTime(t.env).Seconds()) > req.objective
}

// enqueue queues a request, in front if an attempt of it was returned.
func (t *requestTracker) enqueue(req *request, front bool) {
	heavy := req.estimate > heavyFactor*req.class.estimate.clientEstimate
	req.deferred = req.overQuota || t.missesObjective(req) || heavy
	t.queues.push(req, front)
}

// reject answers a request at once: it is rejected where a retry is harmless, and fails otherwise.
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

// fail answers a request at once, and promises nothing.
func (t *requestTracker) fail(req *request) {
	t.finish(req)
	t.env.emit(FailRequest{Request: req.id})
}

// finish ends a request; its outstanding attempts continue.
func (t *requestTracker) finish(req *request) {
	if req.finished {
		return
	}
	req.finished = true
	t.queues.remove(req)
	t.removeIfComplete(req)
}

// settle forgets a finished request once no attempt is outstanding, and lets the next one of its key proceed.
func (t *requestTracker) removeIfComplete(req *request) {
	if !req.finished || req.outstanding > 0 {
		return
	}
	delete(t.byID, req.id)
	t.ordering.remove(req)
}

// onClientGone ends a request whose client has left, and cancels what still runs of it where that is allowed.
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

// sweepOpen checks each open request once and drops those that are finished.
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

// sweep ends an open request in time, or moves it behind those that can still meet their objective.
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

// mustLeaveQueue reports whether a queued request has to be rejected now.
func (t *requestTracker) mustLeaveQueue(req *request) bool {
	if t.env.now+t.env.answerMargin() >= req.deadline || !t.retries.mayRepeat(req) {
		return true
	}
	return t.missesObjective(req) && (req.class.LateWeightShare == 0 || t.queues.overLimit())
}

// nextCheck is when an open request has to be checked again.
func (t *requestTracker) nextCheck(req *request) time.Duration {
	next := req.deadline
	for _, a := range req.attempts {
		if !a.ended && !a.attributed && !a.streaming {
			next = min(next, t.silentAt(a)+1)
		}
	}
	return next
}

// onResponseStarted records that the answer of an attempt is streamed: the deadline does not apply any more.
func (t *requestTracker) onResponseStarted(event ResponseStarted) {
	if a := t.attempt(event.Request, event.Attempt); a != nil {
		a.streaming = true
		a.request.deadline = math.MaxInt64
	}
}

// setShutdownDeadline limits the deadlines of open requests; an attempt that would end later is not started any more.
func (t *requestTracker) setShutdownDeadline(at time.Duration) {
	for _, req := range t.open {
		req.deadline = min(req.deadline, at)
		req.objective = min(req.objective, at)
	}
	t.deadlines.checkAt(t.env.now)
}

// release starts queued requests for as long as an engine has headroom for one.
func (t *requestTracker) release() {
	t.queues.release(t.env.now, t.ordering.blocks, func(req *request) bool {
		e := t.selector.cheapest(req)
		if e != nil {
			t.start(req, e)
		}
		return e != nil
	})
}
