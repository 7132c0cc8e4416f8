package flightsql

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"google.golang.org/grpc/metadata"

	"windflow/internal/router"
)

// minDeadlineMS is the least time to a deadline: a call that arrives at its deadline is late, not malformed.
const minDeadlineMS = 0.001

// newRequest reads a request from the fields in the call's metadata and checks it. Both the call's deadline and the
// budget bind.
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
		err = fmt.Errorf("the statement has %d bytes; at most %d are taken", len(statement), maxStatement)
	}
	if err == nil {
		err = s.core.CheckNames(request)
	}
	if err != nil {
		return nil, malformedError(s.counters, err.Error())
	}
	return request, nil
}

// callFields reads the fields of a request from the metadata of a call.
type callFields struct {
	md           metadata.MD
	deadlineMS   float64 // the time to the call's deadline
	hasDeadline  bool
	duplicateErr error // names a field that the call has more than once
}

// get returns a field; the budget defaults to the time to the call's deadline.
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

// untilDeadline returns the time to the call's deadline in milliseconds, at least minDeadlineMS; false: it has none.
func untilDeadline(ctx context.Context) (float64, bool) {
	deadline, ok := ctx.Deadline()
	return max(float64(time.Until(deadline))/float64(time.Millisecond), minDeadlineMS), ok
}
