package dispatch

import "time"

// retryRules decides what may be sent, sent again or rejected, based on the semantics of the classes, the limits on
// attempts and the retry budget. No other component makes these decisions.
type retryRules struct {
	env      *environment
	warmUps  *warmUpLimiter
	arrivals []time.Duration // of requests, within the budget's window
	retries  []time.Duration // starts of retries, within the budget's window
}

func (rules *retryRules) recordArrival() {
	window := rules.env.config.RetryBudget.Window
	rules.arrivals = append(timesAfter(rules.arrivals, rules.env.now-window), rules.env.now)
}

func (rules *retryRules) recordRetry() { rules.retries = append(rules.retries, rules.env.now) }

// allows reports whether the request's next attempt may start on an engine now. It checks the deadline, draining,
// placement, hedging, the number of attempts, idempotency, the retry budget and the engine's slow start.
func (rules *retryRules) allows(req *request, target *engine) bool {
	switch {
	case req.finished || !target.listed || rules.env.now >= req.deadline:
		return false
	case !req.class.allowsEngine(target):
		return false
	case req.outstanding > 0 && !rules.env.config.HedgingAllowed:
		return false
	case len(req.attempts) > 0 && (!rules.budgetAllows() || !rules.mayRepeatOn(req, target)):
		return false
	case rules.attemptsExhausted(req):
		return false
	}
	return rules.warmUps.allows(req, target)
}

func (rules *retryRules) attemptsExhausted(req *request) bool {
	limit := rules.env.config.MaxAttempts
	return limit > 0 && len(req.attempts) >= limit
}

// mayReject reports whether a rejection can guarantee that the client can safely retry.
func (rules *retryRules) mayReject(req *request) bool {
	if req.class.Semantics == Idempotent {
		return true
	}
	for _, a := range req.attempts {
		if !a.mayHaveRun {
			continue
		}
		windowOver := rules.env.now > a.startedAt+req.class.IdempotencyWindow
		if req.class.Semantics == AtMostOnce || req.class.IdempotencyScope != ScopeAll || windowOver {
			return false
		}
	}
	return true
}

// mayRepeat reports whether a further attempt is possible on at least one engine.
func (rules *retryRules) mayRepeat(req *request) bool {
	for _, a := range req.attempts {
		if a.mayHaveRun {
			return rules.mayRepeatOn(req, a.engine)
		}
	}
	return true
}

// mayRepeatOn reports whether a further attempt on an engine cannot repeat the effect of an earlier attempt.
func (rules *retryRules) mayRepeatOn(req *request, e *engine) bool {
	if req.class.Semantics == Idempotent {
		return true
	}
	for _, a := range req.attempts {
		if !a.mayHaveRun {
			continue
		}
		windowOver := rules.env.now >= a.startedAt+req.class.IdempotencyWindow
		if req.class.Semantics == AtMostOnce || windowOver || !req.class.sameScope(a.engine, e) {
			return false
		}
	}
	return true
}

// mayRetry reports whether a request without outstanding attempts is queued for a retry.
func (rules *retryRules) mayRetry(req *request, outcome Outcome) bool {
	tooLate := rules.env.now+rules.env.config.Tick >= req.deadline
	return !tooLate && !rules.attemptsExhausted(req) && outcome != NotSent && rules.mayRepeat(req)
}

// mayReroute reports whether an outstanding attempt may be cancelled so that the request runs on another engine.
func (rules *retryRules) mayReroute(req *request) bool {
	return rules.env.config.CancelAllowed && req.class.Semantics != AtMostOnce && !rules.attemptsExhausted(req) &&
		rules.budgetAllows()
}

// budgetAllows reports whether the retry budget allows one more retry, even if it starts at the latest possible time.
func (rules *retryRules) budgetAllows() bool {
	budget := rules.env.config.RetryBudget
	if budget.Window <= 0 {
		rules.retries = rules.retries[:0]
		return true
	}
	delay := budget.startDelay()
	rules.arrivals = timesAfter(rules.arrivals, rules.env.now-budget.Window+delay)
	rules.retries = timesAfter(rules.retries, rules.env.now-budget.Window-delay-1)
	return float64(len(rules.retries)+1) <= budget.Free+budget.PerRequest*float64(len(rules.arrivals))
}

// startWithin returns the time within which the most recently added attempt has to start; 0 means no limit. A request
// that may run twice only within an idempotency window must not start after it, a retry must not start after the time
// for which the budget counts it, and an attempt on a warming engine must not overlap with work that is counted in a
// later window.
func (rules *retryRules) startWithin(req *request, e *engine) time.Duration {
	within := rules.warmUps.startWithin(e)
	earlier := req.attempts[:len(req.attempts)-1]
	if delay := rules.env.config.RetryBudget.startDelay(); len(earlier) > 0 && delay > 0 {
		within = tighterBound(within, delay)
	}
	if req.class.Semantics == Idempotent {
		return within
	}
	for _, a := range earlier {
		if a.mayHaveRun {
			within = tighterBound(within, max(a.startedAt+req.class.IdempotencyWindow-rules.env.now, 1))
		}
	}
	return within
}

// tighterBound returns the smaller of two bounds. A bound of 0 means none; further is never 0.
func tighterBound(bound, further time.Duration) time.Duration {
	if bound == 0 || further < bound {
		return further
	}
	return bound
}
