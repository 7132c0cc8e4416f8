package enginehttp

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"syscall"

	"windflow/dispatch"
	"windflow/internal/router"
)

const (
	// endedPollTimeoutMS is how long an engine may take to respond to the first poll after a start request that timed
	// out: it reports at once that a query has ended.
	endedPollTimeoutMS = 100.0
	// unresponsiveMS is how long an engine may leave all polls of a query without a valid response before the attempt
	// counts as lost. For a call that must not run twice it is unresponsiveOnceMS: no other engine may run it
	// instead, so the engine is polled for as long as it may still know the query.
	unresponsiveMS     = 1000.0
	unresponsiveOnceMS = 2000.0
	// maxBadResponses is how many responses in a row may be invalid before the attempt ends.
	maxBadResponses = 4
	// maxDetailBytes bounds the part of a response's body that an end quotes, in bytes.
	maxDetailBytes = 80
)

// handleStart handles the response to the start request.
func (a *attempt) handleStart(resp *response, err error) {
	switch {
	case a.ended || a.cancelling:
	case err == nil:
		a.handleProgress(resp)
	case !a.startRequest.written:
		// It was never written, or never connected: the one proof that a transport can provide.
		a.end(dispatch.ConnectFailed, err.Error())
	default:
		// The query may have started. The engine is polled for it; the statement is not sent again.
		var bad *badResponseError
		a.health.startReset = !errors.As(err, &bad)
		// An exclusive call that may not be cancelled gains nothing by ending early: it ends when the engine forgets
		// it.
		a.health.startTimedOut = errors.Is(err, errResponseTimeout) && (!a.call.Exclusive || a.call.CancelAllowed)
		a.handleFailure(err)
	}
}

// poll requests the state of the query.
func (a *attempt) poll() {
	a.counters.Polls++
	timeoutMS := responseTimeoutMS
	if a.health.startTimedOut && !a.call.AtMostOnce {
		timeoutMS = endedPollTimeoutMS
	}
	a.sendGet(0, a.health.failures == 0, timeoutMS, func(resp *response, err error) {
		switch {
		case a.ended || a.cancelling:
		case err != nil:
			a.handleFailure(err)
		default:
			a.handleProgress(resp)
		}
	})
}

// requestPage requests a page of the result; pages are numbered from 0, and page 0 arrives with the end of the query.
func (a *attempt) requestPage(page int) {
	a.counters.Pages++
	a.sendGet(page, false, responseTimeoutMS, func(resp *response, err error) {
		switch {
		case a.ended || a.cancelling:
		case err != nil:
			a.handleFailure(err)
		case resp.status == http.StatusOK && resp.header[headerPageNumber] == strconv.Itoa(page):
			a.handlePage(resp)
		case resp.status >= http.StatusBadRequest:
			a.end(dispatch.EngineFailed, fmt.Sprintf("%d for a page: %s", resp.status, truncateBody(resp.body)))
		default:
			a.handleInvalid(fmt.Errorf("status %d, X-Part-No %.10q for page %d",
				resp.status, resp.header[headerPageNumber], page))
		}
	})
}

// sendGet sends a poll, which is the request of page 0, or the request of a further page. After a failure it goes
// over a new connection: the other idle ones may have the same fault.
func (a *attempt) sendGet(page int, lowPriority bool, timeoutMS float64, onDone func(*response, error)) {
	a.current = &request{
		engine: a.call.Engine, attempt: a, newConn: a.health.failures > 0, lowPriority: lowPriority, timeoutMS: timeoutMS,
		payload: fmt.Appendf(nil, "GET /fetch/%s/%d HTTP/1.1\r\nHost: %s\r\n\r\n", a.call.ID, page, a.call.Engine.Address),
		onDone:  onDone,
	}
	a.pool.submit(a.current)
}

// reportProgress reports the progress and the load that a response contains beside the result.
func (a *attempt) reportProgress(resp *response) {
	if a.call.OnProgress == nil {
		return
	}
	progress := router.AttemptProgress{Final: resp.status != http.StatusAccepted}
	if text := resp.header[headerLoad]; text != "" {
		progress.Report = parseLoad(text)
	}
	if !progress.Final {
		progress.Kind, progress.Amount = parseProgress(resp.header)
	}
	a.call.OnProgress(progress)
}

// handleProgress handles the response to the start request or to a poll.
func (a *attempt) handleProgress(resp *response) {
	a.reportProgress(resp)
	switch {
	case resp.status == http.StatusAccepted && a.health.startTimedOut && !a.call.AtMostOnce:
		a.endUncertain(dispatch.ConnectionReset, "still running after a start request without a response")
	case resp.status == http.StatusAccepted:
		a.recordValidResponse()
		a.poll()
	case resp.status == http.StatusOK && resp.header[headerPageNumber] == "":
		a.handleQueryEnd(resp)
	case resp.provesNotStarted() && len(a.result.pages) == 0:
		a.end(dispatch.EngineFull, strconv.Itoa(resp.status))
	case resp.status >= http.StatusBadRequest && a.health.startReset:
		// The engine responds and does not know the query: the connection broke before it had read the statement, or it
		// has restarted since. Neither is the query's fault, nor a proof.
		a.end(dispatch.ConnectionReset, fmt.Sprintf("%d after a connection reset: %s", resp.status, truncateBody(resp.body)))
	case resp.status >= http.StatusBadRequest:
		a.end(dispatch.EngineFailed, fmt.Sprintf("%d: %s", resp.status, truncateBody(resp.body)))
	default:
		a.handleInvalid(fmt.Errorf("status %d", resp.status))
	}
}

