package router

import (
	"container/heap"
	"sync"
	"time"

	"windflow/internal/clock"
)

// Loop is an event loop: it runs all code that uses the router's state in one goroutine. Each step runs the functions
// that other goroutines have posted, then the timers that are due, then AfterStep. None of these may block.
type Loop struct {
	// AfterStep runs at the end of each step in which a posted function or a timer ran.
	AfterStep func()
	// OnStall, if set, is called when a timer runs so late that the loop must have stalled, usually because the entire
	// process was stopped. Data that arrived during the stall may not have been posted yet. OnStall must arrange a call
	// of caughtUp, from any goroutine, once it has been posted. Until then, for at most maxCatchUpMS, no timer runs:
	// otherwise a timeout could fire although the answer has arrived.
	OnStall func(caughtUp func())

	clock        clock.Clock
	timers       timerHeap
	due          []*Timer // buffer for the timers that a step runs
	lastSequence uint64
	pausedUntil  float64 // latest end of the current pause of the timers; 0 if they are not paused
	caughtUpAt   float64 // when the last pause of the timers ended

	mu    sync.Mutex
	inbox []func()
	spare []func() // buffer of the last step's inbox, for reuse
	wake  chan struct{}
}

const (
	// stallThresholdMS is the delay of a timer above which the loop counts as stalled.
	stallThresholdMS = 400.0
	// maxCatchUpMS is the longest pause of the timers after a stall.
	maxCatchUpMS = 200.0
	// maxSleep is how long Run sleeps if no timer is set and nothing is posted.
	maxSleep = time.Hour
)

// NewLoop returns a loop that takes its time from the clock.
func NewLoop(c clock.Clock) *Loop {
	return &Loop{clock: c, wake: make(chan struct{}, 1), AfterStep: func() {}}
}

// Now returns the loop's time in milliseconds.
func (l *Loop) Now() float64 { return l.clock.Now() }

// Post schedules fn to run in the loop's goroutine, after the functions that were posted before it. It never blocks and
// may be called from any goroutine.
func (l *Loop) Post(fn func()) {
	l.mu.Lock()
	l.inbox = append(l.inbox, fn)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// At schedules fn to run in the loop's goroutine when the clock has reached ms. It must be called in that
// goroutine, or before the loop runs.
func (l *Loop) At(ms float64, fn func()) *Timer {
	l.lastSequence++
	timer := &Timer{at: ms, sequence: l.lastSequence, fn: fn, loop: l}
	heap.Push(&l.timers, timer)
	return timer
}

// After schedules fn to run in the loop's goroutine after ms milliseconds. It must be called in that goroutine, or
// before the loop runs.
func (l *Loop) After(ms float64, fn func()) *Timer { return l.At(l.Now()+ms, fn) }

// PendingTimers returns the number of timers that are set. It must be called in the loop's goroutine.
func (l *Loop) PendingTimers() int { return len(l.timers) }

// Step runs the posted functions and the timers that are due. If there were any, it runs AfterStep and returns true.
func (l *Loop) Step() bool {
	posted := l.runPosted()
	fired := l.runTimers()
	if !posted && !fired {
		return false
	}
	l.AfterStep()
	return true
}

// runPosted runs the functions that were posted before the call, and reports whether there were any.
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

// runTimers runs the timers that are due at the start of the call, and reports whether there were any. Timers that are
// set during the call wait for the next step, even if they are due: a timer that sets itself again for a time in the
// past would otherwise block the loop forever.
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

// timersPaused reports whether due timers must wait, because the loop stalled and the data that arrived during the
// stall has not been posted yet. It starts and ends the pause. At least one timer must be set.
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

// Run executes steps, and sleeps while there is nothing to do, until stop is closed.
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

// untilNextTimer returns how long the loop may sleep if nothing is posted.
func (l *Loop) untilNextTimer() time.Duration {
	if len(l.timers) == 0 {
		return maxSleep
	}
	return max(clock.Duration(max(l.timers[0].at, l.pausedUntil)-l.Now()), 0)
}
