package dispatch

import (
	"time"

	"windflow/internal/decide/backoff"
)

const (
	// slownessGain is the weight of one observation in an engine's slowness. About ten observations determine it.
	slownessGain = 0.1
	// minSlowness and maxSlowness are the limits of one observation.
	minSlowness, maxSlowness = 0.05, 20.0
	// maxConnectionFailures is the number of consecutive attempts without a connection, or with a lost one, after which
	// an engine counts as down. A down engine is tried once in each backoff and warms up once it answers again.
	maxConnectionFailures = 5
	// fullBackoff is the time for which an engine gets no requests after it was full, as sessions end about that often.
	// An ejected engine gets none for twice as long: otherwise, in overload, it would be the only engine with capacity
	// and would attract all queued requests.
	fullBackoff = 250 * time.Millisecond
)

// health holds what has been learned about one engine from attempts. The weight of evidence decays unless new
// evidence arrives.
type health struct {
	slowness           float64 // its service times divided by the usual ones
	slownessAt         time.Duration
	failureShare       float64 // decaying share of its recent attempts that failed
	failureShareAt     time.Duration
	connectionFailures int // consecutive attempts that found no connection or lost it
	fullAt             time.Duration
	onProbation        bool // it was uncordoned and has not served a request since
	backoff            backoff.Backoff
	tracked            bool // it is in the list of the outlier detector
}

func newHealth() health { return health{slowness: 1} }

// restart discards what was learned before the engine's latest start.
func (h *health) restart() {
	h.slowness = 1
	h.failureShare = 0
	h.backoff.RecordSuccess()
}

// cordonChanged clears the connection failures and the full state when a cordon begins or ends. After its end the
// engine is on probation and soon gets a first request.
func (h *health) cordonChanged(cordoned bool) {
	h.onProbation = !cordoned
	h.connectionFailures = 0
	h.fullAt = 0
}

// currentSlowness returns the engine's slowness, which decays to 1.
func (h *health) currentSlowness(env *environment) float64 {
	if h.slowness == 1 {
		return 1
	}
	return 1 + (h.slowness-1)*env.decay(h.slownessAt, evidenceDecayTime)
}

// observeSlowness records the service time of one attempt as a multiple of the mean of its class.
func (h *health) observeSlowness(env *environment, ratio float64) {
	current := h.currentSlowness(env)
	ratio = min(max(ratio, minSlowness), maxSlowness)
	h.slowness = current + slownessGain*(ratio-current)
	h.slownessAt = env.now
}

// currentFailureShare returns the engine's share of failures, which decays so that an ejected engine is tried again.
func (h *health) currentFailureShare(env *environment) float64 {
	if h.failureShare == 0 {
		return 0
	}
	return h.failureShare * env.decay(h.failureShareAt, evidenceDecayTime)
}

// observe moves the failure share towards an outcome: 1 for a failure, 0 for an answer. gain is the weight of the
// outcome.
func (h *health) observe(env *environment, outcome, gain float64) {
	h.failureShare = h.currentFailureShare(env)*(1-gain) + gain*outcome
	h.failureShareAt = env.now
}

// renewFailure restarts the decay of the failure share.
func (h *health) renewFailure(env *environment) { h.failureShareAt = env.now }

// recordConnected resets the count of consecutive connection failures.
func (h *health) recordConnected() { h.connectionFailures = 0 }

// recordConnectionFailure counts a connection that could not be established or was lost.
func (h *health) recordConnectionFailure() { h.connectionFailures++ }

// recordServed ends the probation after a served request.
func (h *health) recordServed() { h.onProbation = false }

// down reports whether so many connections in a row failed that the engine counts as down.
func (h *health) down() bool { return h.connectionFailures >= maxConnectionFailures }

// ejected reports whether so many attempts failed that other engines are preferred.
func (h *health) ejected(env *environment) bool {
	return h.currentFailureShare(env) >= ejectionThreshold
}

// recentlyFailed reports whether the failure share was updated within the last two full backoffs: by a failure, by an
// answer or by an attempt on a down engine.
func (h *health) recentlyFailed(env *environment) bool {
	return env.now-h.failureShareAt < 2*fullBackoff
}

// recentlyFull reports whether the engine was full within the last full backoff.
func (h *health) recentlyFull(env *environment) bool {
	return h.fullAt > 0 && env.now-h.fullAt < fullBackoff
}

// recordFull records that the engine was full. As it answered, it is not down.
func (h *health) recordFull(env *environment) {
	h.fullAt = env.now
	h.connectionFailures = 0
}

// restore replaces the state by a snapshot of another process of this router. It returns false and changes nothing if
// the snapshot is invalid.
func (h *health) restore(old EngineSnapshot) bool {
	valid := old.Slowness > 0 && old.FailureShare >= 0 && old.FailureShare <= 1 && old.ConnectionFailures >= 0
	if !valid {
		return false
	}
	h.slowness, h.slownessAt = old.Slowness, old.SlownessAt
	h.failureShare, h.failureShareAt = old.FailureShare, old.FailureShareAt
	h.connectionFailures = old.ConnectionFailures
	h.onProbation = old.OnProbation
	return true
}
