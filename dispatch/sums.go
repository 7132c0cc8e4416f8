package dispatch

// Sums over the engines that lists name, and the few of them that a moment is about, kept so that no decision looks
// at the whole fleet. Nothing is decided here. What only time changes is kept with the time until which it holds.

import (
	"cmp"
	"math"
	"slices"
	"time"

	"windflow/internal/decide/backoff"
	"windflow/internal/decide/slowstart"
)

const (
	// countAgain is how long the sums stand at most: it bounds what a fault in keeping them could cost.
	countAgain = 10 * time.Second
	// grantUnit is what sums of grants count in, in MB: whole units leave nothing behind when all is given back.
	grantUnit = 1.0 / 1024
	// chunkSlack is how far the work of the largest class may move from what rations were last reckoned by.
	chunkSlack = 1.05
)

// zone is a failure domain that lists name.
type zone struct {
	backoff.ZoneBackoff
	listed bool // it has a listed engine; of one without, nothing is kept
}

// tally is what is kept of the listed engines.
type tally struct {
	till    time.Duration // the next recount; 0: at once
	warm    use           // warm engines, but for those of lost zones in a large fleet
	granted int64         // on these, in units
	cold    []*engine

	chunk  float64   // of rations, in seconds of work
	due    []*engine // cold ones, as a heap by when their next chunk is due
	chunks []*engine // those that have one, or had one a while ago, by their ids

	failing      float64       // listed engines among the failed
	failingUntil time.Duration // the next look at them; 0: at once
}

// recount adds up all engines anew, when the list or the settings have changed, when one has become cold or warm, and
// when a zone is lost or found.
func (c *Controller) recount() {
	lost := c.large() && c.zonesLost()
	t := &c.tally
	t.till, t.warm, t.granted, t.cold = c.now+countAgain, use{}, 0, t.cold[:0]
	for _, e := range c.live {
		e.counted = false
		switch {
		case c.now < e.warmAt:
			t.cold, t.till = append(t.cold, e), min(t.till, e.warmAt)
		case !lost || !e.zone.Suspect():
			e.counted = true
			t.warm.cores, t.warm.memory = t.warm.cores+e.cores, t.warm.memory+e.memory
			t.warm.threads, t.granted = t.warm.threads+e.threads, t.granted+units(e.granted)
		}
	}
	c.ration()
}

func units(mb float64) int64 { return int64(math.Round(mb / grantUnit)) }

// tallied has the sums stand for this moment.
func (c *Controller) tallied() *tally {
	if c.now >= c.tally.till {
		c.recount()
	}
	return &c.tally
}

// moved keeps the sums when an engine's threads or grants were others before.
func (c *Controller) moved(e *engine, threads, granted float64) {
	if e.counted {
		c.tally.warm.threads += e.threads - threads
		c.tally.granted += units(e.granted) - units(granted)
	}
}

// warm sums up the engines that are warm; in a large fleet those of zones that are lost are left out: others
// bear their part.
func (c *Controller) warm() use {
	t := c.tallied()
	sum := t.warm
	sum.granted = float64(t.granted) * grantUnit
	return sum
}

// ---- rations of cold engines

// flow is what comes due to this gateway of what all may send a cold engine, in chunks of that work.
func (c *Controller) flow(e *engine, chunk float64) (f slowstart.Rate) {
	window := c.cfg.WarmUpOverloadWindow.Seconds()
	whole, meet := 0.85*e.cores, math.Inf(1) // what it can do when warm; where the two bounds below meet
	if d := c.cfg.WarmUpOverloadFactor - 2*coldUse; d > 0 {
		meet = chunk / window / d
	}
	rate := func(can float64) float64 {
		return min(coldUse*can, (c.cfg.WarmUpOverloadFactor*can-chunk/window)/2) * c.share() / chunk
	}
	from, cold, warm := c.warmthFrom(), millis(e.coldAt), millis(e.coldAt+c.cfg.WarmUpDuration)
	f = f.WithPoint(cold, rate(whole*from))
	for _, can := range []float64{chunk / window / c.cfg.WarmUpOverloadFactor, meet} { // where the rate sets in, and bends
		if part := (can/whole - from) / (1 - from); part > 0 && part < 1 {
			f = f.WithPoint(cold+part*(warm-cold), rate(can))
		}
	}
	return f.WithPoint(warm, rate(whole))
}

