package enginehttp

import (
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net/http"
	"strconv"
	"syscall"

	"windflow/dispatch"
	"windflow/internal/netio"
	"windflow/internal/router"
)

const (
	// forgetAfterMS is how long after its last request about a query an engine has forgotten it, with time for the way
	// there.
	forgetAfterMS = 2150.0
	// retryDelayMS is the wait before a retry when two requests in a row failed.
	retryDelayMS = 50.0
)

// attempt is one statement that an engine was requested to run. It implements router.Attempt.
type attempt struct {
	loop     *router.Loop
	log      *slog.Logger
	pool     *pool
	counters *Counters
	call     router.Call
	onEnd    func(router.End)

	startRequest *request // the POST of the statement
	current      *request // the start request, or the latest poll or page request
	priority     int      // the latest priority that the engine was sent
	ended        bool
	cancelling   bool // see cancelThenEnd

	health responseHealth
	result resultPages
}

// responseHealth is what is known of an engine's responses to an attempt since the last valid one.
type responseHealth struct {
	lastValidMS   float64 // when the statement was written, or the last valid response arrived
	failures      int     // requests since then that failed
	badResponses  int     // those among them whose response was invalid
	startReset    bool    // the connection of the start request broke before any response to it
	startTimedOut bool    // the start request was left without a response, on an open connection
}

// Start implements router.EngineClient.
func (c *Client) Start(call router.Call, onEnd func(router.End)) router.Attempt {
	started := &attempt{
		loop: c.loop, log: c.log, pool: c.pool, counters: &c.Counters,
		call: call, onEnd: onEnd, priority: call.Priority,
		health: responseHealth{lastValidMS: c.loop.Now()},
	}
	started.counters.Posts++
	// A statement that must not run twice gets a new connection: one that was kept may be reset as it is written to,
	// which leaves open whether the engine has read the statement, where a new one that fails proves that it has not.
	started.startRequest = &request{
		engine: call.Engine, attempt: started, isStart: true,
		newConn: call.AtMostOnce, delayLastByte: call.AtMostOnce,
		latestStartMS: call.LatestStartMS, timeoutMS: responseTimeoutMS,
		payload: startPayload(call), onWritten: started.startWritten, onDone: started.handleStart,
	}
	started.pool.submit(started.startRequest)
	started.current = started.startRequest
	return started
}

// startPayload returns the bytes of the POST that starts a call's statement.
func startPayload(call router.Call) []byte {
	payload := fmt.Appendf(nil, "POST /fetch HTTP/1.1\r\nHost: %s\r\nCall-Id: %s\r\nCall-Kind: %s\r\nCall-Ms: %d\r\n",
		call.Engine.Address, call.ID, call.Class, max(int64(call.WaitMS), 1))
	if call.GrantMB > 0 {
		payload = fmt.Appendf(payload, "X-Mem-Limit: %d\r\n", int64(math.Ceil(call.GrantMB)))
	}
	return fmt.Appendf(payload, "X-Nice: %d\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		call.Priority, len(call.Statement), call.Statement)
}

// startWritten records that the statement was written to a connection.
func (a *attempt) startWritten(netConn netio.Conn) {
	a.health.lastValidMS = a.loop.Now()
	if a.call.OnSent != nil {
		netConn.NotifyFlushed(a.call.OnSent)
	}
}

// Abandon implements router.Attempt. No further request is sent, so that the engine forgets the query; one in flight
// may complete, which keeps its connection.
func (a *attempt) Abandon() {
	a.ended = true
	a.abortUnwritten()
}

// abortUnwritten aborts the current request unless it was written.
func (a *attempt) abortUnwritten() {
	if a.current != nil && !a.current.written {
		a.current.abort(nil)
	}
}

// CancelUnsent implements router.Attempt.
func (a *attempt) CancelUnsent() bool {
	if a.ended || a.startRequest.written {
		return false
	}
	a.Abandon()
	return true
}

// Cancel implements router.Attempt. A query whose POST was never written needs no cancellation at the engine.
func (a *attempt) Cancel() {
	switch {
	case a.ended || !a.startRequest.written:
	case a.call.Exclusive:
		a.cancelThenEnd(dispatch.Cancelled, "cancelled")
	default:
		a.sendDelete(nil)
	}
}

// SetPriority implements router.Attempt.
func (a *attempt) SetPriority(priority int) {
	if a.ended || priority == a.priority {
		return
	}
	a.priority = priority
	a.counters.Priorities++
	body := strconv.Itoa(priority)
	a.pool.submit(&request{
		engine: a.call.Engine, attempt: a, timeoutMS: responseTimeoutMS,
		payload: fmt.Appendf(nil, "PUT /fetch/%s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s",
			a.call.ID, a.call.Engine.Address, len(body), body),
	})
}

// sendDelete requests that the engine cancel the query.
func (a *attempt) sendDelete(onDone func(*response, error)) {
	a.counters.Deletes++
	a.pool.submit(&request{
		engine: a.call.Engine, attempt: a, timeoutMS: responseTimeoutMS, onDone: onDone,
		payload: fmt.Appendf(nil, "DELETE /fetch/%s HTTP/1.1\r\nHost: %s\r\n\r\n", a.call.ID, a.call.Engine.Address),
	})
}

// endUncertain ends an attempt whose query the engine may still be running: at once, or for an exclusive call once the
// engine no longer has the query.
func (a *attempt) endUncertain(outcome dispatch.Outcome, detail string) {
	if a.call.Exclusive {
		a.cancelThenEnd(outcome, detail)
	} else {
		a.end(outcome, detail)
	}
}

// cancelThenEnd ends the attempt once the engine no longer has the query: when it has confirmed a cancellation, where
// that is allowed, or when it was not polled about the query for so long that it has forgotten it. A query is not
// bound to a connection and runs on when that breaks, so an earlier end could let a second attempt run beside it.
func (a *attempt) cancelThenEnd(outcome dispatch.Outcome, detail string) {
	if a.ended || a.cancelling {
		return
	}
	a.cancelling = true
	a.abortUnwritten()
	a.loop.After(forgetAfterMS, func() { a.end(outcome, detail) })
	if a.call.CancelAllowed {
		a.deleteUntilConfirmed(outcome, detail)
	}
}

// deleteUntilConfirmed sends cancellations until the engine confirms one or rejects connections, and ends the attempt
// then.
func (a *attempt) deleteUntilConfirmed(outcome dispatch.Outcome, detail string) {
	if a.ended {
		return
	}
	a.sendDelete(func(resp *response, err error) {
		if errors.Is(err, syscall.ECONNREFUSED) || err == nil && confirmsDelete(resp.status) {
			a.end(outcome, detail)
			return
		}
		a.loop.After(retryDelayMS, func() { a.deleteUntilConfirmed(outcome, detail) })
	})
}

// confirmsDelete reports whether the status of a DELETE says that the engine has cancelled the query or does not know
// it.
func confirmsDelete(status int) bool {
	switch status {
	case http.StatusNoContent, http.StatusNotFound, http.StatusInternalServerError:
		return true
	}
	return false
}

// end reports the end of the attempt, once.
func (a *attempt) end(outcome dispatch.Outcome, detail string) {
	if a.ended {
		return
	}
	a.ended = true
	a.onEnd(router.End{Outcome: outcome, Detail: detail})
}

// endServed reports the result.
func (a *attempt) endServed(result *router.Result) {
	a.ended = true
	a.onEnd(router.End{Outcome: dispatch.Served, Result: result})
}