// handleQueryEnd handles the response that the query has ended; it contains the first page of the result.
func (a *attempt) handleQueryEnd(resp *response) {
	count, err := strconv.Atoi(resp.header[headerPageCount])
	if err != nil || count < 1 || count > router.MaxResultBytes {
		a.handleInvalid(fmt.Errorf("X-Parts %.20q is no number of pages", resp.header[headerPageCount]))
		return
	}
	a.result.count = count
	a.result.workMS = parseAmount(resp.header[headerWork])
	a.result.needMB = parseAmount(resp.header[headerMemory])
	a.handlePage(resp)
}

// handlePage keeps a page and requests the next one, or ends the attempt with the result.
func (a *attempt) handlePage(resp *response) {
	err := checkPage(resp.body)
	if err == nil && resp.trailingBytes {
		// A content length that is too short cuts a page off and leaves the remaining bytes behind it; whether it did
		// cannot be known.
		err = errors.New("bytes after the end of a page")
	}
	if err != nil {
		a.handleInvalid(err)
		return
	}
	a.recordValidResponse()
	a.result.pages = append(a.result.pages, resp.body)
	if !a.result.complete() {
		a.requestPage(len(a.result.pages))
		return
	}
	result, err := a.result.parse()
	if err != nil {
		a.end(dispatch.EngineFailed, err.Error())
		return
	}
	a.endServed(result)
}

// recordValidResponse records the time of a valid response.
func (a *attempt) recordValidResponse() {
	a.health = responseHealth{lastValidMS: a.loop.Now()}
}

// handleInvalid handles a response that no engine should send. It may belong to another request, so its connection is
// not used again.
func (a *attempt) handleInvalid(cause error) {
	if c := a.current.conn; c.request == nil {
		c.close()
	}
	a.handleFailure(&badResponseError{cause})
}

// handleFailure handles a failed start request, poll or page request by polling for what is missing, or ends the attempt. A
// poll runs nothing, and an engine repeats its response, so it is retried on a new connection for as long as the engine
// may still know the query. The statement itself is never written again.
func (a *attempt) handleFailure(err error) {
	a.health.failures++
	a.log.Debug("engine request failed", "engine", a.call.Engine.Address, "request_id", a.call.ID, "error", err,
		"failures", a.health.failures)
	if a.endIfNotRetryable(err) {
		return
	}
	a.counters.Unanswered++
	if a.health.failures == 1 {
		a.resume()
		return
	}
	a.loop.After(retryDelayMS, a.resume)
}

// endIfNotRetryable ends the attempt if a failed request makes a retry pointless, and reports whether it did.
func (a *attempt) endIfNotRetryable(err error) bool {
	limitMS := unresponsiveMS
	if a.call.AtMostOnce {
		limitMS = unresponsiveOnceMS
	}
	var bad *badResponseError
	switch {
	case a.health.startTimedOut && a.health.failures > 1 && errors.Is(err, errResponseTimeout) && !a.call.AtMostOnce:
		// An engine responds to a start request within 250 ms, if only to say that the query is running. One that did
		// not, and then does not report the end of the query at once either, may never do so. An idempotent query is
		// given up there, so that another engine can run it while its client still waits. A query that has ended is
		// reported at once, so one whose response alone was lost is saved.
		a.endUncertain(dispatch.ConnectionReset, "no response to a poll after a start request without a response")
		return true
	case errors.As(err, &bad):
		a.counters.BadResponses++
		a.health.badResponses++
		if a.health.badResponses < maxBadResponses {
			return false
		}
		a.log.Warn("engine responses invalid", "engine", a.call.Engine.Address, "request_id", a.call.ID, "error", err)
		a.endUncertain(dispatch.EngineFailed, err.Error())
		return true
	case errors.Is(err, syscall.ECONNREFUSED):
		a.end(dispatch.ConnectionReset, "the engine refuses connections: "+err.Error())
		return true
	case a.loop.Now()-a.health.lastValidMS >= limitMS:
		a.endUncertain(dispatch.ConnectionReset, "engine unresponsive: "+err.Error())
		return true
	}
	return false
}

// resume polls, or requests the next page if some were received.
func (a *attempt) resume() {
	if a.ended || a.cancelling {
		return
	}
	a.counters.Retries++
	if page := len(a.result.pages); page > 0 {
		a.requestPage(page)
	} else {
		a.poll()
	}
}

// truncateBody returns the start of a response's body.
func truncateBody(body []byte) string { return string(body[:min(len(body), maxDetailBytes)]) }
