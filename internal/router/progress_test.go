package router

import (
	"testing"
	"time"

	"windflow/dispatch"
)

// The dispatch module gets the progress that engines report, if that is configured, and the load reports. Without the
// progress, it would cancel attempts as lost while their engine reports that they are running. The number of events is
// limited: each answer repeats the load report, and each attempt may cause four answers a second.
func TestProgressReachesDispatch(t *testing.T) {
	reporting := func(cfg *dispatch.Config) { cfg.Features.ProgressInterval, cfg.CancelAllowed = time.Second, true }
	load := dispatch.LoadReport{InFlight: 3, Waiting: -1, Busy: 0.5, Disk: -1, Memory: 1.2, Failing: -1}
	for _, test := range []struct {
		name       string
		change     func(*dispatch.Config)
		progress   AttemptProgress
		intervalMS float64 // between two answers
		canceled   int
		maxEvents  int // for the dispatch module
	}{
		{"no answer", reporting, AttemptProgress{}, 1e9, 1, 0},
		{"alive", reporting, AttemptProgress{}, 250, 0, 9},
		{
			"alive, with an unchanged load report", reporting,
			AttemptProgress{Report: &load},
			100, 0, 9 + 17,
		},
		{"fraction done", reporting, AttemptProgress{Kind: dispatch.ProgressFraction, Amount: 0.5}, 250, 0, 16},
		{
			"progress reports not configured", func(*dispatch.Config) {},
			AttemptProgress{Kind: dispatch.ProgressFraction, Amount: 0.5},
			250, 0, 0,
		},
		{"final answer", reporting, AttemptProgress{Final: true}, 250, 1, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, test.change)
			for range 20 { // the dispatch module learns the class's service times
				h.submit("lookup", 3000, 0)
				h.advance(200)
				h.endAttempt(len(h.client.done)-1, End{Outcome: dispatch.Served, Result: &Result{}})
			}
			h.submit("lookup", 5000, 0)
			call := h.client.calls[len(h.client.calls)-1]
			events := 0
			for range int(4000 / test.intervalMS) {
				h.advance(test.intervalMS)
				h.loop.Post(func() {
					before := len(h.core.queue.events)
					call.OnProgress(test.progress)
					events += len(h.core.queue.events) - before
				})
				h.runLoop()
			}
			h.advance(4000 - test.intervalMS*float64(int(4000/test.intervalMS)))
			if got := len(h.client.canceled); got != test.canceled {
				t.Errorf("%d attempts were canceled, want %d", got, test.canceled)
			}
			if events > test.maxEvents {
				t.Errorf("the dispatch module got %d events, want at most %d", events, test.maxEvents)
			}
		})
	}
}
