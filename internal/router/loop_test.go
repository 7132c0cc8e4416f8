package router

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"windflow/internal/clock"
)

// Data that arrived during a stall is posted after it, and the loop runs those posted functions before its timers.
// Otherwise a timeout could fail a load whose answer has arrived. The timers must not wait forever if caughtUp is never
// called, and must not wait without a stall.
func TestTimersWaitForInboxAfterStall(t *testing.T) {
	for _, test := range []struct {
		name     string
		lateMS   float64 // how late the timer is
		caughtUp bool    // whether the answer is posted and caughtUp called
		stalls   int
		want     []string
	}{
		{"on time", 5, true, 0, []string{"timer", "answer"}},
		{"late, below the stall threshold", 300, true, 0, []string{"timer", "answer"}},
		{"stalled", 3000, true, 1, []string{"answer", "timer"}},
		{"stalled, and caughtUp is never called", 3000, false, 1, []string{"timer"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := &clock.Manual{MS: 1000}
			loop := NewLoop(now)
			var ran []string
			stalls := 0
			var caughtUp func()
			loop.OnStall = func(fn func()) { stalls, caughtUp = stalls+1, fn }
			loop.After(10, func() { ran = append(ran, "timer") })
			now.MS += 10 + test.lateMS
			loop.Step()
			if test.caughtUp {
				loop.Post(func() { ran = append(ran, "answer") })
				if caughtUp != nil {
					caughtUp()
				}
				loop.Step()
				loop.Step()
			} else {
				now.MS += maxCatchUpMS - 1
				if loop.Step(); len(ran) > 0 {
					t.Errorf("ran %v while the timers were paused, want nothing", ran)
				}
				now.MS++
				loop.Step()
			}
			if !slices.Equal(ran, test.want) || stalls != test.stalls {
				t.Errorf("ran %v, %d stalls; want %v, %d", ran, stalls, test.want, test.stalls)
			}
			loop.After(5, func() { ran = append(ran, "next") })
			now.MS += 5
			if loop.Step(); ran[len(ran)-1] != "next" {
				t.Errorf("ran %v: a timer that was set after the stall did not run in time", ran)
			}
		})
	}
}

func TestTimersRunInOrder(t *testing.T) {
	now := &clock.Manual{}
	loop := NewLoop(now)
	var ran []string
	record := func(name string) func() { return func() { ran = append(ran, name) } }
	loop.At(20, record("late"))
	loop.At(10, record("first"))
	loop.At(10, record("second"))
	loop.At(10, record("stopped")).Stop()
	loop.Post(record("posted"))
	loop.Step()
	now.MS = 15
	loop.Step()
	if diff := cmp.Diff([]string{"posted", "first", "second"}, ran); diff != "" {
		t.Error(diff)
	}
}

// A timer that sets itself again for a time in the past does not block the loop: it runs once per step, and posted
// functions and other timers run as well.
func TestTimerInThePastDoesNotBlockLoop(t *testing.T) {
	now := &clock.Manual{MS: 100}
	loop := NewLoop(now)
	posted, later, repeats := false, false, 0
	var repeat func()
	repeat = func() {
		repeats++
		loop.At(50, repeat)
	}
	loop.At(90, repeat)
	loop.At(100, func() { later = true })
	loop.Step()
	loop.Post(func() { posted = true })
	loop.Step()
	loop.Step()
	if !posted || !later || repeats != 3 {
		t.Errorf("posted function ran: %v, other timer ran: %v, repeats %d; want true, true, 3", posted, later, repeats)
	}
}
