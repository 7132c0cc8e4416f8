package dispatch

import "time"

// Action is an instruction of the controller to its host.
//
//sumtype:decl
type Action interface{ action() }

// StartAttempt starts the next attempt of a request on an engine.
type StartAttempt struct {
	Request     RequestID
	Engine      EngineID
	Timeout     time.Duration // 0 means until the client's deadline
	StartWithin time.Duration // latest start of the attempt, counted from this action; 0 means no limit
}

// SetResources sets the memory grant of the request's next attempt and the priority of all its attempts.
type SetResources struct {
	Request  RequestID
	GrantMB  float64 // 0 leaves the choice to the engine
	Priority int
}

// CancelAttempt stops waiting for an attempt and tells its engine to stop executing it.
type CancelAttempt struct {
	Request RequestID
	Attempt int
}

// Reject is a final answer which guarantees that the client can safely retry.
type Reject struct {
	Request    RequestID
	RetryAfter time.Duration // 0 means no advice
}

// FailRequest is a final answer without that guarantee: the request may have run.
type FailRequest struct{ Request RequestID }

// Subscribe asks discovery for the next change of the endpoint list.
type Subscribe struct{}

// SetTimer requests a TimerFired event with the same tag after the given time.
type SetTimer struct {
	Tag   int64
	After time.Duration
}

func (StartAttempt) action()  {}
func (SetResources) action()  {}
func (CancelAttempt) action() {}
func (Reject) action()        {}
func (FailRequest) action()   {}
func (Subscribe) action()     {}
func (SetTimer) action()      {}

// preferredPriority is the priority of the preferred class. All other classes have priority 0.
const preferredPriority = 2
