package dispatch

// Measures of engines, classes and the fleet that the decisions go by.

import (
	"math"
	"time"

	"windflow/internal/decide/backoff"
)

// fade is what is left of evidence from a time on, at a life in which it falls to 1/e.
func (c *Controller) fade(at, life time.Duration) float64 {
	return math.Exp(-(c.now - at).Seconds() / life.Seconds())
}

// warmth is the share of its capacity that an engine has by now.
func (c *Controller) warmth(e *engine) float64 {
	from := c.warmthFrom()
	if c.now >= e.warmAt || from == 1 {
		return 1
	}
	return from + (1-from)*min((c.now-e.coldAt).Seconds()/c.cfg.WarmUpDuration.Seconds(), 1)
}

// warmthFrom is that share when an engine has just started.
func (c *Controller) warmthFrom() float64 {
	if c.cfg.WarmUpDuration <= 0 || c.cfg.WarmUpInitialShare <= 0 {
		return 1
	}
	return c.cfg.WarmUpInitialShare
}

// slowness is an engine's time against the usual, fading to 1 when nothing renews it.
func (c *Controller) slowness(e *engine) float64 {
	if e.slow == 1 {
		return 1
	}
	return 1 + (e.slow-1)*c.fade(e.slowAt, evidenceLife)
}

// failing is an engine's share of failures, fading so that real queries try it again.
func (c *Controller) failing(e *engine) float64 {
	if e.fail == 0 {
		return 0
	}
	return e.fail * c.fade(e.failAt, evidenceLife)
}

// breaks moves the share of attempts that break, on whatever engine, towards 1 for a break, 0 for an answer.
func (c *Controller) breaks(fail float64) {
	c.breakAll += breakGain / float64(max(len(c.live), 1)) * (fail - c.breakAll)
}

// usual is the class's usual work.
func (c *Controller) usual(cl *class) float64 { return cl.estMean * cl.best }

// largest is the usual work of the largest class.
func (c *Controller) largest() (most float64) {
	for _, k := range c.classes {
		most = max(most, c.usual(k))
	}
	return most
}

// firstGuess of a class's work is a quarter of the aim on each thread; the first answers correct it.
func firstGuess(k Class) float64 { return k.LatencyObjective.Seconds() / 4 * float64(k.Threads) }

// expected is the time that a query takes at present, on an engine of usual speed.
func (c *Controller) expected(r *request) time.Duration {
	return secs(c.meanNow(r.c) * r.est / float64(r.c.Threads))
}

// margin is kept before a client's end, so that a held request is answered in time.
func (c *Controller) margin() time.Duration { return 2*housekeeping + 2*c.cfg.Tick }

// share is this gateway's part of the fleet: an even one, so that all parts sum to the whole.
func (c *Controller) share() float64 { return 1 / float64(max(c.cfg.Routers, 1)) }

// traffic is this gateway's part of all traffic, by the quotas of all tenants. It passes 1 in overload, so
// nothing that sums over gateways may go by it.
func (c *Controller) traffic() float64 {
	even := c.share()
	if c.quotas <= 0 {
		return even
	}
	usual := (c.rate + even*c.quotas/shareLife.Seconds()) / (1 - c.fade(c.started-time.Second, shareLife))
	return min(max(usual/c.quotas, even/5), 1)
}

// zonesLost tells whether so many zones give no answer that their engines are rather lost than cut off: where
// few zones or most of them are silent, gateways beyond a cut link leave these engines their part.
func (c *Controller) zonesLost() bool {
	n := 0
	for _, z := range c.groups {
		if z.Suspect() {
			n++
		}
	}
	return 4*n > len(c.groups) && 2*n <= len(c.groups)
}

// usable is what the bounds on all own queries go by: in a large fleet the warm engines, since what cold ones
// run is rationed.
func (c *Controller) usable() use {
	if c.large() {
		return c.warm()
	}
	return use{c.cores, c.memory, c.threads, c.granted}
}

// rests are those of an engine after strikes in a row, in milliseconds; zoneRests those of a zone once
// zoneStrikes of its engines in a row gave no answer.
var (
	rests     = backoff.Policy{Initial: 250, Max: 4000}
	zoneRests = backoff.Policy{Initial: 500, Max: 2000}
)

const zoneStrikes = 3

// zonesOn counts the zones that rest.
func (c *Controller) zonesOn() (n int) {
	for _, z := range c.groups {
		if z.Active(millis(c.now)) {
			n++
		}
	}
	return n
}

// strike keeps what internal/decide/backoff goes by: a gateway of a large fleet keeps off an engine that gave no
// connection, no answer or no room, and off a zone where several gave none in a row. Its tries are few, and
// all gateways' are many.
func (c *Controller) strike(a *attempt, o Outcome) {
	e, now := a.e, millis(c.now)
	silent := o == ConnectFailed || o == TimedOut && !a.blamed && c.now+c.margin() < a.r.end
	doubted := e.zone.Suspect()
	switch {
	case o == Served:
		e.rest.RecordSuccess()
		e.zone.RecordSuccess()
	case c.large() && (silent || o == EngineFull):
		jitter := 0.75 + c.rng.Float64()/2
		e.rest.RecordFailure(now, jitter, rests)
		if silent {
			e.zone.RecordFailure(int64(e.ID), zoneStrikes, now, jitter, zoneRests)
		}
	}
	if e.zone.Suspect() != doubted {
		c.tally.till = 0
	}
}

// resting tells whether an engine was full a moment ago, or rests, alone or with its zone; where all zones
// do, that is no reason.
func (c *Controller) resting(e *engine) bool {
	now := millis(c.now)
	return e.fullAt > 0 && c.now-e.fullAt < fullRest || e.rest.Active(now) ||
		e.zone.Active(now) && c.zonesOn() < len(c.groups)
}
