package flightsql

import (
	"context"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Many drivers send each statement as a prepared one. Here preparing runs and keeps nothing: the handle is the
// statement itself, so that it holds on every router, needs no bound and outlives a restart. What the statement
// returns is known only once it has run, so no schema is given ahead. Each execution is a request of its own, with
// fields of its own, and goes the same way as a plain statement: a load's ticket is spent once here too.

// CreatePreparedStatement gives a statement its handle.
func (f *Front) CreatePreparedStatement(_ context.Context, req flightsql.ActionCreatePreparedStatementRequest) (
	flightsql.ActionCreatePreparedStatementResult, error,
) {
	var none flightsql.ActionCreatePreparedStatementResult
	switch {
	case len(req.GetTransactionId()) > 0:
		return none, f.malformed("there are no transactions here")
	case req.GetQuery() == "":
		return none, f.malformed("the statement is empty")
	}
	return flightsql.ActionCreatePreparedStatementResult{Handle: []byte(req.GetQuery())}, nil
}

// ClosePreparedStatement has nothing to give up.
func (f *Front) ClosePreparedStatement(context.Context, flightsql.ActionClosePreparedStatementRequest) error {
	return nil
}

// GetFlightInfoPreparedStatement gives a ticket for one execution. Nothing runs yet.
func (f *Front) GetFlightInfoPreparedStatement(ctx context.Context, cmd flightsql.PreparedStatementQuery,
	desc *flight.FlightDescriptor,
) (*flight.FlightInfo, error) {
	return f.info(ctx, string(cmd.GetPreparedStatementHandle()), desc)
}

// DoPutPreparedStatementUpdate runs an update once.
func (f *Front) DoPutPreparedStatementUpdate(ctx context.Context, cmd flightsql.PreparedStatementUpdate,
	bound flight.MessageReader,
) (int64, error) {
	if bound.Schema() != nil && bound.Schema().NumFields() > 0 {
		return 0, f.malformed("statements take no parameters")
	}
	return f.update(ctx, string(cmd.GetPreparedStatementHandle()))
}

// DoPutPreparedStatementQuery would bind parameters, which no engine takes.
func (f *Front) DoPutPreparedStatementQuery(context.Context, flightsql.PreparedStatementQuery, flight.MessageReader,
	flight.MetadataWriter,
) ([]byte, error) {
	return nil, f.malformed("statements take no parameters")
}

func (f *Front) malformed(text string) error {
	f.Counters.Malformed.Add(1)
	return status.Error(codes.InvalidArgument, text)
}
