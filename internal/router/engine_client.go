package router

import "windflow/dispatch"

// Engine is an engine of the endpoint list.
type Engine struct {
	ID      dispatch.EngineID
	Address string
	Kind    string
}

// Call is one attempt for an engine client to carry out.
type Call struct {
	Engine     Engine
	ID         string // the request's
	Class      string
	Statement  string
	WaitMS     float64 // how long the router waits for the answer
	GrantMB    float64 // memory granted; 0 leaves it to the engine
	Priority   int
	Update     bool // the client requested an update, not rows
	AtMostOnce bool // it must not run twice: proof that it never ran justifies a new connection
	// Exclusive says that no further attempt of the request may start while an engine may have this one in progress:
	// its end is reported when the engine has none of it any more, and not before.
	Exclusive bool
	// CancelAllowed says that the engine may be requested to cancel the attempt.
	CancelAllowed bool
	// LatestStartMS is when it may start at the latest, on the loop's clock; 0 for any time.
	LatestStartMS float64
	// OnSent is called in the loop, at most once, when the last byte of the attempt has been sent to the engine.
	OnSent func()
	// OnProgress, if set, is called in the loop with each readable answer of the engine.
	OnProgress func(AttemptProgress)
}

// AttemptProgress is what an answer of an engine says besides the attempt's end: that the attempt is in progress, and
// the engine's load if it reports that.
type AttemptProgress struct {
	Kind   dispatch.ProgressKind
	Amount float64
	Report *dispatch.LoadReport
	Final  bool // the answer ends the attempt, and does not report its progress
}

// Cell is one value of a row, as text.
type Cell struct {
	Text string
	Null bool
}

// Result is the result of a request. Cells holds the rows one after the other.
type Result struct {
	Columns     []string
	Cells       []Cell
	WorkMS      float64 // processing time that the query needed; 0 if the engine did not report it
	NeedMB      float64 // memory that the query needed; 0 if the engine did not report it
	ChangedRows int64   // rows that an update changed; -1 or 0 if the engine did not report it
}

// MaxResultBytes bounds the text of a result.
const MaxResultBytes = 48_000

// End is how an attempt ended. Result is set if Outcome is Served.
type End struct {
	Outcome dispatch.Outcome
	Result  *Result
	Detail  string // for the log
}

// Attempt is an attempt that an engine client has in progress.
type Attempt interface {
	SetPriority(int)
	// Cancel requests the engine to cancel the query. Abandon follows or, if the call is Exclusive, the client
	// reports the end when the engine has canceled it.
	Cancel()
	// Abandon ends the interest in the attempt: its end is not reported any more.
	Abandon()
	// CancelUnsent takes back an attempt that was not sent completely, so that it never runs; false says that it is too
	// late. As after Abandon, its end is not reported.
	CancelUnsent() bool
}

// EngineClient carries attempts out.
type EngineClient interface {
	// Start starts an attempt. It calls done at most once, in the loop, and never before it has returned.
	Start(call Call, done func(End)) Attempt
	// Forget says that an engine is gone: connections kept for it are not used any more.
	Forget(Engine)
	// CancelUnstarted says that an engine gets no new work, or that it has moved to another address: each attempt of
	// which nothing was sent ends as ConnectFailed. Started attempts continue.
	CancelUnstarted(Engine)
}

// unstartedAttempt is the call of an attempt that no engine client has started.
type unstartedAttempt struct{}

func (unstartedAttempt) SetPriority(int)    {}
func (unstartedAttempt) Cancel()            {}
func (unstartedAttempt) Abandon()           {}
func (unstartedAttempt) CancelUnsent() bool { return false }
