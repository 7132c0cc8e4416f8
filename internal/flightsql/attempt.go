package flightsql

import (
	"context"
	"errors"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"windflow/dispatch"
	"windflow/internal/router"
)

// attempt implements router.Attempt. Only state may be used outside the loop's goroutine.
type attempt struct {
	engine    dispatch.EngineID
	state     *callState
	cancel    context.CancelFunc
	onEnd     func(router.End)
	ended     bool // its end was reported, or must not be reported any more
	cancelled bool // Cancel was called
}

// SetPriority implements router.Attempt. Flight SQL cannot change the priority of a call in flight.
func (a *attempt) SetPriority(int) {}

// Cancel implements router.Attempt. It ends the call's stream; the engine then cancels the query.
func (a *attempt) Cancel() {
	a.cancelled = true
	a.cancel()
}

// Abandon implements router.Attempt. It cancels the call; its end is not reported.
func (a *attempt) Abandon() {
	a.ended = true
	a.cancel()
}

// CancelUnsent implements router.Attempt. It returns false if a part of the call may have been written.
func (a *attempt) CancelUnsent() bool {
	if a.ended || !a.state.cancelUnsent() {
		return false
	}
	a.Abandon()
	return true
}

// finish releases the call and reports the end of the attempt, unless the end was already reported or must not be
// reported.
func (a *attempt) finish(end router.End) {
	a.cancel()
	if a.ended {
		return
	}
	a.ended = true
	if a.cancelled && end.Outcome == dispatch.ConnectionReset {
		end.Outcome = dispatch.Cancelled // the router, not the engine, ended the stream
	}
	a.onEnd(end)
}

// connectFailed returns the end of an attempt of which nothing was sent, which proves that it did not run.
func connectFailed(err error) router.End {
	return router.End{Outcome: dispatch.ConnectFailed, Detail: err.Error()}
}

// run executes one attempt and blocks until it ends. An at-most-once call gets a dedicated connection; conn is the
// shared one for all others.
func (c *Client) run(ctx context.Context, call router.Call, conn *grpc.ClientConn, state *callState) router.End {
	if call.AtMostOnce {
		dedicated, release, err := c.dedicatedConn(ctx, call.Engine.Address)
		if err != nil {
			return connectFailed(err)
		}
		defer release()
		conn = dedicated
	}
	client := flightsql.Client{Client: flight.NewClientFromConn(conn, nil)}
	var trailer metadata.MD
	var result *router.Result
	var err error
	if call.AtMostOnce || call.Update {
		c.Counters.Updates.Add(1)
		result, trailer, err = executeUpdate(ctx, client, call.Statement)
	} else {
		c.Counters.Queries.Add(1)
		result, trailer, err = executeQuery(ctx, client, call.Statement, c.results)
	}
	if state.retried.Load() {
		c.Counters.TransparentRetries.Add(1)
	}
	if err == nil {
		result.WorkMS, result.NeedMB = parseAmount(trailer, metaWork), parseAmount(trailer, metaMemory)
		return router.End{Outcome: dispatch.Served, Result: result}
	}
	end := router.End{Outcome: outcomeOf(err, trailer, state), Detail: err.Error()}
	if end.Outcome == dispatch.EngineFailed {
		c.Counters.BadResponses.Add(1)
	}
	return end
}

// outcomeOf returns the outcome of an attempt without a result. An attempt is known not to have run only if the engine
// says so, or if nothing of the call was written.
func outcomeOf(err error, trailer metadata.MD, state *callState) dispatch.Outcome {
	code := status.Code(err)
	switch {
	case errors.Is(err, errBadResponse):
		return dispatch.EngineFailed
	case !state.sent():
		return dispatch.ConnectFailed
	case provesNotStarted(code, trailer):
		return dispatch.EngineFull
	case code == codes.DeadlineExceeded:
		return dispatch.TimedOut
	case code == codes.Unavailable || code == codes.Canceled:
		return dispatch.ConnectionReset
	}
	return dispatch.EngineFailed
}

// provesNotStarted reports whether the trailer of the engine says that it rejected the statement without starting it.
func provesNotStarted(code codes.Code, trailer metadata.MD) bool {
	if code != codes.Unavailable && code != codes.ResourceExhausted && code != codes.DeadlineExceeded {
		return false
	}
	values := trailer.Get(metaNotStarted)
	return len(values) == 1 && values[0] == "1"
}
