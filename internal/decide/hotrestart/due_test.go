package hotrestart

import (
	"math"
	"testing"
)

// A process that is told to end while it asks for an elder, or waits for its state, wants no tick any more: Step takes none, so
// that it would be due for ever. It guards against a process that spins and never ends.
func TestNothingIsDueAfterTheEnd(t *testing.T) {
	for name, events := range map[string][]Event{
		"looking": nil,
		"asking":  {{Kind: EventPredecessorFound, Process: FirstProcess}},
		"taking":  {{Kind: EventPredecessorFound, Process: FirstProcess}, {Kind: EventMessageReceived, Process: FirstProcess, Message: MessageState}},
	} {
		m, _ := New(FirstProcess+1, 1000, DefaultSettings)
		for _, ev := range events {
			m.Step(1001, ev)
		}
		if due := m.Due(); math.IsInf(due, 1) && name != "looking" {
			t.Errorf("%s: nothing is due before its end", name)
		}
		m.Step(1002, Event{Kind: EventStopRequested})
		if due := m.Due(); m.Phase() != PhaseEnded || !math.IsInf(due, 1) {
			t.Errorf("%s: %v, due at %v", name, m.Phase(), due)
		}
	}
}
