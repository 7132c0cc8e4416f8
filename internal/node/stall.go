package node

import (
	"log/slog"
	"runtime"
	"sync/atomic"
	"time"
)

const (
	// beatEvery is how often the loop shows that it goes on, in milliseconds; stalledAfter is the silence after which
	// what it knows is old: the rule on drains and bans leaves a second, of which some is needed to hear of them.
	beatEvery    = 100.0
	stalledAfter = 400.0
	// hearFor is how long a loop that stood still hears, and sends nothing, in milliseconds.
	hearFor = 100.0
	// watchEvery is how often the loop is looked at from outside.
	watchEvery = 250 * time.Millisecond
	// maxStack bounds the stacks in the log.
	maxStack = 32 << 10
)

// stall is what a router keeps for noticing that it stood still.
type stall struct {
	beatAt float64      // of the loop
	stood  float64      // when the last standstill began, and
	until  float64      // when it ended
	seen   atomic.Int64 // the same for the watch, in microseconds
	waking bool         // it hears, and sends nothing

	stallCounters
}

// stallCounters count standstills, and the SIGCONTs that tell that the process had been stopped by a signal.
type stallCounters struct {
	Stalls    int64        `status:"stalls"`
	Continued atomic.Int64 `status:"continued"`
}

// beat notices that the loop stood still: the process was stopped, or got no processor. Then clients' queries wait that
// came meanwhile, and so does word of drains and bans. It guards against the one being sent before the other is heard:
// what came is handed to the module only after the loop has heard for a while, and read the folder of bans.
func (r *node) beat() {
	now := r.loop.Now()
	late := now - r.beatAt - beatEvery
	if r.beatAt > 0 && late > stalledAfter && !r.waking && r.core != nil {
		r.Stalls++
		r.stood, r.until = r.beatAt, now
		r.waking = true
		r.log.Warn("the loop stood still", "ms", int(late), "open", r.core.OpenRequests(), "continued", r.Continued.Load())
		r.core.HoldDecisions(true)
		wake := func() {
			r.loop.After(hearFor, func() {
				r.waking = false
				r.core.HoldDecisions(false)
			})
		}
		if r.place == nil {
			wake()
		} else {
			r.inOrder(func() {
				r.readBans()
				r.loop.Post(wake)
			}, wake)
		}
	}
	r.beatAt = now
	r.seen.Store(int64(now * 1e3))
	r.loop.After(beatEvery, r.beat)
}

// since is when what is heard of now may have happened: a signal that is found after a standstill may have come at its
// beginning, and a kill is due by that time.
func (r *node) since() float64 {
	now := r.loop.Now()
	if r.until > 0 && now-r.until < stalledAfter {
		return r.stood
	}
	return now
}

// watchLoop logs where the loop stands when it does not go on though the process does.
func (r *node) watchLoop() {
	tick := time.NewTicker(watchEvery)
	defer tick.Stop()
	last, told := time.Now(), false
	for {
		select {
		case <-r.stop:
			return
		case <-tick.C:
		}
		own := time.Since(last)
		last = time.Now()
		late := r.loop.Now() - float64(r.seen.Load())/1e3
		if own > 2*watchEvery || late < 1000 {
			told = false
			continue
		}
		if !told {
			told = true
			text := make([]byte, maxStack)
			r.log.Error("the loop does not go on", "ms", int(late), slog.String("stacks", string(text[:runtime.Stack(text, true)])))
		}
	}
}
