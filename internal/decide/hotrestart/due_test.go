package hotrestart

import (
	"math"
	"testing"
)

// Checks that a process that is requested to end while it waits for its predecessor has no tick due any more. Step
// ignores ticks after the end; a due time that stays in the past would make the caller's timer fire in a busy loop,
// and the process would never end.
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
			t.Errorf("phase is %v, want %v", m.Phase(), phase)
		}
		if due := m.Due(); math.IsInf(due, 1) && phase != PhaseFindingPredecessor {
			t.Errorf("%v: no tick is due before the process is requested to end", phase)
		}
		m.Step(1002, Event{Kind: EventStopRequested})
		if due := m.Due(); m.Phase() != PhaseEnded || !math.IsInf(due, 1) {
			t.Errorf("requested to end in phase %v: phase is %v with a tick due at %v, want %v without one",
				phase, m.Phase(), due, PhaseEnded)
		}
	}
}
