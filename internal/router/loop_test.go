package router

import (
	"slices"
	"testing"

	"windflow/internal/clock"
)

// A loop that stood still hears what came meanwhile before its timers run, which may say that it did not come. It guards against
// an answer that is there, and a load that is failed for want of it; and against timers that wait for ever, or wait where
// nothing stood.
func TestTimersWaitForInboxAfterStall(t *testing.T) {
	for _, k := range []struct {
		name    string
		late    float64 // of the timer
		catches bool    // whether what came is handed on, and the loop told
		asked   int
		want    []string
	}{
		{"on time", 5, true, 0, []string{"timer", "answer"}},
		{"late as on a busy machine", 300, true, 0, []string{"timer", "answer"}},
		{"stood still", 3000, true, 1, []string{"answer", "timer"}},
		{"stood still, and nobody tells", 3000, false, 1, []string{"timer"}},
	} {
		t.Run(k.name, func(t *testing.T) {
			now := &clock.Manual{MS: 1000}
			l := NewLoop(now)
			var saw []string
			asked := 0
			var caughtUp func()
			l.OnStall = func(f func()) { asked, caughtUp = asked+1, f }
			l.After(10, func() { saw = append(saw, "timer") })
			now.MS += 10 + k.late
			l.Step()
			if k.catches {
				l.Post(func() { saw = append(saw, "answer") })
				if caughtUp != nil {
					caughtUp()
				}
				l.Step()
				l.Step()
			} else {
				now.MS += maxCatchUpMS - 1
				if l.Step(); len(saw) > 0 {
					t.Errorf("saw %v while the loop waits", saw)
				}
				now.MS++
				l.Step()
			}
			if !slices.Equal(saw, k.want) || asked != k.asked {
				t.Errorf("saw %v, asked %d times; want %v, %d", saw, asked, k.want, k.asked)
			}
			l.After(5, func() { saw = append(saw, "next") })
			now.MS += 5
			if l.Step(); saw[len(saw)-1] != "next" {
				t.Errorf("saw %v: the timer after the standstill waits", saw)
			}
		})
	}
}
