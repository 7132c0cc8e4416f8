package hotrestart

// EventKind is the kind of an event.
type EventKind uint8

// Events.
const (
	// EventTick says that time has passed.
	EventTick EventKind = iota
	// EventPredecessorFound answers ActionFindPredecessor: Process is the newest living process before this one, or
	// NoProcess. A predecessor that has ended is also reported by EventProcessEnded.
	EventPredecessorFound
	// EventMessageReceived says that Message was received from Process.
	EventMessageReceived
	// EventLinkLost says that the link to Process broke while Process lives.
	EventLinkLost
	// EventProcessEnded says that Process has ended.
	EventProcessEnded
	// EventStopRequested says that this process is requested to end.
	EventStopRequested
	// EventIdle says that no request or session has been open for a while.
	EventIdle
)

// Event is the input of one step of the machine.
type Event struct {
	Kind    EventKind
	Process ProcessNumber
	Message MessageKind
}

// Action is what the caller does to carry out an effect.
type Action uint8

// Actions.
const (
	// ActionFindPredecessor requests the newest living process before this one, a link to it, and
	// EventPredecessorFound.
	ActionFindPredecessor Action = iota
	// ActionSend sends Message to Process.
	ActionSend
	// ActionRestoreState restores the state that was received last and prepares to accept clients.
	ActionRestoreState
	// ActionStartAccepting starts, or starts again, to accept clients.
	ActionStartAccepting
	// ActionStopAccepting stops accepting clients but keeps what is needed to accept again.
	ActionStopAccepting
	// ActionFinish completes the requests that were accepted and closes idle sessions.
	ActionFinish
	// ActionDrain continues accepting and answering until nothing is open.
	ActionDrain
	// ActionEnd ends the process.
	ActionEnd
	// ActionSetShare applies Share to the router's limits.
	ActionSetShare
)

// Effect is one action for the caller to carry out; effects are carried out in their order.
type Effect struct {
	Action  Action
	Process ProcessNumber
	Message MessageKind
	Share   Share
}
