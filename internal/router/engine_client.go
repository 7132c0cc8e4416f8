package router

import "windflow/dispatch"

// Engine is an engine of the endpoint list, with the address that attempts are sent to.
type Engine struct {
	ID      dispatch.EngineID
	Address string
	Kind    string
}

// Call holds what an engine client needs to execute one attempt.
type Call struct {
	Engine    Engine
	ID        string // the client's request id
	Class     string
	Statement string
	WaitMS    float64 // how long the router waits for the answer, in milliseconds
	GrantMB   float64 // granted memory; if 0, the engine chooses
	Priority  int
	Update    bool // the client requested an update, not rows
	// AtMostOnce means that the attempt must not run twice. The client may open a new connection for it, if that lets it
	// prove that the attempt never ran.
	AtMostOnce bool
	// Exclusive means that no other attempt of the request may start while this one may be running on an engine: the
	// client reports its end only when the engine is no longer running it.
	Exclusive bool
	// CancelAllowed means that the client may request the engine to cancel the attempt.
	CancelAllowed bool
	// LatestStartMS is the latest time at which the attempt may start, in milliseconds on the loop's clock; 0 for no
	// limit.
	LatestStartMS float64
	// OnSent is called in the loop's goroutine, at most once, when the last byte of the attempt has been sent to the
	// engine.
	OnSent func()
	// OnProgress, if set, is called in the loop's goroutine with each valid answer of the engine.
	OnProgress func(AttemptProgress)
}

// AttemptProgress holds the progress of an attempt and the load of its engine, as one answer of the engine reports
// them.
type AttemptProgress struct {
	Kind   dispatch.ProgressKind
	Amount float64              // see the constants of dispatch.ProgressKind
	Report *dispatch.LoadReport // nil if the answer has none
	Final  bool                 // the answer ends the attempt and reports no progress
}

// Cell is one value of a result row, as text.
type Cell struct {
	Text string
	Null bool
}

// Result is the result of a request. Cells holds the values row by row, len(Columns) for each row.
type Result struct {
	Columns     []string
	Cells       []Cell
	WorkMS      float64 // processing time of the query in milliseconds; 0 if the engine did not report it
	NeedMB      float64 // memory that the query used; 0 if the engine did not report it
	ChangedRows int64   // rows that an update changed; -1 or 0 if the engine did not report it
}

// MaxResultBytes is the maximum size of the text in a result.
const MaxResultBytes = 48_000

// End describes how an attempt ended. Result is set if Outcome is dispatch.Served.
type End struct {
	Outcome dispatch.Outcome
	Result  *Result
	Detail  string // explanation of the outcome, for the debug log
}

// Attempt controls an attempt that an engine client has accepted.
type Attempt interface {
	SetPriority(int)
	// Cancel requests the engine to cancel the query. The caller calls Abandon afterwards, unless the call is
	// Exclusive: then the client reports the end when the engine has canceled the query.
	Cancel()
	// Abandon discards the attempt: the client does not report its end after that.
	Abandon()
	// CancelUnsent cancels an attempt that was not sent completely, so that it never runs, and returns true; the client
	// does not report its end after that. It returns false if the attempt was sent.
	CancelUnsent() bool
}

// EngineClient executes attempts on engines. Its methods are called in the loop's goroutine.
type EngineClient interface {
	// Start starts an attempt. The client calls done at most once, in the loop's goroutine, after Start has returned.
	Start(call Call, done func(End)) Attempt
	// Forget tells the client that an engine is no longer at its address: idle connections to it must not be reused.
	Forget(Engine)
	// CancelUnstarted ends each attempt of which nothing was sent to the engine as ConnectFailed, because the engine
	// gets no new work or has another address. Attempts that have started continue.
	CancelUnstarted(Engine)
}

// unstartedAttempt implements Attempt without effect, for attempts that were never passed to an engine client.
type unstartedAttempt struct{}

func (unstartedAttempt) SetPriority(int)    {}
func (unstartedAttempt) Cancel()            {}
func (unstartedAttempt) Abandon()           {}
func (unstartedAttempt) CancelUnsent() bool { return false }
