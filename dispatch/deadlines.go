package dispatch

import (
	"math"
	"time"
)

const (
	// housekeepingInterval is the time in which queued requests are checked twice.
	housekeepingInterval = 20 * time.Millisecond
	// pauseThreshold is how late a timer fires after a pause of this process.
	pauseThreshold = 5 * housekeepingInterval
	// housekeepingTag is the tag of the one timer that the controller sets.
	housekeepingTag = 1
)

// deadlines manages the one timer of a controller.
type deadlines struct {
	env       *environment
	timerAt   time.Duration // when the timer fires
	nextCheck time.Duration // when an open request has to be checked
	pausedAt  time.Duration // when a pause of this process ended
}

// reset forgets the timer, and when open requests have to be checked.
func (d *deadlines) reset() { d.timerAt, d.nextCheck = math.MaxInt64, math.MaxInt64 }

// checkAt schedules the check of open requests at a time, or earlier.
func (d *deadlines) checkAt(at time.Duration) { d.nextCheck = min(d.nextCheck, at) }

// fired reports whether a timer that fired is the one that was set last; then none is set any more. Hosts may round a
// time down, so one that fires a tick early is in time.
func (d *deadlines) fired(event TimerFired) bool {
	if event.Tag != housekeepingTag || d.env.now+d.env.config.Tick < d.timerAt {
		return false
	}
	if d.env.now-d.timerAt > pauseThreshold {
		d.pausedAt = d.env.now
	}
	d.reset()
	return true
}

// setTimer sets a timer for what is due next, unless an earlier one is set: queued requests are checked often for
// capacity, others only for silence and their deadline.
func (d *deadlines) setTimer(anyQueued bool, nextPoll time.Duration) {
	due := min(d.nextCheck, nextPoll)
	if anyQueued {
		due = min(due, d.env.now+housekeepingInterval/2)
	}
	at := max(due, d.env.now+d.env.config.Tick, d.env.now+1)
	if at < d.timerAt {
		d.timerAt = at
		d.env.emit(SetTimer{Tag: housekeepingTag, After: at - d.env.now})
	}
}
