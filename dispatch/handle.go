package dispatch

// Events come in, actions go out, and the books between are kept. Nothing is decided here.

import (
	"math"
	"slices"
	"time"

	"windflow/internal/decide/pressure"
)

const tickTag = 1

// Handle takes one event and appends what is to be done. Time never goes back.
func (c *Controller) Handle(now time.Duration, ev Event, actions []Action) []Action {
	c.now, c.out = now, actions
	if !c.anyEvents {
		c.anyEvents, c.started, c.rateAt, c.doneAt = true, now, now, now
		c.wakeAt, c.due = math.MaxInt64, math.MaxInt64
		c.subscribe()
	}
	switch ev := ev.(type) {
	case EndpointList:
		c.onList(ev)
	case Arrival:
		c.onArrival(ev)
	case AttemptProgress:
		c.onNote(ev)
	case AttemptEnd:
		c.onEnd(ev)
	case EngineLoad:
		if e := c.byID[ev.Engine]; e != nil {
			c.heard(e, ev.Report)
		}
	case ResponseStarted:
		if a := c.attempt(ev.Request, ev.Attempt); a != nil {
			a.streaming, a.r.end = true, math.MaxInt64
		}
	case Cordon:
		c.exclude(ev.Engine, true)
	case Uncordon:
		c.exclude(ev.Engine, false)
	case RestoreSnapshot:
		c.takeOver(ev.Snapshot)
	case ShutdownDeadline:
		c.closing(ev.At)
	case OtherProcessUsage:
		c.peerUse(ev)
	case ClientGone:
		if r := c.requests[ev.Request]; r != nil {
			c.gone(r)
			c.release()
		}
	case TimerFired:
		c.onTimer(ev)
	}
	c.arm()
	out := c.out
	c.out = nil
	return out
}

func (c *Controller) emit(a Action) { c.out = append(c.out, a) }

// arm sets a timer for the next thing due, unless an earlier one is set: held queries look for room often,
// for the rest only silence and the client's end matter.
func (c *Controller) arm() {
	due := c.due
	if c.held > 0 {
		due = min(due, c.now+housekeeping/2)
	}
	if c.cfg.PolledDiscovery {
		due = min(due, c.askAt)
	}
	if at := max(due, c.now+c.cfg.Tick, c.now+1); at < c.wakeAt {
		c.wakeAt = at
		c.emit(SetTimer{Tag: tickTag, After: c.wakeAt - c.now})
	}
}

// ---- the list of engines

func (c *Controller) subscribe() {
	if c.cfg.PolledDiscovery {
		c.emit(Subscribe{})
		c.askAt = math.MaxInt64
	}
}

// line is the queue that the request is held in.
func (r *request) line() *[]*request {
	if r.aside {
		return &r.c.late
	}
	return &r.c.queue
}

// work is the request's estimated work, by its class where there is no estimate.
func (r *request) work() float64 { return r.est * r.c.best }

func (c *Controller) unhold(r *request) {
	if r.held {
		r.held = false
		c.held--
		q := r.line()
		*q = without(*q, r)
	}
}

// settle forgets a finished request once no attempt is out, and lets its key go on.
func (c *Controller) settle(r *request) {
	if !r.done || r.out > 0 {
		return
	}
	delete(c.requests, r.id)
	if r.ordered {
		if line := c.keys[r.key]; line != nil {
			line.line = without(line.line, r)
			if len(line.line) == 0 && line.rest <= c.now {
				delete(c.keys, r.key)
			}
		}
	}
}

func (c *Controller) attempt(id RequestID, hop int) *attempt {
	r := c.requests[id]
	if r == nil || hop < 0 || hop >= len(r.attempts) || r.attempts[hop].ended {
		return nil
	}
	return r.attempts[hop]
}

// query is what the pressure on an engine is reckoned from.
func (r *request) query() pressure.Query {
	return pressure.Query{NeedMB: r.need, TableGroup: r.group, LocksTableGroup: r.c.LocksTableGroup, BlockedByLoad: r.c.BlockedByLoad}
}

// demand is the usual time of the query on its threads, in milliseconds, where it counts.
func (r *request) demand(counts bool) float64 {
	if !counts {
		return 0
	}
	return 1000 * r.work() / float64(r.c.Threads)
}

// terms are what the settings say of an engine.
func (c *Controller) terms(e *engine) pressure.Limits {
	return pressure.Limits{MemoryMB: e.memory, MaxGrantShare: c.cfg.MaxGrantShare, Shortage: pressure.MemoryShortage(c.cfg.MemoryShortage)}
}

// heard notes an engine's report of itself.
func (c *Controller) heard(e *engine, l LoadReport) {
	e.press.LoadReported(pressure.LoadReport{InFlight: l.InFlight, Waiting: l.Waiting, Busy: l.Busy, Disk: l.Disk,
		Memory: l.Memory}, millis(c.now))
}

// count adds the attempt to its engine's own load and to the sums, or takes it off with sign -1.
func (c *Controller) count(a *attempt, sign float64) {
	e, threads := a.e, sign*float64(a.r.c.Threads)
	defer c.moved(e, e.threads, e.granted)
	if a.preferred {
		e.prefer += threads
	} else {
		e.threads += threads
		c.threads += threads
	}
	if sign > 0 {
		e.press.AttemptStarted(a.r.query(), c.terms(e), millis(c.now))
	} else {
		e.press.AttemptEnded(a.r.query())
	}
	e.work = max(e.work+sign*a.work, 0)
	e.granted = max(e.granted+sign*a.grant, 0)
	c.granted = max(c.granted+sign*a.grant, 0)
}

// dueOf is when an open request needs a look.
func (c *Controller) dueOf(r *request) time.Duration {
	due := r.end
	for _, a := range r.attempts {
		if !a.ended && !a.blamed && !a.streaming {
			due = min(due, c.silentAt(a)+1)
		}
	}
	return due
}

func (c *Controller) finish(r *request) {
	if r.done {
		return
	}
	r.done = true
	c.unhold(r)
	c.settle(r)
}

func secs(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func millis(d time.Duration) float64 { return d.Seconds() * 1000 }

func within(list []time.Duration, since time.Duration) []time.Duration {
	i := 0
	for i < len(list) && list[i] <= since {
		i++
	}
	return list[i:]
}

func without[T comparable](list []T, x T) []T {
	if i := slices.Index(list, x); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
