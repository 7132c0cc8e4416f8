package router

import (
	"slices"

	"windflow/dispatch"
)

// eventQueue gathers events for the dispatch module during a step of the loop.
type eventQueue struct {
	events []dispatch.Event
	// engineEvents are about engines: endpoint lists, cordons, restored snapshots. They go ahead of all others, because
	// a request that was gathered before them would else be sent by an outdated view of the fleet.
	engineEvents []dispatch.Event
}

func (q *eventQueue) add(event dispatch.Event) { q.events = append(q.events, event) }

func (q *eventQueue) addEngineEvent(event dispatch.Event) {
	q.engineEvents = append(q.engineEvents, event)
}

func (q *eventQueue) empty() bool { return len(q.events)+len(q.engineEvents) == 0 }

// take returns the gathered events in the order in which the module is to handle them, and empties the queue.
func (q *eventQueue) take() []dispatch.Event {
	events := slices.Concat(q.engineEvents, q.events)
	q.events, q.engineEvents = nil, nil
	return events
}
