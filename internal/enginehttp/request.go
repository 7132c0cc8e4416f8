package enginehttp

import (
	"errors"

	"windflow/internal/netio"
	"windflow/internal/router"
)

const (
	// responseTimeoutMS is the time in milliseconds that an engine has to respond to a completely written request. An
	// engine answers a long poll within 250 ms, at least with the status that the query is running, and keeps a query
	// for 2 s after the last poll.
	responseTimeoutMS = 320.0
	// writeDelayMS is the time in milliseconds, a few round trips, by which the last byte of a non-idempotent statement
	// is delayed. An engine cannot run a statement that it has not completely received. If the connection is reset
	// during the delay, as may happen to new connections, this proves that nothing was executed.
	writeDelayMS = 10.0
)

var (
	errResponseTimeout = errors.New("engine did not respond in time")
	errCancelled       = errors.New("request cancelled before it was sent: the engine was cordoned, removed or moved")
	errTooLate         = errors.New("statement was not sent before its latest start time")
)

// badResponseError reports a response that violates the protocol, or bytes that are not a response.
type badResponseError struct{ cause error }

func (e *badResponseError) Error() string { return e.cause.Error() }

func (e *badResponseError) Unwrap() error { return e.cause }

// request is an HTTP request to an engine. It is done once its response was received, it has failed or it was aborted.
type request struct {
	engine  router.Engine
	attempt *attempt // the attempt that sends the request
	payload []byte   // the complete request as sent
	// onDone is called with the response or the error; it may be nil.
	onDone func(*response, error)

	newConn       bool    // do not reuse an idle connection
	lowPriority   bool    // queue the request after all others
	isStart       bool    // the request starts the statement
	delayLastByte bool    // delay the last byte by writeDelayMS
	latestStartMS float64 // latest time at which writing may start; 0 means no limit
	timeoutMS     float64 // response timeout, counted from the end of the write
	// onWritten is called once the connection has accepted the complete request; it may be nil.
	onWritten func(netio.Conn)

	conn         *conn
	timer        *router.Timer // the delay of the last byte, then the response timeout
	writeStarted bool          // the connection was given the first bytes
	written      bool          // the connection has accepted the complete request
	done         bool
}

// abort fails the request with the error if it is not done yet, and closes its connection.
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

// finish marks the request as done and passes the response or the error to onDone; calls after the first have no
// effect.
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
