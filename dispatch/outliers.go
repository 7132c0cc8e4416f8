package dispatch

import (
	"math"
	"slices"
	"time"

	"windflow/internal/decide/backoff"
)

const (
	// failureGain is the weight of an answer, or of an attempt that fell silent, in an engine's failure share; two of
	// the latter in a row eject it.
	failureGain = 0.3
	// breakGain is that of an error or a lost connection: six in a row eject, as fewer are chance where the network
	// resets one connection in ten.
	errorGain = 0.1
	// ejectionThreshold is the failure share from which an engine gets one query at a time.
	ejectionThreshold = 0.45
	// maxEjectedShare is the share of engines that may be ejected: past it, the others would be overloaded.
	maxEjectedShare = 0.5
	// zoneFailures is how many engines of a zone in a row must fail to answer for the zone to be backed off from.
	zoneFailures = 3
	// minBackoffJitter and backoffJitterRange spread the ends of backoffs that began together.
	minBackoffJitter, backoffJitterRange = 0.75, 0.5
)

// engineBackoff and zoneBackoff are the backoffs from an engine and from a zone, in milliseconds.
var (
	engineBackoff = backoff.Policy{Initial: 250, Max: 4000}
	zoneBackoff   = backoff.Policy{Initial: 500, Max: 2000}
)

// outlierDetector attributes failures to engines, ejects those that fail too often, and backs off from engines and
// zones that do not answer.
type outlierDetector struct {
	env       *environment
	endpoints *endpointTable
	tracked   []*engine // those that are ejected, or were lately
	ejected   float64   // listed engines among them that are ejected, until countUntil
	// countUntil is the time until which that count is valid; 0 for a new count at once.
	countValidUntil time.Duration
	errorShare      float64 // share of attempts that break, over all engines
}

// invalidate makes the next call count the ejected engines again.
func (d *outlierDetector) invalidate() { d.countValidUntil = 0 }

// forget drops an engine that was removed.
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

// recordAnswer counts an answer in an engine's favour.
func (d *outlierDetector) recordAnswer(e *engine) {
	e.health.observe(d.env, 0, failureGain)
	d.track(e)
}

// recordAttempt renews the evidence against an engine that is down: it is tried once in each backoff, whenever that
// ends.
func (d *outlierDetector) recordAttempt(e *engine) {
	e.zone.RecordAttempt(d.env.nowMS(), zoneBackoff)
	if e.health.down() {
		e.health.renewFailure(d.env)
		d.track(e)
	}
}

// recordBreak moves the share of attempts that break, on whatever engine, towards 1 for a break and 0 for an answer.
func (d *outlierDetector) recordErrorShare(outcome float64) {
	engines := float64(max(len(d.endpoints.listedEngines()), 1))
	d.errorShare += errorGain / engines * (outcome - d.errorShare)
}

// recordOutcome counts an outcome for the backoff from the engine and its zone: a router of a large fleet backs off
// from an engine that had no connection, answer or capacity, and from a zone where several had none in a row.
// One router tries seldom, but all routers together try often. zoneChanged says that the zone is suspect now, or not
// any more.
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

// backedOff reports whether an engine was full a moment ago, or is backed off from, alone or with its zone; a zone
// does not count while all zones are backed off from.
func (d *outlierDetector) backedOff(e *engine) bool {
	if e.health.recentlyFull(d.env) || e.health.backoff.Active(d.env.nowMS()) {
		return true
	}
	return e.zone.Active(d.env.nowMS()) && !d.endpoints.allZonesBackedOff()
}

// accepts reports whether an engine's failures allow that it gets work.
func (d *outlierDetector) accepts(target *engine) bool {
	if d.backedOff(target) {
		return false
	}
	failedLately := target.health.recentlyFailed(d.env)
	if failedLately && target.health.down() {
		return false
	}
	if !target.health.ejected(d.env) {
		return true
	}
	idle := len(target.running) == 0 && !failedLately
	return idle || !d.ejectionAllowed()
}

// ejectionAllowed reports whether few enough engines are ejected for the others to carry the traffic.
func (d *outlierDetector) ejectionAllowed() bool {
	return d.ejectedCount() <= maxEjectedShare*float64(len(d.endpoints.listedEngines()))
}

// avoided counts the engines in the endpoint list that get no ordinary work: they drain, are cordoned, fail or are
// down.
func (d *outlierDetector) avoided() (n int) {
	ejectionAllowed := d.ejectionAllowed() // else engines that fail are used like others
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

// track records an engine that is ejected, or was lately.
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

// ejectedUntil is a time shortly before an engine's failure share fades to the threshold.
func (d *outlierDetector) staysEjectedUntil(e *engine) time.Duration {
	decayTime := seconds(evidenceDecayTime.Seconds() * math.Log(e.health.failureShare/ejectionThreshold))
	return e.health.failureShareAt + decayTime - time.Microsecond
}

// ejectedCount counts the listed engines that are ejected.
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
