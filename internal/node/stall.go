package node

import (
	"log/slog"
	"runtime"
	"sync/atomic"
	"time"

	"windflow/internal/router"
)

const (
	// heartbeatIntervalMS is how often the event loop records a heartbeat. A heartbeat that is late by more than
	// stallThresholdMS is a stall, after which the loop's knowledge of engines is out of date: a drain or cordon has to be
	// in force within a second, and learning of it takes a part of that.
	heartbeatIntervalMS = 100.0
	stallThresholdMS    = 400.0
	// catchUpMS is how long the loop, after a stall, handles what has arrived without sending requests to engines.
	catchUpMS = 100.0
	// blockedThresholdMS is how old the last heartbeat may be before the stacks of all goroutines are logged.
	blockedThresholdMS = 1000.0
	// watchInterval is how often the watching goroutine checks the heartbeat.
	watchInterval = 250 * time.Millisecond
	// maxLoggedStack is how many bytes of stacks are logged at most.
	maxLoggedStack = 32 << 10
)

// stallCounters counts stalls of the event loop, and received SIGCONT signals, which show that a signal had stopped the
// process.
type stallCounters struct {
	Stalls    int64        `status:"stalls"`
	Continued atomic.Int64 `status:"continued"`
}

// stallDetector detects that the event loop stalled, for instance because the process was stopped or got no processor
// time.
type stallDetector struct {
	log      *slog.Logger
	loop     *router.Loop
	services *services
	refresh  func(done func()) // reads the stored cordons, then calls done in the loop

	lastHeartbeat       float64      // time of the last heartbeat, in ms
	stallBegan          float64      // start of the last stall, in ms
	stallEnded          float64      // end of the last stall, in ms; 0 if there was none
	lastHeartbeatMicros atomic.Int64 // lastHeartbeat in microseconds, for the watching goroutine
	catchingUp          bool         // handling what arrived during a stall, and sending nothing to engines
	counters            stallCounters
}

// heartbeat records that the loop runs, and detects a stall. After a stall both queries and drains or cordons that
// arrived meanwhile are waiting to be handled. To prevent queries from being sent to an engine whose drain or cordon
// has not been handled yet, decisions are held back until the stored cordons have been read and the loop has handled
// messages for catchUpMS.
func (d *stallDetector) heartbeat() {
	now := d.loop.Now()
	late := now - d.lastHeartbeat - heartbeatIntervalMS
	if d.lastHeartbeat > 0 && late > stallThresholdMS && !d.catchingUp && d.services.built() {
		d.catchUp(now, late)
	}
	d.lastHeartbeat = now
	d.lastHeartbeatMicros.Store(int64(now * 1e3))
	d.loop.After(heartbeatIntervalMS, d.heartbeat)
}

// catchUp counts and logs a stall, and holds decisions back until what arrived during it has been handled.
func (d *stallDetector) catchUp(now, late float64) {
	d.counters.Stalls++
	d.stallBegan, d.stallEnded = d.lastHeartbeat, now
	d.catchingUp = true
	d.log.Warn("event loop stalled", "stall_ms", int(late), "open", d.services.core.OpenRequests(),
		"continued", d.counters.Continued.Load())
	d.services.core.HoldDecisions(true)
	d.refresh(func() {
		d.loop.After(catchUpMS, func() {
			d.catchingUp = false
			d.services.core.HoldDecisions(false)
		})
	})
}

// earliestEventTime returns the earliest time, in ms, at which an event that is noticed now may have happened. A signal
// that is noticed after a stall may have arrived at the beginning of the stall, and the time of the kill counts from
// its arrival.
func (d *stallDetector) earliestEventTime() float64 {
	now := d.loop.Now()
	if d.stallEnded > 0 && now-d.stallEnded < stallThresholdMS {
		return d.stallBegan
	}
	return now
}

// watch logs the stacks of all goroutines when the event loop is blocked while the process runs. It logs nothing after
// a late tick, which shows that the process itself did not run. watch returns when done is closed. It runs in a
// goroutine of its own.
func (d *stallDetector) watch(done <-chan struct{}) {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	last, logged := time.Now(), false
	for {
		select {
		case <-done:
			return
		case <-tick.C:
		}
		pause := time.Since(last)
		last = time.Now()
		late := d.loop.Now() - float64(d.lastHeartbeatMicros.Load())/1e3
		if pause > 2*watchInterval || late < blockedThresholdMS {
			logged = false
			continue
		}
		if !logged {
			logged = true
			text := make([]byte, maxLoggedStack)
			stacks := string(text[:runtime.Stack(text, true)])
			d.log.Error("event loop blocked", "stall_ms", int(late), slog.String("stacks", stacks))
		}
	}
}
