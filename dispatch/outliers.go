package dispatch

import (
	"math"
	"slices"
	"time"

	"windflow/internal/decide/backoff"
)

const (
	// failureGain is the weight of an answer, or of an attempt that became silent, in the failure share of an engine.
	// Two silent attempts in a row eject an engine.
	failureGain = 0.3
	// errorGain is the weight of an error or a lost connection in the failure share. Six in a row eject an engine,
	// because fewer can be chance where the network resets one connection in ten.
	errorGain = 0.1
	// ejectionThreshold is the failure share from which an engine is ejected: it then gets one query at a time.
	ejectionThreshold = 0.45
	// maxEjectedShare is the maximum share of engines that may be ejected. If more were ejected, the others would be
	// overloaded.
	maxEjectedShare = 0.5
	// zoneFailures is the number of consecutive attempts without an answer after which the router backs off from a
	// zone. Consecutive attempts on the same engine count once.
	zoneFailures = 3
	// minBackoffJitter and backoffJitterRange spread the ends of backoffs that started at the same time.
	minBackoffJitter, backoffJitterRange = 0.75, 0.5
)

// engineBackoff and zoneBackoff are the backoff policies for an engine and for a zone, in milliseconds.
var (
	engineBackoff = backoff.Policy{Initial: 250, Max: 4000}
	zoneBackoff   = backoff.Policy{Initial: 500, Max: 2000}
)

// outlierDetector attributes failures to engines, ejects engines that fail too often, and backs off from engines and
// zones that do not answer.
type outlierDetector struct {
	env       *environment
	endpoints *endpointTable
	tracked   []*engine // engines that are ejected or were recently
	ejected   float64   // number of listed engines that are ejected, valid until countValidUntil
	// countValidUntil is the time until which ejected is valid; 0 means that it is recounted at the next use.
	countValidUntil time.Duration
	errorShare      float64 // share of attempts that end in an error or a lost connection, over all engines
}

// invalidate makes the next use count the ejected engines again.
func (d *outlierDetector) invalidate() { d.countValidUntil = 0 }

// forget drops an engine that was removed from the endpoint list.
func (d *outlierDetector) forget(e *engine) {
	if e.health.tracked {
		d.tracked = removeItem(d.tracked, e)
	}
}

// attributeFailure counts a failure against an engine.
func (d *outlierDetector) attributeFailure(e *engine, gain float64) {
	e.health.observe(d.env, 1, gain)
	d.track(e)
}

// recordAnswer lowers the failure share of an engine after an answer.
func (d *outlierDetector) recordAnswer(e *engine) {
	e.health.observe(d.env, 0, failureGain)
	d.track(e)
}

// recordAttempt records a started attempt for the backoff from the zone. It also restarts the decay of the failure
// share of a down engine, so that the engine is tried only once in each backoff, whenever that ends.
func (d *outlierDetector) recordAttempt(e *engine) {
	e.zone.RecordAttempt(d.env.nowMS(), zoneBackoff)
	if e.health.down() {
		e.health.renewFailure(d.env)
		d.track(e)
	}
}

// recordErrorShare moves the share of attempts that end in an error or a lost connection, on any engine, towards 1
// for an error and 0 for an answer.
func (d *outlierDetector) recordErrorShare(outcome float64) {
	engines := float64(max(len(d.endpoints.listedEngines()), 1))
	d.errorShare += errorGain / engines * (outcome - d.errorShare)
}

