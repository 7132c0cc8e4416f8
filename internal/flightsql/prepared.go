package flightsql

import (
	"context"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
)

// Many drivers send each statement as a prepared statement. The front neither runs nor stores anything to prepare one:
// the handle is the statement itself. It is therefore valid on every router and after a restart, and needs no limit on
// stored handles. The schema of the result is not returned in advance, because it is known only after the statement has
// run. Each execution is a request of its own, with its own fields, and is handled like a plain statement; the ticket
// of an at-most-once statement is for a single use here as well.

// CreatePreparedStatement returns the handle of a statement. An empty statement and a transaction id are errors.
func (s *service) CreatePreparedStatement(
	_ context.Context, req flightsql.ActionCreatePreparedStatementRequest,
) (flightsql.ActionCreatePreparedStatementResult, error) {
	var none flightsql.ActionCreatePreparedStatementResult
	switch {
	case len(req.GetTransactionId()) > 0:
		return none, malformedError(s.counters, "transactions are not supported")
	case req.GetQuery() == "":
		return none, malformedError(s.counters, "the statement is empty")
	}
	return flightsql.ActionCreatePreparedStatementResult{Handle: []byte(req.GetQuery())}, nil
}

// ClosePreparedStatement does nothing, because nothing is stored for a prepared statement.
func (s *service) ClosePreparedStatement(context.Context, flightsql.ActionClosePreparedStatementRequest) error {
	return nil
}

// GetFlightInfoPreparedStatement checks a query and returns a ticket for one execution. The query runs in DoGet.
func (s *service) GetFlightInfoPreparedStatement(
	ctx context.Context, cmd flightsql.PreparedStatementQuery, desc *flight.FlightDescriptor,
) (*flight.FlightInfo, error) {
	return s.issueTicket(ctx, string(cmd.GetPreparedStatementHandle()), desc)
}

// DoPutPreparedStatementUpdate runs an update and returns the number of changed rows, or -1 if it is 0 or
// unknown. Parameters are an error.
func (s *service) DoPutPreparedStatementUpdate(
	ctx context.Context, cmd flightsql.PreparedStatementUpdate, parameters flight.MessageReader,
) (int64, error) {
	if parameters.Schema() != nil && parameters.Schema().NumFields() > 0 {
		return 0, malformedError(s.counters, "parameters of statements are not supported")
	}
	return s.update(ctx, string(cmd.GetPreparedStatementHandle()))
}

// DoPutPreparedStatementQuery, which would set the parameters of a query, always fails: no engine supports parameters.
func (s *service) DoPutPreparedStatementQuery(
	context.Context, flightsql.PreparedStatementQuery, flight.MessageReader, flight.MetadataWriter,
) ([]byte, error) {
	return nil, malformedError(s.counters, "parameters of statements are not supported")
}
