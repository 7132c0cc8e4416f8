package flightsql

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"windflow/dispatch"
	"windflow/internal/router"
)

// answer is the core's answer to a request: a result, a rejection, an error of the submission or, if none of these is
// set, a failure.
type answer struct {
	result    *router.Result
	rejected  bool
	backoffMS float64       // of a rejection: how long the client should wait before a retry
	submitErr error         // the core did not accept the request
	reason    router.Reason // of a failure
}

// answerChan implements router.ResponseHandler. It has capacity for the one answer, so that the loop never blocks.
type answerChan chan answer

// Served implements router.ResponseHandler.
func (c answerChan) Served(result *router.Result) { c <- answer{result: result} }

// Rejected implements router.ResponseHandler.
func (c answerChan) Rejected(backoffMS float64) { c <- answer{rejected: true, backoffMS: backoffMS} }

// Failed implements router.ResponseHandler.
func (c answerChan) Failed(reason router.Reason) { c <- answer{reason: reason} }

// toResult returns the result of an answer. For any other answer it returns the gRPC status for the client.
func (s *service) toResult(ctx context.Context, request *router.Request, ans answer) (*router.Result, error) {
	switch {
	case ans.result != nil:
		s.counters.Served.Add(1)
		return ans.result, nil
	case errors.Is(ans.submitErr, router.ErrIDInUse):
		s.counters.Malformed.Add(1)
		return nil, status.Error(codes.AlreadyExists, ans.submitErr.Error())
	case ans.submitErr != nil:
		return nil, malformedError(s.counters, ans.submitErr.Error())
	case ans.rejected:
		return nil, s.rejection(ctx, ans.backoffMS)
	}
	return nil, s.failure(ctx, request, ans.reason)
}

// failure returns the status of a failed request, and sets a trailer that tells the client whether a retry is safe.
func (s *service) failure(ctx context.Context, request *router.Request, reason router.Reason) error {
	advice := retryUnsafe
	if class, _ := s.core.Class(request.Class); class.Semantics == dispatch.Idempotent {
		advice = retrySafe
	}
	_ = grpc.SetTrailer(ctx, metadata.Pairs(metaRetry, advice))
	if reason == router.ReasonDeadline {
		s.counters.TimedOut.Add(1)
		return status.Error(codes.DeadlineExceeded, "the time for the query ran out")
	}
	s.counters.Failed.Add(1)
	return status.Error(codes.Internal, "the query failed; it may have run")
}

// rejection returns the status of a rejected request. Its details, its message and the trailer have the time to wait
// before a retry.
func (s *service) rejection(ctx context.Context, backoffMS float64) error {
	s.counters.Rejected.Add(1)
	_ = grpc.SetTrailer(ctx, metadata.Pairs(metaBackoff, strconv.FormatFloat(backoffMS, 'f', 0, 64),
		metaRetry, retrySafe))
	rejected := status.New(codes.ResourceExhausted,
		fmt.Sprintf("refused, nothing was done; try again later: backoff=%.0f", backoffMS))
	detailed, err := rejected.WithDetails(&errdetails.RetryInfo{
		RetryDelay: durationpb.New(time.Duration(backoffMS * float64(time.Millisecond))),
	})
	if err != nil {
		return rejected.Err()
	}
	return detailed.Err()
}

// newRecordBatch converts a result into one record batch whose columns are strings.
func newRecordBatch(result *router.Result) arrow.RecordBatch {
	fields := make([]arrow.Field, len(result.Columns))
	for i, name := range result.Columns {
		fields[i] = arrow.Field{Name: name, Type: arrow.BinaryTypes.String, Nullable: true}
	}
	builder := array.NewRecordBuilder(memory.DefaultAllocator, arrow.NewSchema(fields, nil))
	defer builder.Release()
	for i, cell := range result.Cells {
		column := builder.Field(i % len(fields)).(*array.StringBuilder)
		if cell.Null {
			column.AppendNull()
		} else {
			column.Append(cell.Text)
		}
	}
	return builder.NewRecordBatch()
}
