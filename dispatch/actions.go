package dispatch

import "time"

// Action is something that the controller wants done.
//
//sumtype:decl
type Action interface{ action() }

// StartAttempt starts the request's next attempt.
type StartAttempt struct {
	Request     RequestID
	Engine      EngineID
	Timeout     time.Duration // 0: until the client's deadline
	StartWithin time.Duration // the attempt must not start later than this; 0: it may start at any time
}

// SetResources sets the memory grant of the request's next attempt and the priority of all its attempts.
type SetResources struct {
	Request  RequestID
	GrantMB  float64 // 0 leaves it to the engine
	Priority int
}

// CancelAttempt stops waiting for an attempt and tells its engine to stop.
type CancelAttempt struct {
	Request RequestID
	Attempt int
}

// Reject is a final answer that promises that a retry is harmless.
type Reject struct {
	Request    RequestID
	RetryAfter time.Duration // 0: no advice
}

// FailRequest is a final answer that promises nothing.
type FailRequest struct{ Request RequestID }

// Subscribe requests changes of the endpoint list from discovery.
type Subscribe struct{}

// SetTimer requests a TimerFired event.
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

// preferredPriority is the priority of the preferred class; the other classes have 0.
const preferredPriority = 2
