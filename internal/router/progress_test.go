package router

import (
	"testing"
	"time"

	"windflow/dispatch"
)

// What answers say beside an end reaches the module: notes where engines send them, load reports from all. It guards against
// attempts that are taken for lost, and given up with their work, while their engine says all along that they are under
// way; and against a flood of events: each answer brings the same report again, and every question four answers a second.
func TestProgressReachesDispatch(t *testing.T) {
	notes := func(cfg *dispatch.Config) { cfg.ProgressInterval, cfg.CancelAllowed = time.Second, true }
	load := dispatch.LoadReport{InFlight: 3, Waiting: -1, Busy: 0.5, Disk: -1, Memory: 1.2, Failing: -1}
	for _, k := range []struct {
		name      string
		change    func(*dispatch.Config)
		tell      AttemptProgress
		gap       float64 // between two answers, in milliseconds
		cancelled int
		told      int // events for the module, at most
	}{
		{"a silent engine", notes, AttemptProgress{}, 1e9, 1, 0},
		{"under way", notes, AttemptProgress{}, 250, 0, 9},
		{"under way with a report that stays the same", notes, AttemptProgress{Report: &load}, 100, 0, 9 + 17},
		{"a share", notes, AttemptProgress{Kind: dispatch.ProgressFraction, Amount: 0.5}, 250, 0, 16},
		{"no notes in the settings", func(*dispatch.Config) {}, AttemptProgress{Kind: dispatch.ProgressFraction, Amount: 0.5}, 250, 0, 0},
		{"an end", notes, AttemptProgress{Final: true}, 250, 1, 0},
	} {
		t.Run(k.name, func(t *testing.T) {
			b := newHarness(t, k.change)
			for range 20 { // the class's times are known by then
				b.submit("lookup", 3000, 0)
				b.advance(200)
				b.endAttempt(len(b.client.done)-1, End{Outcome: dispatch.Served, Result: &Result{}})
			}
			b.submit("lookup", 5000, 0)
			call := b.client.calls[len(b.client.calls)-1]
			told := 0
			for range int(4000 / k.gap) {
				b.advance(k.gap)
				b.loop.Post(func() {
					before := len(b.core.queue.events)
					call.OnProgress(k.tell)
					told += len(b.core.queue.events) - before
				})
				b.runLoop()
			}
			b.advance(4000 - k.gap*float64(int(4000/k.gap)))
			if got := len(b.client.canceled); got != k.cancelled {
				t.Errorf("%d attempts were taken back, want %d", got, k.cancelled)
			}
			if told > k.told {
				t.Errorf("the module was told %d times, want %d at most", told, k.told)
			}
		})
	}
}
