package dispatch

import (
	"testing"
	"time"
)

// Events that come in every tick must not push on a wake that is already due.
func TestDueTimerIsNotPostponed(t *testing.T) {
	config := twoClassConfig()
	c, err := New(config)
	if err != nil {
		t.Fatal(err)
	}
	now, due := time.Hour, time.Duration(0)
	answered := false
	handle := func(ev Event) {
		for _, a := range c.Handle(now, ev, nil) {
			switch a := a.(type) {
			case SetTimer:
				due = now + a.After
			case FailRequest, Reject:
				answered = true
			}
		}
	}
	handle(EndpointList{Mode: ListComplete, Endpoints: testEngines(1)})
	handle(Arrival{Request: "x", Class: "quick", TimeLeft: time.Second})
	for range 220 { // its attempt is silent; another event comes in every tick
		now += 5 * ms
		if due > 0 && now+100*time.Microsecond >= due { // hosts round: a timer may come a little early
			due = 0
			handle(TimerFired{Tag: housekeepingTag})
		}
		handle(ClientGone{Request: "unknown"})
	}
	if !answered {
		t.Error("no answer at the client's end")
	}
}
