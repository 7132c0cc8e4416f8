package router

import "windflow/dispatch"

// Hooks are optional callbacks of the core, in the loop.
type Hooks struct {
	// OnIDChange, if set, is called when the status of a request id changes.
	OnIDChange func(IDChange)
	// ClaimID, if set, requests the other process's grant that the request with an id may start here. It calls
	// then once, in the loop: before it returns with ClaimGranted if there is no other process, else later.
	ClaimID func(id string, onReply func(ClaimReply))
	// Observer, if set, sees requests and attempts; it decides nothing.
	Observer Observer
}

// Observer sees requests and attempts, in the loop. It must not block, and must not keep or change what it is passed.
type Observer interface {
	RequestArrived(*Request)
	RequestAnswered(*Request, Answer)
	AttemptStarted(dispatch.EngineID)
	// EndpointsChanged is called when the endpoint list has changed; the module handles the change at the end of the
	// step.
	EndpointsChanged()
	AttemptEnded(engine dispatch.EngineID, outcome dispatch.Outcome, tookMS float64)
}

// AnswerKind is how a request ended.
type AnswerKind int

// Kinds of answers.
const (
	AnswerServed AnswerKind = iota
	AnswerRejected
	AnswerFailed
	AnswerClientGone // the client was gone, and got no answer
)

// Answer is the end of a request.
type Answer struct {
	Kind        AnswerKind
	TookMS      float64           // since the client sent the request
	ObjectiveMS float64           // the class's latency objective for it, if it was served
	Reason      string            // of rejections and failures
	Engine      dispatch.EngineID // of the last attempt; 0 for none
}
