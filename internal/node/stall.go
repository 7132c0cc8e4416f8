package node

import (
	"log/slog"
	"runtime"
	"sync/atomic"
	"time"

	"windflow/internal/router"
)

const (
	// loopBeatIntervalMS is how often the loop shows that it continues, and stallThresholdMS the delay after which what
	// it knows is old: the rule on drains and cordons leaves a second, of which some is needed to learn of them.
	heartbeatIntervalMS = 100.0
	stallThresholdMS    = 400.0
	// catchUpMS is how long a loop that stalled takes in what arrived, and sends nothing.
	catchUpMS = 100.0
	// blockedAfterMS is how late the loop may be before its stacks are logged.
	blockedThresholdMS = 1000.0
	// watchInterval is how often the loop is looked at from outside.
	watchInterval = 250 * time.Millisecond
	// maxLoggedStack bounds the stacks in the log, in bytes.
	maxLoggedStack = 32 << 10
)

// stallCounters count stalls of the loop, and the SIGCONTs that show that a signal had stopped the process.
type stallCounters struct {
	Stalls    int64        `status:"stalls"`
	Continued atomic.Int64 `status:"continued"`
}

// stallDetector detects that the loop stalled: the process was stopped, or got no processor.
type stallDetector struct {
	log      *slog.Logger
	loop     *router.Loop
	services *services
	refresh  func(done func()) // reads the stored cordons

	lastHeartbeat       float64      // last beat of the loop
	stallBegan          float64      // when the last stall began, and
	stallEnded          float64      // when it ended; 0 before the first one
	lastHeartbeatMicros atomic.Int64 // beatAt for the watch, in microseconds
	catchingUp          bool         // what arrived is taken in, and nothing sent
	counters            stallCounters
}

// beat notices a stall. After one, clients' queries wait that arrived meanwhile, and so do drains and cordons. It
// guards against sending the first before the others are known: what arrived is handed to the module only after the
// loop has taken in messages for a while, and the stored cordons have been read.
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

// since is when what is noticed now may have happened: a signal that is found after a stall may have come at its
// beginning, and a kill is due by that time.
func (d *stallDetector) earliestEventTime() float64 {
	now := d.loop.Now()
	if d.stallEnded > 0 && now-d.stallEnded < stallThresholdMS {
		return d.stallBegan
	}
	return now
}

// watch logs the stacks when the loop does not continue though the process does, until done is closed. It runs in a
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
