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
	// forgetAfterMS is the time in milliseconds after which an engine that received no further request about a query
	// has discarded it. It includes the network delay of that last request.
	forgetAfterMS = 2150.0
	// retryDelayMS is the delay in milliseconds before a retry once two consecutive requests have failed.
	retryDelayMS = 50.0
)

// attempt runs one statement on one engine: it starts the statement, polls for its end and fetches the result. It
// implements router.Attempt.
type attempt struct {
	loop     *router.Loop
	log      *slog.Logger
	pool     *pool
	counters *Counters
	call     router.Call
	onEnd    func(router.End)

	startRequest *request // the POST that starts the statement
	current      *request // the start request, or the latest poll or page request
	priority     int      // the latest priority that was sent to the engine
	ended        bool
	cancelling   bool // cancelThenEnd is waiting until the engine no longer has the query

	health responseHealth
	result resultPages
}

// responseHealth records the failures of an attempt's requests since the last valid response.
type responseHealth struct {
	lastValidMS   float64 // when the last valid response was received; before the first, when the statement was written
	failures      int     // failed requests since lastValidMS
	badResponses  int     // those of the failed requests that received an invalid response
	startReset    bool    // the start request failed without a response; it may have been received
	startTimedOut bool    // the start request timed out on a connection that stayed open
}

// Start implements router.EngineClient.
func (c *Client) Start(call router.Call, onEnd func(router.End)) router.Attempt {
	started := &attempt{
		loop: c.loop, log: c.log, pool: c.pool, counters: &c.Counters,
		call: call, onEnd: onEnd, priority: call.Priority,
		health: responseHealth{lastValidMS: c.loop.Now()},
	}
	started.counters.Posts++
	// A statement that must not run twice is sent on a new connection. An idle connection may be reset during the
	// write, and then it is unknown whether the engine has read the statement. If a new connection cannot be
	// established, the engine has certainly not read it.
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

// startPayload returns the bytes of the POST request that starts the call's statement.
func startPayload(call router.Call) []byte {
	payload := fmt.Appendf(nil, "POST /fetch HTTP/1.1\r\nHost: %s\r\nCall-Id: %s\r\nCall-Kind: %s\r\nCall-Ms: %d\r\n",
		call.Engine.Address, call.ID, call.Class, max(int64(call.WaitMS), 1))
	if call.GrantMB > 0 {
		payload = fmt.Appendf(payload, "X-Mem-Limit: %d\r\n", int64(math.Ceil(call.GrantMB)))
	}
	return fmt.Appendf(payload, "X-Nice: %d\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		call.Priority, len(call.Statement), call.Statement)
}

// startWritten records the time at which the statement was written to the connection, and arranges the call of OnSent.
func (a *attempt) startWritten(netConn netio.Conn) {
	a.health.lastValidMS = a.loop.Now()
	if a.call.OnSent != nil {
		netConn.NotifyFlushed(a.call.OnSent)
	}
}

// Abandon implements router.Attempt. It sends no further requests, so the engine discards the query after a while. A
// request in flight may complete, so that its connection can be reused.
func (a *attempt) Abandon() {
	a.ended = true
	a.abortUnwritten()
}

// abortUnwritten aborts the current request unless it was completely written.
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

// Cancel implements router.Attempt. It sends nothing to the engine if the start request was never completely written.
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

// sendDelete asks the engine to cancel the query. onDone receives the response or the error; it may be nil.
func (a *attempt) sendDelete(onDone func(*response, error)) {
	a.counters.Deletes++
	a.pool.submit(&request{
		engine: a.call.Engine, attempt: a, timeoutMS: responseTimeoutMS, onDone: onDone,
		payload: fmt.Appendf(nil, "DELETE /fetch/%s HTTP/1.1\r\nHost: %s\r\n\r\n", a.call.ID, a.call.Engine.Address),
	})
}

// endUncertain ends an attempt whose query may still be running on the engine. It ends at once, except for an exclusive
// call, which ends only once the engine no longer has the query.
func (a *attempt) endUncertain(outcome dispatch.Outcome, detail string) {
	if a.call.Exclusive {
		a.cancelThenEnd(outcome, detail)
	} else {
		a.end(outcome, detail)
	}
}

// cancelThenEnd ends the attempt once the engine no longer has the query: either the engine has confirmed a
// cancellation, if the call allows one, or forgetAfterMS has passed without a poll, so the engine has discarded the
// query. A query does not belong to a connection and continues to run when the connection breaks. If the attempt ended
// earlier, a second attempt could run at the same time.
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

// deleteUntilConfirmed sends DELETE requests until the engine confirms the cancellation or refuses connections, and
// then ends the attempt.
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

// confirmsDelete reports whether the response status of a DELETE request means that the engine has cancelled the query
// or does not know it.
func confirmsDelete(status int) bool {
	switch status {
	case http.StatusNoContent, http.StatusNotFound, http.StatusInternalServerError:
		return true
	}
	return false
}

// end ends the attempt and reports the outcome to onEnd; calls after the first have no effect.
func (a *attempt) end(outcome dispatch.Outcome, detail string) {
	if a.ended {
		return
	}
	a.ended = true
	a.onEnd(router.End{Outcome: outcome, Detail: detail})
}

// endServed ends the attempt and reports the result to onEnd.
func (a *attempt) endServed(result *router.Result) {
	a.ended = true
	a.onEnd(router.End{Outcome: dispatch.Served, Result: result})
}
