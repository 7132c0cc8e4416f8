package main

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"google.golang.org/grpc"
)

// flightRow is the row of each result of a Flight SQL engine, as text.
var flightRow = []string{"2026-11-30", "12", "0 Rh-, 4 jedn."}

// flightEngine is a stand-in for an engine that speaks Flight SQL. Its results have one row of three columns. The last
// one is of the type noteType.
type flightEngine struct {
	flightsql.BaseServer
	rec      *record
	noteType arrow.DataType
	planTime time.Duration // until a ticket is ready
	runAt    atomic.Int64  // when the latest statement began, since the start of the case
}

// lastRun returns when the latest statement began, since the start of the case.
func (e *flightEngine) lastRun() time.Duration { return time.Duration(e.runAt.Load()) }

// newFlightEngine starts an engine that speaks Flight SQL.
func newFlightEngine(
	rec *record, id uint32, noteType arrow.DataType, planTime time.Duration,
) (*engine, *flightEngine, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	served := &flightEngine{rec: rec, noteType: noteType, planTime: planTime}
	served.Alloc = memory.DefaultAllocator
	server := grpc.NewServer()
	flight.RegisterFlightServiceServer(server, flightsql.NewFlightServer(served))
	go func() { _ = server.Serve(lis) }()
	return &engine{rec: rec, id: id, port: lis.Addr().(*net.TCPAddr).Port, stop: server.Stop}, served, nil
}

// GetFlightInfoStatement answers with a ticket for the statement.
func (e *flightEngine) GetFlightInfoStatement(
	_ context.Context, cmd flightsql.StatementQuery, desc *flight.FlightDescriptor,
) (*flight.FlightInfo, error) {
	e.rec.printf("engine: asked for a ticket")
	time.Sleep(e.planTime)
	ticket, err := flightsql.CreateStatementQueryTicket([]byte(cmd.GetQuery()))
	if err != nil {
		return nil, err
	}
	return &flight.FlightInfo{
		FlightDescriptor: desc, TotalRecords: -1, TotalBytes: -1,
		Endpoint: []*flight.FlightEndpoint{{Ticket: &flight.Ticket{Ticket: ticket}}},
	}, nil
}

// DoGetStatement runs the statement of a ticket.
func (e *flightEngine) DoGetStatement(
	context.Context, flightsql.StatementQueryTicket,
) (*arrow.Schema, <-chan flight.StreamChunk, error) {
	e.runAt.Store(int64(e.rec.since()))
	schema := arrow.NewSchema([]arrow.Field{
		{Name: "day", Type: arrow.BinaryTypes.String},
		{Name: "num", Type: arrow.PrimitiveTypes.Int64},
		{Name: "note", Type: e.noteType, Nullable: true},
	}, nil)
	builder := array.NewRecordBuilder(memory.DefaultAllocator, schema)
	defer builder.Release()
	builder.Field(0).(*array.StringBuilder).Append(flightRow[0])
	builder.Field(1).(*array.Int64Builder).Append(12)
	switch note := builder.Field(2).(type) {
	case *array.StringBuilder:
		note.Append(flightRow[2])
	case *array.BinaryBuilder:
		note.AppendString(flightRow[2])
	}
	chunks := make(chan flight.StreamChunk, 1)
	chunks <- flight.StreamChunk{Data: builder.NewRecordBatch()}
	close(chunks)
	e.rec.printf("engine: runs a statement, column note is of type %v, row %q", e.noteType, flightRow)
	return schema, chunks, nil
}