// recordOutcome records an outcome for the backoff from the engine and its zone. In a large fleet, a router backs off
// from an engine that did not accept a connection, did not answer or was full, and from a zone in which several
// engines in a row did not answer. A single router would try such engines rarely, but all routers together would try
// often. zoneChanged reports whether the zone has become suspect or is no longer suspect.
func (d *outlierDetector) recordOutcome(a *attempt, outcome Outcome, largeFleet bool) (zoneChanged bool) {
	target, now := a.engine, d.env.nowMS()
	timedOut := outcome == TimedOut && !a.attributed && d.env.now+d.env.answerMargin() < a.request.deadline
	noAnswer := outcome == ConnectFailed || timedOut
	suspect := target.zone.Suspect()
	switch {
	case outcome == Served:
		target.health.backoff.RecordSuccess()
		target.zone.RecordSuccess()
	case largeFleet && (noAnswer || outcome == EngineFull):
		jitter := minBackoffJitter + d.env.random.Float64()*backoffJitterRange
		target.health.backoff.RecordFailure(now, jitter, engineBackoff)
		if noAnswer {
			target.zone.RecordFailure(int64(target.ID), zoneFailures, now, jitter, zoneBackoff)
		}
	}
	return target.zone.Suspect() != suspect
}

// backedOff reports whether an engine was full recently or the backoff from the engine or its zone is active. The
// backoff from a zone is ignored while it is active for all zones.
func (d *outlierDetector) backedOff(e *engine) bool {
	if e.health.recentlyFull(d.env) || e.health.backoff.Active(d.env.nowMS()) {
		return true
	}
	return e.zone.Active(d.env.nowMS()) && !d.endpoints.allZonesBackedOff()
}

// accepts reports whether the recent failures of an engine allow sending it a request.
func (d *outlierDetector) accepts(target *engine) bool {
	if d.backedOff(target) {
		return false
	}
	recentlyFailed := target.health.recentlyFailed(d.env)
	if recentlyFailed && target.health.down() {
		return false
	}
	if !target.health.ejected(d.env) {
		return true
	}
	mayBeTried := len(target.running) == 0 && !recentlyFailed
	return mayBeTried || !d.ejectionAllowed()
}

// ejectionAllowed reports whether few enough engines are ejected for the others to carry the traffic.
func (d *outlierDetector) ejectionAllowed() bool {
	return d.ejectedCount() <= maxEjectedShare*float64(len(d.endpoints.listedEngines()))
}

// avoided returns the number of engines in the endpoint list that get no regular work because they are draining,
// cordoned, failing or down.
func (d *outlierDetector) avoided() (n int) {
	ejectionAllowed := d.ejectionAllowed() // otherwise failing engines are used like the others
	for _, e := range d.endpoints.engines() {
		if e.State == Removed {
			continue
		}
		if !e.listed || e.health.down() || ejectionAllowed && e.health.ejected(d.env) {
			n++
		}
	}
	return n
}

// track adds an engine that is ejected to the tracked engines, and invalidates the count of ejected engines where
// needed.
func (d *outlierDetector) track(suspect *engine) {
	if suspect.health.failureShare < ejectionThreshold {
		if suspect.health.tracked {
			d.invalidate()
		}
		return
	}
	if !suspect.health.tracked {
		suspect.health.tracked = true
		d.tracked = append(d.tracked, suspect)
		if suspect.listed && d.countValidUntil > 0 {
			d.ejected++
		}
	}
	d.countValidUntil = min(d.countValidUntil, d.staysEjectedUntil(suspect))
}

// staysEjectedUntil returns a time shortly before an engine's failure share decays to the ejection threshold.
func (d *outlierDetector) staysEjectedUntil(e *engine) time.Duration {
	decayTime := seconds(evidenceDecayTime.Seconds() * math.Log(e.health.failureShare/ejectionThreshold))
	return e.health.failureShareAt + decayTime - time.Microsecond
}

// ejectedCount returns the number of listed engines that are ejected.
func (d *outlierDetector) ejectedCount() float64 {
	if d.env.now < d.countValidUntil {
		return d.ejected
	}
	d.ejected, d.countValidUntil = 0, math.MaxInt64
	d.tracked = slices.DeleteFunc(d.tracked, func(e *engine) bool {
		e.health.tracked = e.health.ejected(d.env)
		if !e.health.tracked {
			return true
		}
		if e.listed {
			d.ejected++
		}
		d.countValidUntil = min(d.countValidUntil, d.staysEjectedUntil(e))
		return false
	})
	return d.ejected
}
