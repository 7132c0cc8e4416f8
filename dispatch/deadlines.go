package dispatch

import (
	"math"
	"time"
)

const (
	// Half of housekeepingInterval is the time between two checks of queued requests.
	housekeepingInterval = 20 * time.Millisecond
	// pauseThreshold is the delay of a timer above which this process is assumed to have been paused.
	pauseThreshold = 5 * housekeepingInterval
	// housekeepingTag is the tag of the only timer that the controller sets.
	housekeepingTag = 1
)

// deadlines manages the only timer of a controller.
type deadlines struct {
	env       *environment
	timerAt   time.Duration // time at which the timer fires
	nextCheck time.Duration // time of the next check of open requests
	pausedAt  time.Duration // end of the latest pause of this process
}

// reset clears the timer and the time of the next check of open requests.
func (d *deadlines) reset() { d.timerAt, d.nextCheck = math.MaxInt64, math.MaxInt64 }

// checkAt makes sure that open requests are checked at the given time or earlier.
func (d *deadlines) checkAt(at time.Duration) { d.nextCheck = min(d.nextCheck, at) }

// fired reports whether an event comes from the timer that was set last, and clears that timer if so. An event up to
// one tick early counts, because hosts may round the time down.
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

// setTimer sets the timer for the next due time, unless it is already set for an earlier one. Queued requests are
// checked often because capacity may become free; other requests are checked only for silence and for their deadline.
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
