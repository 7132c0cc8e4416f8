package dispatch

import (
	"math"
	"testing"
	"time"
)

func newTestDeadlines() *deadlines {
	d := &deadlines{env: &environment{now: time.Hour, config: Config{Tick: 5 * ms}}}
	d.reset()
	return d
}

// The timer is set for the next due time, but not before the next tick, and set again only for an earlier time.
func TestSetTimer(t *testing.T) {
	const never = time.Duration(math.MaxInt64)
	for _, test := range []struct {
		name              string
		checkIn, pollIn   time.Duration // from now; negative means never
		anyQueued         bool
		want, wantEarlier time.Duration // expected timer, and expected timer after a check becomes due in 6 ms
	}{
		{"nothing is due", -1, -1, false, 0, 6 * ms},
		{"a check", time.Second, -1, false, time.Second, 6 * ms},
		{"a poll before the check", time.Second, 300 * ms, false, 300 * ms, 6 * ms},
		{"a queued request", time.Second, -1, true, housekeepingInterval / 2, 6 * ms},
		{"overdue", 0, -1, false, 5 * ms, 0},
	} {
		d := newTestDeadlines()
		nextPoll := never
		if test.checkIn >= 0 {
			d.checkAt(d.env.now + test.checkIn)
		}
		if test.pollIn >= 0 {
			nextPoll = d.env.now + test.pollIn
		}
		for i, want := range []time.Duration{test.want, 0, test.wantEarlier} {
			if i == 2 {
				d.checkAt(d.env.now + 6*ms)
			}
			d.setTimer(test.anyQueued, nextPoll)
			got := time.Duration(0)
			for _, action := range d.env.takeActions() {
				got = action.(SetTimer).After
			}
			if got != want {
				t.Errorf("%s, call %d: timer set for %v, want %v", test.name, i+1, got, want)
			}
		}
	}
}

// A timer event counts if its tag matches and it is due within a tick. A late one indicates a pause of the process.
func TestTimerFires(t *testing.T) {
	for _, test := range []struct {
		name          string
		tag           int64
		after         time.Duration
		fired, paused bool
	}{
		{"in time", housekeepingTag, 100 * ms, true, false},
		{"a tick early", housekeepingTag, 95 * ms, true, false},
		{"too early", housekeepingTag, 94 * ms, false, false},
		{"another tag", housekeepingTag + 1, 100 * ms, false, false},
		{"late", housekeepingTag, 100*ms + pauseThreshold, true, false},
		{"after a pause", housekeepingTag, 100*ms + pauseThreshold + 1, true, true},
	} {
		d := newTestDeadlines()
		d.checkAt(d.env.now + 100*ms)
		d.setTimer(false, math.MaxInt64)
		d.env.now += test.after
		if got := d.fired(TimerFired{Tag: test.tag}); got != test.fired || (d.pausedAt == d.env.now) != test.paused {
			t.Errorf("%s: fired: %v, pause ended at %v, now %v", test.name, got, d.pausedAt, d.env.now)
		}
	}
}

// Events in every tick do not postpone a timer that is already due.
func TestDueTimerIsNotPostponed(t *testing.T) {
	c, err := New(twoClassConfig())
	if err != nil {
		t.Fatal(err)
	}
	now, due := time.Hour, time.Duration(0)
	answered := false
	handle := func(event Event) {
		for _, action := range c.Handle(now, event, nil) {
			switch action := action.(type) {
			case SetTimer:
				due = now + action.After
			case FailRequest, Reject:
				answered = true
			case StartAttempt, SetResources, CancelAttempt, Subscribe: // not needed in this test
			}
		}
	}
	handle(EndpointList{Mode: ListComplete, Endpoints: testEngines(1)})
	handle(Arrival{Request: "x", Class: "quick", TimeLeft: time.Second})
	for range 220 { // the attempt reports nothing, and another event arrives in every tick
		now += 5 * ms
		if due > 0 && now+100*time.Microsecond >= due { // hosts round times, so a timer may fire slightly early
			due = 0
			handle(TimerFired{Tag: housekeepingTag})
		}
		handle(ClientGone{Request: "unknown"})
	}
	if !answered {
		t.Error("no answer at the client's deadline")
	}
}
