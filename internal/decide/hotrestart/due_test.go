package hotrestart

import (
	"math"
	"testing"
)

// A process that is to end while it looks for its predecessor, or waits for its state, needs no tick any more:
// Step ignores ticks then, so that the process would be due for ever. It guards against a process that spins and
// never ends.
func TestNoTickDueAfterEnd(t *testing.T) {
	found := Event{Kind: EventPredecessorFound, Process: FirstProcess}
	state := Event{Kind: EventMessageReceived, Process: FirstProcess, Message: MessageState}
	for phase, events := range map[Phase][]Event{
		PhaseFindingPredecessor: nil,
		PhaseAwaitingState:      {found},
		PhaseAwaitingGoAhead:    {found, state},
	} {
		m, _ := New(FirstProcess+1, 1000, DefaultSettings)
		for _, event := range events {
			m.Step(1001, event)
		}
		if m.Phase() != phase {
			t.Errorf("%v instead of %v", m.Phase(), phase)
		}
		if due := m.Due(); math.IsInf(due, 1) && phase != PhaseFindingPredecessor {
			t.Errorf("%v: nothing is due before its end", phase)
		}
		m.Step(1002, Event{Kind: EventStopRequested})
		if due := m.Due(); m.Phase() != PhaseEnded || !math.IsInf(due, 1) {
			t.Errorf("%v: %v, due at %v", phase, m.Phase(), due)
		}
	}
}
