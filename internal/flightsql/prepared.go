package flightsql

import (
	"context"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
)

// Many drivers send each statement as a prepared one. Here preparing runs and stores nothing: the handle is the
// statement itself, so that it is valid on every router, needs no bound and survives a restart. The result's schema
// is known only once the statement has run, so none is given ahead. Each execution is a request of its own, with its
// own fields, and is handled like a plain statement: the ticket of one that must not run twice is for a single use
// here, too.

// CreatePreparedStatement returns the handle of a statement.
func (s *service) CreatePreparedStatement(
	_ context.Context, req flightsql.ActionCreatePreparedStatementRequest,
) (flightsql.ActionCreatePreparedStatementResult, error) {
	var none flightsql.ActionCreatePreparedStatementResult
	switch {
	case len(req.GetTransactionId()) > 0:
		return none, malformedError(s.counters, "there are no transactions here")
	case req.GetQuery() == "":
		return none, malformedError(s.counters, "the statement is empty")
	}
	return flightsql.ActionCreatePreparedStatementResult{Handle: []byte(req.GetQuery())}, nil
}

// ClosePreparedStatement has nothing to release.
func (s *service) ClosePreparedStatement(context.Context, flightsql.ActionClosePreparedStatementRequest) error {
	return nil
}

// GetFlightInfoPreparedStatement returns a ticket for one execution. Nothing runs yet.
func (s *service) GetFlightInfoPreparedStatement(
	ctx context.Context, cmd flightsql.PreparedStatementQuery, desc *flight.FlightDescriptor,
) (*flight.FlightInfo, error) {
	return s.issueTicket(ctx, string(cmd.GetPreparedStatementHandle()), desc)
}

// DoPutPreparedStatementUpdate runs an update once.
func (s *service) DoPutPreparedStatementUpdate(
	ctx context.Context, cmd flightsql.PreparedStatementUpdate, parameters flight.MessageReader,
) (int64, error) {
	if parameters.Schema() != nil && parameters.Schema().NumFields() > 0 {
		return 0, malformedError(s.counters, "statements take no parameters")
	}
	return s.update(ctx, string(cmd.GetPreparedStatementHandle()))
}

// DoPutPreparedStatementQuery rejects parameters, which no engine takes.
func (s *service) DoPutPreparedStatementQuery(
	context.Context, flightsql.PreparedStatementQuery, flight.MessageReader, flight.MetadataWriter,
) ([]byte, error) {
	return nil, malformedError(s.counters, "statements take no parameters")
}
