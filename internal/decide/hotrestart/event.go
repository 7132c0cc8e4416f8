package hotrestart

// EventKind says what an Event reports.
type EventKind uint8

// Kinds of event.
const (
	// EventTick reports that time has passed.
	EventTick EventKind = iota
	// EventPredecessorFound is the response to ActionFindPredecessor. Process is the newest living process that
	// started before this one, or NoProcess. If the previous predecessor has ended, EventProcessEnded reports that
	// separately.
	EventPredecessorFound
	// EventMessageReceived reports that Message was received from Process.
	EventMessageReceived
	// EventLinkLost reports that the link to Process broke while Process is still alive.
	EventLinkLost
	// EventProcessEnded reports that Process has ended.
	EventProcessEnded
	// EventStopRequested reports that this process was requested to end.
	EventStopRequested
	// EventIdle reports that no request or session has been open for some time.
	EventIdle
)

// Event is the input of one step of the machine. Process and Message are set for the kinds that refer to them.
type Event struct {
	Kind    EventKind
	Process ProcessNumber
	Message MessageKind
}

// Action is what the caller has to do for an effect.
type Action uint8

// Kinds of action.
const (
	// ActionFindPredecessor looks for the newest living process that started before this one, connects to it, and
	// reports it with EventPredecessorFound.
	ActionFindPredecessor Action = iota
	// ActionSend sends Message to Process.
	ActionSend
	// ActionRestoreState restores the state received last and prepares to accept clients.
	ActionRestoreState
	// ActionStartAccepting starts or resumes accepting clients.
	ActionStartAccepting
	// ActionStopAccepting stops accepting clients but keeps what is needed to resume.
	ActionStopAccepting
	// ActionFinish completes the accepted requests and closes idle sessions.
	ActionFinish
	// ActionDrain keeps accepting and answering until no request or session is open.
	ActionDrain
	// ActionEnd ends the process.
	ActionEnd
	// ActionSetShare applies Share to the router's limits.
	ActionSetShare
)

// Effect is one action for the caller. The effects of a step have to be carried out in their order.
type Effect struct {
	Action  Action
	Process ProcessNumber
	Message MessageKind
	Share   Share
}
