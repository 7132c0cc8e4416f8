package enginehttp

import (
	"errors"

	"windflow/internal/netio"
	"windflow/internal/router"
)

const (
	// responseTimeoutMS is how long an engine may take to respond to a request once that is written: it answers a long
	// poll within 250 ms, if only to say that the query is running, and keeps a query for 2 s after the last poll.
	responseTimeoutMS = 320.0
	// writeDelayMS is how long the last byte of a non-idempotent statement is delayed: a few round trips. An engine
	// cannot run a statement that it has not received completely, so a connection that is reset before then, as new
	// ones may be, proves that nothing ran.
	writeDelayMS = 10.0
)

var (
	errResponseTimeout = errors.New("no response from the engine")
	errCancelled       = errors.New("cancelled before the statement was sent: the engine was cordoned, removed or moved")
	errTooLate         = errors.New("not started before the latest start time")
)

// badResponseError is a response that no engine should send, or bytes that are no response.
type badResponseError struct{ cause error }

func (e *badResponseError) Error() string { return e.cause.Error() }

func (e *badResponseError) Unwrap() error { return e.cause }

// request is one HTTP request. It is done once its response has arrived, it has failed or it was aborted.
type request struct {
	engine  router.Engine
	attempt *attempt // the attempt that it belongs to
	payload []byte
	// onDone is called with the response or the error; it may be nil.
	onDone func(*response, error)

	newConn       bool    // it needs a new connection
	lowPriority   bool    // it may wait behind the others
	isStart       bool    // it starts the statement
	delayLastByte bool    // see writeDelayMS
	latestStartMS float64 // when its write has to start at the latest; 0: at any time
	timeoutMS     float64 // for the response
	// onWritten is called once the connection has taken the complete request; it may be nil.
	onWritten func(netio.Conn)

	conn         *conn
	timer        *router.Timer // of the last byte's delay, then of the response
	writeStarted bool
	written      bool
	done         bool
}

// abort ends a request whose response is not awaited any more, and closes its connection.
func (r *request) abort(err error) {
	if r.done {
		return
	}
	if r.conn != nil {
		r.conn.request = nil
		r.conn.close()
	}
	r.finish(nil, err)
}

// finish reports the response or the error, once.
func (r *request) finish(resp *response, err error) {
	if r.done {
		return
	}
	r.done = true
	r.timer.Stop()
	if r.onDone != nil {
		r.onDone(resp, err)
	}
}
