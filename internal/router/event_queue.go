package router

import (
	"slices"

	"windflow/dispatch"
)

// eventQueue collects events for the dispatch module during a step of the loop.
type eventQueue struct {
	events []dispatch.Event
	// engineEvents are endpoint lists, cordons and restored snapshots. The dispatch module handles them before all other
	// events, because it would otherwise decide on a queued request with an outdated state of the engines.
	engineEvents []dispatch.Event
}

func (q *eventQueue) add(event dispatch.Event) { q.events = append(q.events, event) }

func (q *eventQueue) addEngineEvent(event dispatch.Event) {
	q.engineEvents = append(q.engineEvents, event)
}

func (q *eventQueue) empty() bool { return len(q.events)+len(q.engineEvents) == 0 }

// take returns the events in the order in which the dispatch module has to handle them, and empties the queue.
func (q *eventQueue) take() []dispatch.Event {
	events := slices.Concat(q.engineEvents, q.events)
	q.events, q.engineEvents = nil, nil
	return events
}
