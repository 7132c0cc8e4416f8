package router

import (
	"container/heap"
	"sync"
	"time"

	"windflow/internal/clock"
)

// Loop runs everything that touches the router's state in one goroutine, step by step: the functions that other
// goroutines have posted, then the timers that are due, then AfterStep. Nothing in a step may block.
type Loop struct {
	// AfterStep runs at the end of each step, when all that was ready has run.
	AfterStep func()
	// OnStall, if set, is called when the loop finds that it stalled: usually with the entire process, so that what
	// arrived meanwhile has not been posted yet. It calls caughtUp, from any goroutine, when that is done. Until then
	// no timer runs, so that an answer that has come is not taken for one that is missing.
	OnStall func(caughtUp func())

	clock        clock.Clock
	timers       timerHeap
	due          []*Timer // of the current step
	lastSequence uint64
	pausedUntil  float64 // when timers run again at the latest; 0 if they are not paused
	caughtUpAt   float64 // when the last pause of the timers ended

	mu    sync.Mutex
	inbox []func()
	spare []func() // the inbox of the step before, for reuse
	wake  chan struct{}
}

const (
	// stallThresholdMS is how late a timer has to be for the loop to count as stalled.
	stallThresholdMS = 400.0
	// maxCatchUpMS bounds how long timers are paused then.
	maxCatchUpMS = 200.0
	// maxSleep is how long Run sleeps if no timer is set.
	maxSleep = time.Hour
)

// NewLoop returns a loop on that clock.
func NewLoop(c clock.Clock) *Loop {
	return &Loop{clock: c, wake: make(chan struct{}, 1), AfterStep: func() {}}
}

// Now returns the loop's time in milliseconds.
func (l *Loop) Now() float64 { return l.clock.Now() }

// Post has fn run in the loop's goroutine, after what was posted before it. It never blocks and may be called from any
// goroutine.
func (l *Loop) Post(fn func()) {
	l.mu.Lock()
	l.inbox = append(l.inbox, fn)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// At has fn run in the loop's goroutine once the clock shows that time in milliseconds.
func (l *Loop) At(ms float64, fn func()) *Timer {
	l.lastSequence++
	timer := &Timer{at: ms, sequence: l.lastSequence, fn: fn, loop: l}
	heap.Push(&l.timers, timer)
	return timer
}

// After has fn run in the loop's goroutine once that many milliseconds have passed.
func (l *Loop) After(ms float64, fn func()) *Timer { return l.At(l.Now()+ms, fn) }

// PendingTimers is the number of timers that are set. It must be called in the loop's goroutine.
func (l *Loop) PendingTimers() int { return len(l.timers) }

// Step runs all that is posted and due, then AfterStep, and reports whether there was anything to do.
func (l *Loop) Step() bool {
	posted := l.runPosted()
	fired := l.runTimers()
	if !posted && !fired {
		return false
	}
	l.AfterStep()
	return true
}

// runPosted runs what was posted before the call, and reports whether that was anything.
func (l *Loop) runPosted() bool {
	l.mu.Lock()
	posted := l.inbox
	l.inbox = l.spare[:0]
	l.mu.Unlock()
	for i, fn := range posted {
		fn()
		posted[i] = nil
	}
	l.spare = posted
	return len(posted) > 0
}

// runTimers runs the timers that are due, and reports whether there were any. Timers that are set meanwhile wait for
// the next step, even if they are due: one that sets itself anew for a time in the past would never let the loop go
// on.
func (l *Loop) runTimers() bool {
	due := l.due[:0]
	for now := l.Now(); len(l.timers) > 0 && l.timers[0].at <= now && !l.timersPaused(now); {
		due = append(due, heap.Pop(&l.timers).(*Timer))
	}
	for i, timer := range due {
		timer.run()
		due[i] = nil
	}
	l.due = due
	return len(due) > 0
}

// timersPaused reports whether timers that are due have to wait, because the loop stalled and what arrived meanwhile
// has not been posted yet.
func (l *Loop) timersPaused(now float64) bool {
	switch {
	case l.pausedUntil > now:
		return true
	case l.pausedUntil > 0: // caughtUp was not called in time
		l.pausedUntil, l.caughtUpAt = 0, now
	case l.OnStall != nil && now-max(l.timers[0].at, l.caughtUpAt) > stallThresholdMS:
		l.pausedUntil = now + maxCatchUpMS
		l.OnStall(func() {
			l.Post(func() { l.pausedUntil, l.caughtUpAt = 0, l.Now() })
		})
		return true
	}
	return false
}

// Run steps until stop is closed.
func (l *Loop) Run(stop <-chan struct{}) {
	sleep := time.NewTimer(0)
	defer sleep.Stop()
	for {
		select {
		case <-stop:
			return
		default:
		}
		if l.Step() {
			continue
		}
		sleep.Reset(l.untilNextTimer())
		select {
		case <-stop:
			return
		case <-l.wake:
		case <-sleep.C:
		}
	}
}

// untilNextTimer is how long the loop may sleep.
func (l *Loop) untilNextTimer() time.Duration {
	if len(l.timers) == 0 {
		return maxSleep
	}
	return max(clock.Duration(max(l.timers[0].at, l.pausedUntil)-l.Now()), 0)
}
