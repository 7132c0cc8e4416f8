package dispatch

import (
	"time"

	"windflow/internal/decide/backoff"
)

const (
	// slownessGain is the weight of one observation in an engine's slowness: about ten decide.
	slownessGain = 0.1
	// minSlowness and maxSlowness bound one observation.
	minSlowness, maxSlowness = 0.05, 20.0
	// maxConnectionFailures is how many attempts in a row have to meet no connection, or lose it, for an engine to
	// count as down: it is tried once in each backoff, and warms up once it answers again.
	maxConnectionFailures = 5
	// fullBackoff is how long an engine that was full gets nothing: sessions end about that often. An ejected engine
	// gets nothing for twice as long: in overload it alone would have capacity, and draw all that is queued.
	fullBackoff = 250 * time.Millisecond
)

// health is what has been learned of one engine from attempts. Evidence decays when nothing renews it.
type health struct {
	slowness           float64 // its service times over the usual ones
	slownessAt         time.Duration
	failureShare       float64 // of its late attempts
	failureShareAt     time.Duration
	connectionFailures int // attempts in a row that met no connection, or lost it
	fullAt             time.Duration
	onProbation        bool // it was uncordoned, and has served nothing since
	backoff            backoff.Backoff
	tracked            bool // the outlier detector tracks it
}

func newHealth() health { return health{slowness: 1} }

// restart forgets what concerns the engine's previous incarnation.
func (h *health) restart() {
	h.slowness = 1
	h.failureShare = 0
	h.backoff.RecordSuccess()
}

// cordonChanged forgets the failures before a cordon; on probation an engine is sent a first request soon.
func (h *health) cordonChanged(cordoned bool) {
	h.onProbation = !cordoned
	h.connectionFailures = 0
	h.fullAt = 0
}

// currentSlowness is the engine's slowness, fading to 1.
func (h *health) currentSlowness(env *environment) float64 {
	if h.slowness == 1 {
		return 1
	}
	return 1 + (h.slowness-1)*env.decay(h.slownessAt, evidenceDecayTime)
}

// observeSlowness takes the service time of one attempt over the class's mean.
func (h *health) observeSlowness(env *environment, ratio float64) {
	current := h.currentSlowness(env)
	ratio = min(max(ratio, minSlowness), maxSlowness)
	h.slowness = current + slownessGain*(ratio-current)
	h.slownessAt = env.now
}

// currentFailureShare is the engine's share of failures, fading so that it is tried again.
func (h *health) currentFailureShare(env *environment) float64 {
	if h.failureShare == 0 {
		return 0
	}
	return h.failureShare * env.decay(h.failureShareAt, evidenceDecayTime)
}

// observe moves the failure share towards an outcome: 1 for a failure, 0 for an answer.
func (h *health) observe(env *environment, outcome, gain float64) {
	h.failureShare = h.currentFailureShare(env)*(1-gain) + gain*outcome
	h.failureShareAt = env.now
}

// renewFailure keeps the failure share from fading for a while.
func (h *health) renewFailure(env *environment) { h.failureShareAt = env.now }

// recordConnected records that a connection was established.
func (h *health) recordConnected() { h.connectionFailures = 0 }

// recordConnectionFailure records that no connection was established, or that one broke.
func (h *health) recordConnectionFailure() { h.connectionFailures++ }

// recordServed ends probation.
func (h *health) recordServed() { h.onProbation = false }

// down reports whether connections to the engine can no longer be established.
func (h *health) down() bool { return h.connectionFailures >= maxConnectionFailures }

// ejected reports whether so many attempts fail that other engines are preferred.
func (h *health) ejected(env *environment) bool {
	return h.currentFailureShare(env) >= ejectionThreshold
}

// failedLately reports whether there was evidence of failure a moment ago.
func (h *health) recentlyFailed(env *environment) bool {
	return env.now-h.failureShareAt < 2*fullBackoff
}

// fullLately reports whether the engine was full a moment ago.
func (h *health) recentlyFull(env *environment) bool {
	return h.fullAt > 0 && env.now-h.fullAt < fullBackoff
}

// recordFull records that the engine was full; it has answered, so it is not down.
func (h *health) recordFull(env *environment) {
	h.fullAt = env.now
	h.connectionFailures = 0
}

// restore takes over what another process of this router knew, unless it makes no sense.
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
