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
	// endedPollTimeoutMS is the response timeout in milliseconds of the first poll after a start request that timed
	// out. It is short because an engine responds at once if the query has already ended.
	endedPollTimeoutMS = 100.0
	// unresponsiveMS is the time in milliseconds without a valid response after which the attempt is given up. For a
	// call that must not run twice it is unresponsiveOnceMS: no other engine may run such a call instead, so the engine
	// is polled for as long as it may still know the query.
	unresponsiveMS     = 1000.0
	unresponsiveOnceMS = 2000.0
	// maxBadResponses is the number of invalid responses without a valid one in between that ends the attempt.
	maxBadResponses = 4
	// maxDetailBytes limits how much of a response body is quoted in the detail of the attempt's end.
	maxDetailBytes = 80
)

// handleStart handles the response to the start request, or its failure.
func (a *attempt) handleStart(resp *response, err error) {
	switch {
	case a.ended || a.cancelling:
	case err == nil:
		a.handleProgress(resp)
	case !a.startRequest.written:
		// The request was never completely written, or the connection was never established. This is the only proof
		// on the transport level that the statement did not start.
		a.end(dispatch.ConnectFailed, err.Error())
	default:
		// The query may have started, so the engine is polled for its state and the statement is not sent again.
		var bad *badResponseError
		a.health.startReset = !errors.As(err, &bad)
		// An exclusive call that may not be cancelled cannot end before the engine has discarded the query, so it gains
		// nothing from giving up early.
		a.health.startTimedOut = errors.Is(err, errResponseTimeout) && (!a.call.Exclusive || a.call.CancelAllowed)
		a.handleFailure(err)
	}
}

// poll sends a long poll for the state of the query.
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

// requestPage requests a page of the result. Pages are numbered from 0; page 0 is part of the response that reports the
// end of the query.
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
			a.end(dispatch.EngineFailed, fmt.Sprintf("engine returned status %d for page %d: %s",
				resp.status, page, truncateBody(resp.body)))
		default:
			a.handleInvalid(fmt.Errorf("unexpected response to the request for page %d: status %d, X-Part-No %.10q",
				page, resp.status, resp.header[headerPageNumber]))
		}
	})
}

// sendGet requests a page of the result; the request for page 0 is a poll. After a failure it uses a new connection,
// because the other idle connections may have the same fault.
func (a *attempt) sendGet(page int, lowPriority bool, timeoutMS float64, onDone func(*response, error)) {
	a.current = &request{
		engine: a.call.Engine, attempt: a, newConn: a.health.failures > 0, lowPriority: lowPriority, timeoutMS: timeoutMS,
		payload: fmt.Appendf(nil, "GET /fetch/%s/%d HTTP/1.1\r\nHost: %s\r\n\r\n", a.call.ID, page, a.call.Engine.Address),
		onDone:  onDone,
	}
	a.pool.submit(a.current)
}

// reportProgress passes the progress and the load report of a response to the call's OnProgress.
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
		a.endUncertain(dispatch.ConnectionReset, "query still running after its start request timed out")
	case resp.status == http.StatusAccepted:
		a.recordValidResponse()
		a.poll()
	case resp.status == http.StatusOK && resp.header[headerPageNumber] == "":
		a.handleQueryEnd(resp)
	case resp.provesNotStarted() && len(a.result.pages) == 0:
		a.end(dispatch.EngineFull, fmt.Sprintf("engine rejected the statement with status %d", resp.status))
	case resp.status >= http.StatusBadRequest && a.health.startReset:
		// The engine does not know the query: either the connection broke before the engine had read the statement, or
		// the engine has restarted since. The query did not cause this, and it does not prove that nothing was executed.
		a.end(dispatch.ConnectionReset, fmt.Sprintf("engine returned status %d after a connection reset: %s",
			resp.status, truncateBody(resp.body)))
	case resp.status >= http.StatusBadRequest:
		a.end(dispatch.EngineFailed, fmt.Sprintf("engine returned status %d: %s", resp.status, truncateBody(resp.body)))
	default:
		a.handleInvalid(fmt.Errorf("unexpected status %d", resp.status))
	}
}

// handleQueryEnd handles the response that reports the end of the query and contains the first page of the result.
func (a *attempt) handleQueryEnd(resp *response) {
	count, err := strconv.Atoi(resp.header[headerPageCount])
	if err != nil || count < 1 || count > router.MaxResultBytes {
		a.handleInvalid(fmt.Errorf("header X-Parts is %.20q, expected a number of pages from 1 to %d",
			resp.header[headerPageCount], router.MaxResultBytes))
		return
	}
	a.result.count = count
	a.result.workMS = parseAmount(resp.header[headerWork])
	a.result.needMB = parseAmount(resp.header[headerMemory])
	a.handlePage(resp)
}

// handlePage stores a page and requests the next one, or ends the attempt with the result if all pages are there.
func (a *attempt) handlePage(resp *response) {
	err := checkPage(resp.body)
	if err == nil && resp.trailingBytes {
		// If the content length is too small, the page is truncated and its remaining bytes follow the response. This
		// cannot be told apart from other surplus bytes, so the page is rejected.
		err = errors.New("unexpected bytes after the end of a page")
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

// recordValidResponse records the time of a valid response and clears the recorded failures.
func (a *attempt) recordValidResponse() {
	a.health = responseHealth{lastValidMS: a.loop.Now()}
}

// handleInvalid handles a response that violates the protocol. The response may belong to another request, so its
// connection is closed, unless it already carries the next request.
func (a *attempt) handleInvalid(cause error) {
	if c := a.current.conn; c.request == nil {
		c.close()
	}
	a.handleFailure(&badResponseError{cause})
}

// handleFailure handles a failed start request, poll or page request. It polls again, or requests the missing page
// again, or ends the attempt. Polls and page requests execute nothing and the engine repeats its responses to them, so
// they are retried on a new connection for as long as the engine may still know the query. The statement itself is
// never sent again.
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

// endIfNotRetryable ends the attempt if a retry after the error would be pointless, and reports whether it did.
func (a *attempt) endIfNotRetryable(err error) bool {
	limitMS := unresponsiveMS
	if a.call.AtMostOnce {
		limitMS = unresponsiveOnceMS
	}
	var bad *badResponseError
	switch {
	case a.health.startTimedOut && a.health.failures > 1 && errors.Is(err, errResponseTimeout) && !a.call.AtMostOnce:
		// An engine responds to a start request within 250 ms, at least with the status that the query is running. An
		// engine that sent no response and does not answer the following poll at once either may never respond. The
		// attempt is ended, as the query is idempotent, so that another engine can run it while the client still waits.
		// If only the response to the start request was lost and the query has ended, the engine answers the poll at
		// once and the result is kept.
		a.endUncertain(dispatch.ConnectionReset, "poll timed out after the start request had timed out")
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
		a.end(dispatch.ConnectionReset, "engine refuses connections: "+err.Error())
		return true
	case a.loop.Now()-a.health.lastValidMS >= limitMS:
		a.endUncertain(dispatch.ConnectionReset, "engine unresponsive: "+err.Error())
		return true
	}
	return false
}

// resume polls again, or requests the next page if the first page was already received.
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

// truncateBody returns at most the first maxDetailBytes of a response body.
func truncateBody(body []byte) string { return string(body[:min(len(body), maxDetailBytes)]) }
