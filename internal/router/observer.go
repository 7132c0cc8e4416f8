package router

import "windflow/dispatch"

// Hooks are optional callbacks of a Core. They are called in the loop's goroutine.
type Hooks struct {
	// OnIDChange, if set, is called when the status of a request id changes in this process.
	OnIDChange func(IDChange)
	// ClaimID, if set, requests a grant from the other process of a hot restart that the request with that id may start
	// here. It calls onReply once, in the loop's goroutine: with ClaimGranted before it returns if there is no other
	// process, else after it has returned.
	ClaimID func(id string, onReply func(ClaimReply))
	// Observer, if set, is notified of requests and attempts.
	Observer Observer
}

// Observer is notified of requests and attempts, in the loop's goroutine. It has no influence on them. Its methods must
// not block, and must not keep or modify their arguments.
type Observer interface {
	RequestArrived(*Request)
	RequestAnswered(*Request, Answer)
	AttemptStarted(dispatch.EngineID)
	// EndpointsChanged is called when an endpoint list arrives. The dispatch module handles it at the end of the loop's
	// step, after this call.
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
	AnswerClientGone // no answer: the client disconnected or canceled the request
)

// Answer describes how and when a request ended, for the observer.
type Answer struct {
	Kind        AnswerKind
	TookMS      float64           // milliseconds since the client sent the request
	ObjectiveMS float64           // latency objective of its class for the request; 0 unless it was served
	Reason      string            // why it was rejected or failed
	Engine      dispatch.EngineID // engine that served it, or of its last attempt; 0 if there was none
}
