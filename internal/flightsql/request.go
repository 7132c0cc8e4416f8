package flightsql

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"google.golang.org/grpc/metadata"

	"windflow/internal/router"
)

// minDeadlineMS is the minimum time to a deadline, so that a call that arrives at its deadline counts as late and not
// as malformed.
const minDeadlineMS = 0.001

// newRequest builds a request from the statement and the fields in the call's metadata, and checks it. Without a budget
// field, the call's deadline sets the budget. If a call has both, the earlier one applies; the callers of newRequest
// apply the deadline. Errors are gRPC statuses and count as malformed calls.
func (s *service) newRequest(ctx context.Context, statement string) (*router.Request, error) {
	now := s.loop.Now()
	md, _ := metadata.FromIncomingContext(ctx)
	fields := &callFields{md: md}
	fields.deadlineMS, fields.hasDeadline = untilDeadline(ctx)
	request, err := router.NewRequest(fields.get, statement, now)
	if err == nil {
		err = fields.duplicateErr
	}
	if err == nil && len(statement) > maxStatement {
		err = fmt.Errorf("the statement has %d bytes, at most %d are allowed", len(statement), maxStatement)
	}
	if err == nil {
		err = s.core.CheckNames(request)
	}
	if err != nil {
		return nil, malformedError(s.counters, err.Error())
	}
	return request, nil
}

// callFields provides the fields of a request from the metadata of a call.
type callFields struct {
	md           metadata.MD
	deadlineMS   float64 // time to the call's deadline
	hasDeadline  bool
	duplicateErr error // set if the call has a field more than once
}

// get returns the value of a field, or "" if it is missing. The budget defaults to the time to the call's deadline.
func (f *callFields) get(name string) string {
	values := f.md.Get(name)
	if len(values) > 1 {
		f.duplicateErr = fmt.Errorf("field %s stands twice", name)
	}
	switch {
	case len(values) > 0 && values[0] != "":
		return values[0]
	case name == router.FieldBudget && f.hasDeadline:
		return strconv.FormatFloat(f.deadlineMS, 'f', 3, 64)
	}
	return ""
}

// untilDeadline returns the time to the call's deadline in milliseconds, at least minDeadlineMS, and false if the call
// has no deadline.
func untilDeadline(ctx context.Context) (float64, bool) {
	deadline, ok := ctx.Deadline()
	return max(float64(time.Until(deadline))/float64(time.Millisecond), minDeadlineMS), ok
}
