package flightsql

import (
	"context"
	"sync/atomic"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"windflow/dispatch"
	"windflow/internal/clock"
	"windflow/internal/router"
)

// fullStoreBackoffMS is the time after which a client should retry if the ticket store is full, in milliseconds.
const fullStoreBackoffMS = 1000

// sqlInfo is the information on this server that GetSqlInfo returns.
var sqlInfo = map[flightsql.SqlInfo]any{
	flightsql.SqlInfoFlightSqlServerName:         "windflow",
	flightsql.SqlInfoFlightSqlServerArrowVersion: arrow.PkgVersion,
	flightsql.SqlInfoFlightSqlServerReadOnly:     false,
	flightsql.SqlInfoFlightSqlServerSql:          true,
	flightsql.SqlInfoFlightSqlServerSubstrait:    false,
	flightsql.SqlInfoFlightSqlServerTransaction:  int32(flightsql.SqlTransactionNone),
	flightsql.SqlInfoFlightSqlServerCancel:       false,
}

// service implements flightsql.Server. Its methods run in goroutines of gRPC, concurrently.
type service struct {
	flightsql.BaseServer
	core        *router.Core
	loop        *router.Loop
	tickets     *ticketStore
	counters    *Counters
	addr        func() string // address of the front
	activeCalls atomic.Int64
}

func newService(
	core *router.Core, loop *router.Loop, tickets *ticketStore, counters *Counters, addr func() string,
) (*service, error) {
	s := &service{core: core, loop: loop, tickets: tickets, counters: counters, addr: addr}
	s.Alloc = memory.DefaultAllocator
	for id, value := range sqlInfo {
		if err := s.RegisterSqlInfo(id, value); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// GetFlightInfoStatement checks a query and returns a ticket for it. The query runs in DoGet.
func (s *service) GetFlightInfoStatement(
	ctx context.Context, cmd flightsql.StatementQuery, desc *flight.FlightDescriptor,
) (*flight.FlightInfo, error) {
	return s.issueTicket(ctx, cmd.GetQuery(), desc)
}

// issueTicket checks a statement and returns flight info with a new ticket for it. A full ticket store is a rejection.
func (s *service) issueTicket(
	ctx context.Context, statement string, desc *flight.FlightDescriptor,
) (*flight.FlightInfo, error) {
	s.counters.Infos.Add(1)
	request, err := s.newRequest(ctx, statement)
	if err != nil {
		return nil, err
	}
	class, _ := s.core.Class(request.Class)
	ticket := &Ticket{
		Request: *request, ExpiresAtMS: s.loop.Now() + ticketLifetimeMS, SingleUse: class.Semantics != dispatch.Idempotent,
	}
	if md, _ := metadata.FromIncomingContext(ctx); len(md.Get(router.FieldBudget)) > 0 {
		ticket.DeadlineMS = request.SentAtMS + request.BudgetMS // a deadline of this call does not apply to DoGet
	}
	if !s.tickets.issue(ticket) {
		return nil, s.rejection(ctx, fullStoreBackoffMS)
	}
	handle, err := flightsql.CreateStatementQueryTicket([]byte(ticket.Handle))
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return &flight.FlightInfo{
		FlightDescriptor: desc, TotalRecords: -1, TotalBytes: -1,
		Endpoint: []*flight.FlightEndpoint{{
			Ticket: &flight.Ticket{Ticket: handle},
			// The ticket is stored in this router, so the client has to redeem it here.
			Location: []*flight.Location{{Uri: "grpc+tcp://" + s.addr()}},
		}},
	}, nil
}

// DoGetStatement redeems a ticket, runs its query and streams the rows. An unknown, expired or spent ticket is
// NotFound.
func (s *service) DoGetStatement(
	ctx context.Context, cmd flightsql.StatementQueryTicket,
) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	s.counters.Gets.Add(1)
	ticket := s.tickets.redeem(string(cmd.GetStatementHandle()))
	if ticket == nil {
		s.counters.BadTickets.Add(1)
		return nil, nil, status.Error(codes.NotFound, "the ticket is unknown, expired or spent")
	}
	request := ticket.Request
	now := s.loop.Now()
	request.BudgetMS = remainingBudget(ctx, ticket, now)
	request.SentAtMS = now
	result, err := s.run(ctx, &request)
	if err != nil {
		return nil, nil, err
	}
	record := newRecordBatch(result)
	chunks := make(chan flight.StreamChunk, 1)
	chunks <- flight.StreamChunk{Data: record}
	close(chunks)
	return record.Schema(), chunks, nil
}

// remainingBudget returns the time left for the query of a ticket in milliseconds: the time to the earlier of the
// ticket's deadline and the call's. Without either, it is the rest of the budget that the request was issued with.
func remainingBudget(ctx context.Context, ticket *Ticket, now float64) float64 {
	callBudgetMS, hasDeadline := untilDeadline(ctx)
	switch {
	case ticket.DeadlineMS > 0 && (!hasDeadline || ticket.DeadlineMS < now+callBudgetMS):
		return max(ticket.DeadlineMS-now, 0)
	case hasDeadline:
		return callBudgetMS
	default:
		return max(ticket.Request.SentAtMS+ticket.Request.BudgetMS-now, 0)
	}
}

// DoPutCommandStatementUpdate runs an update and returns the number of changed rows, or -1 if it is 0 or unknown.
func (s *service) DoPutCommandStatementUpdate(ctx context.Context, cmd flightsql.StatementUpdate) (int64, error) {
	return s.update(ctx, cmd.GetQuery())
}

func (s *service) update(ctx context.Context, statement string) (int64, error) {
	s.counters.Puts.Add(1)
	request, err := s.newRequest(ctx, statement)
	if err != nil {
		return 0, err
	}
	if callBudgetMS, ok := untilDeadline(ctx); ok {
		request.BudgetMS = min(request.BudgetMS, callBudgetMS)
	}
	request.Update = true
	result, err := s.run(ctx, request)
	if err != nil {
		return 0, err
	}
	if result.ChangedRows > 0 {
		return result.ChangedRows, nil
	}
	return -1, nil
}

// run submits a request to the core and blocks until the answer. If the call is cancelled or its deadline passes before
// the answer, the request is abandoned.
func (s *service) run(ctx context.Context, request *router.Request) (*router.Result, error) {
	s.activeCalls.Add(1)
	defer s.activeCalls.Add(-1)
	callOf(ctx).requestOpened()
	defer func() {
		callOf(ctx).requestAnswered(clock.Duration(request.SentAtMS + request.BudgetMS - s.loop.Now()))
	}()
	answers := make(answerChan, 1)
	var handle router.Handle // used in the loop only
	s.loop.Post(func() {
		var err error
		if handle, err = s.core.Submit(request, answers); err != nil {
			answers <- answer{submitErr: err}
		}
	})
	select {
	case a := <-answers:
		return s.toResult(ctx, request, a)
	case <-ctx.Done():
		s.loop.Post(func() { s.core.Abandon(handle) })
		s.counters.Cancelled.Add(1)
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}
