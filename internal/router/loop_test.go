package router

import (
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"

	"windflow/internal/clock"
)

// After a stall, the loop runs what arrived meanwhile before its timers, which may say that it did not arrive. It
// guards against failing a load for want of an answer that is there, and against timers that wait forever or without
// a stall.
func TestTimersWaitForInboxAfterStall(t *testing.T) {
	for _, test := range []struct {
		name     string
		lateMS   float64 // of the timer
		caughtUp bool    // whether what arrived is posted, and caughtUp called
		stalls   int
		want     []string
	}{
		{"on time", 5, true, 0, []string{"timer", "answer"}},
		{"late as on a busy machine", 300, true, 0, []string{"timer", "answer"}},
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
					t.Errorf("ran %v while the timers are paused", ran)
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
				t.Errorf("ran %v: the timer after the stall waits", ran)
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

// A timer that sets itself anew for a time in the past does not block the loop: what is posted runs, and so do the
// other timers.
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
		t.Errorf("posted %v, later %v, repeats %d", posted, later, repeats)
	}
}