// ration has the rations of all cold engines go by the present work of the largest class, and orders them by when they
// are due.
func (c *Controller) ration() {
	t := &c.tally
	t.due, t.chunks = t.due[:0], t.chunks[:0]
	if c.cfg.WarmUpOverloadFactor <= 0 || !c.large() {
		return
	}
	if t.chunk == 0 {
		t.chunk = c.largest()
	}
	for _, e := range t.cold {
		c.rationed(e)
		e.dueAt = e.ration.NextDue()
		t.due, t.chunks = append(t.due, e), append(t.chunks, e)
	}
	for i := len(t.due)/2 - 1; i >= 0; i-- {
		sink(t.due, i)
	}
}

// rationed gives an engine's ration, which goes by the present chunk.
func (c *Controller) rationed(e *engine) *slowstart.Budget {
	if by := (rationBy{c.tally.chunk, e.cores, c.revision}); e.rationBy != by {
		e.rationBy = by
		e.ration.SetRate(c.flow(e, by.chunk), millis(c.now))
	}
	return &e.ration
}

// rationBy is what an engine's flow was reckoned from.
type rationBy struct {
	chunk, cores float64
	revision     int // of the settings
}

// sink moves an engine down a heap to where it belongs.
func sink(h []*engine, i int) {
	for {
		least := i
		for j := 2*i + 1; j <= 2*i+2 && j < len(h); j++ {
			if h[j].dueAt < h[least].dueAt {
				least = j
			}
		}
		if least == i {
			return
		}
		h[i], h[least] = h[least], h[i]
		i = least
	}
}

// chunked are the cold engines that this gateway has a ration of.
func (c *Controller) chunked() []*engine {
	t := c.tallied()
	if most := c.largest(); t.chunk > 0 && (most > t.chunk*chunkSlack || most < t.chunk/chunkSlack) {
		t.chunk = most
		c.ration()
	}
	now, life := millis(c.now), millis(c.cfg.WarmUpOverloadWindow)
	for len(t.due) > 0 && t.due[0].dueAt <= now {
		e := t.due[0]
		e.ration.Available(now, life)
		e.dueAt = e.ration.NextDue()
		sink(t.due, 0)
		at, found := slices.BinarySearchFunc(t.chunks, e, byEngineID)
		if !found {
			t.chunks = slices.Insert(t.chunks, at, e)
		}
	}
	t.chunks = slices.DeleteFunc(t.chunks, func(e *engine) bool {
		_, ok := e.ration.Available(now, life)
		return !ok
	})
	return t.chunks
}

func byEngineID(a, b *engine) int { return cmp.Compare(a.ID, b.ID) }

// ---- engines that fail

// noteFailed notes an engine that is ejected, or was of late.
func (c *Controller) noteFailed(e *engine) {
	t := &c.tally
	if e.fail < ejectAt {
		if e.noted {
			t.failingUntil = 0
		}
		return
	}
	if !e.noted {
		e.noted, c.failed = true, append(c.failed, e)
		if e.listed && t.failingUntil > 0 {
			t.failing++
		}
	}
	t.failingUntil = min(t.failingUntil, c.failsUntil(e))
}

// failsUntil is a time shortly before which an engine's failing share fades to where it counts no more.
func (c *Controller) failsUntil(e *engine) time.Duration {
	return e.failAt + secs(evidenceLife.Seconds()*math.Log(e.fail/ejectAt)) - time.Microsecond
}

// ejected counts the listed engines that fail.
func (c *Controller) ejected() float64 {
	t := &c.tally
	if c.now < t.failingUntil {
		return t.failing
	}
	t.failing, t.failingUntil = 0, math.MaxInt64
	c.failed = slices.DeleteFunc(c.failed, func(e *engine) bool {
		e.noted = c.failing(e) >= ejectAt
		if e.noted && e.listed {
			t.failing++
		}
		if e.noted {
			t.failingUntil = min(t.failingUntil, c.failsUntil(e))
		}
		return !e.noted
	})
	return t.failing
}
