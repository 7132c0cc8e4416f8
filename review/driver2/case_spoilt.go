package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/ipc"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"google.golang.org/grpc"
)

const (
	// spoiltQueries is the number of queries, and spoiltQuery the number of the one whose first answer is spoilt.
	spoiltQueries, spoiltQuery = 20, 10
	// spoiltOffset is the place of the byte that is changed in the body of a message: it belongs to the length of the
	// first column's offsets before their compression, 8 bytes at the start of the body.
	spoiltOffset, spoiltByte = 5, 0xff
	// spoiltRows is the number of rows of each result.
	spoiltRows = 300
)

// compressingEngine is a stand-in for an engine that speaks Flight SQL and compresses its results, as Arrow's format
// allows.
type compressingEngine struct {
	flight.BaseFlightServer
	rec *record
	// spoilNext is set while the next result is to be spoilt. The engines of a case share it.
	spoilNext *atomic.Bool
}

// newCompressingEngine starts an engine that compresses its results.
func newCompressingEngine(rec *record, id uint32, spoilNext *atomic.Bool) (*engine, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := grpc.NewServer()
	flight.RegisterFlightServiceServer(server, &compressingEngine{rec: rec, spoilNext: spoilNext})
	go func() { _ = server.Serve(lis) }()
	return &engine{rec: rec, id: id, port: lis.Addr().(*net.TCPAddr).Port, stop: server.Stop}, nil
}

// GetFlightInfo answers with a ticket for any statement.
func (e *compressingEngine) GetFlightInfo(
	_ context.Context, desc *flight.FlightDescriptor,
) (*flight.FlightInfo, error) {
	return &flight.FlightInfo{
		FlightDescriptor: desc, TotalRecords: -1, TotalBytes: -1,
		Endpoint: []*flight.FlightEndpoint{{Ticket: &flight.Ticket{Ticket: desc.GetCmd()}}},
	}, nil
}

// DoGet runs a statement.
func (e *compressingEngine) DoGet(_ *flight.Ticket, stream flight.FlightService_DoGetServer) error {
	schema := arrow.NewSchema([]arrow.Field{
		{Name: "day", Type: arrow.BinaryTypes.String},
		{Name: "num", Type: arrow.BinaryTypes.String},
		{Name: "note", Type: arrow.BinaryTypes.String},
	}, nil)
	builder := array.NewRecordBuilder(memory.DefaultAllocator, schema)
	defer builder.Release()
	for i := range spoiltRows {
		for column, text := range []string{"2026-11-30", fmt.Sprint(i), "0 Rh-, 4 jedn."} {
			builder.Field(column).(*array.StringBuilder).Append(text)
		}
	}
	e.rec.printf("engine: runs a statement")
	writer := flight.NewRecordWriter(&spoiltStream{stream, e}, ipc.WithSchema(schema), ipc.WithZstd())
	err := writer.Write(builder.NewRecordBatch())
	return errors.Join(err, writer.Close())
}

// spoiltStream changes one byte of a result if its engine is to spoil it.
type spoiltStream struct {
	flight.FlightService_DoGetServer
	engine *compressingEngine
}

// Send sends a message of a result.
func (s *spoiltStream) Send(data *flight.FlightData) error {
	if len(data.DataBody) <= spoiltOffset || !s.engine.spoilNext.CompareAndSwap(true, false) {
		return s.FlightService_DoGetServer.Send(data)
	}
	body := append([]byte(nil), data.DataBody...)
	s.engine.rec.printf("engine: byte %d of the %d bytes of a result is %#x in place of %#x",
		spoiltOffset, len(body), spoiltByte, body[spoiltOffset])
	body[spoiltOffset] = spoiltByte
	return s.FlightService_DoGetServer.Send(&flight.FlightData{
		FlightDescriptor: data.FlightDescriptor, DataHeader: data.DataHeader, AppMetadata: data.AppMetadata, DataBody: body,
	})
}

// playSpoilt has one answer of an engine that speaks Flight SQL spoilt: one byte is changed. The router has to live on,
// and to answer each request. Without the disruption no byte is changed.
func playSpoilt(stage *world) error {
	spoilNext := &atomic.Bool{}
	for id := range uint32(2) {
		started, err := newCompressingEngine(stage.rec, id+1, spoilNext)
		if err != nil {
			return err
		}
		stage.engines = append(stage.engines, started)
	}
	if err := stage.startBoard(0); err != nil {
		return err
	}
	port, err := freePort()
	if err != nil {
		return err
	}
	if err := stage.startWithFlight(fmt.Sprintf("127.0.0.1:%d", port), []string{"std-8"}); err != nil {
		return err
	}
	lost := 0
	for i := range spoiltQueries {
		spoilNext.Store(trouble() && i+1 == spoiltQuery)
		req := request{
			id: newRequestID(), class: "lookup", budget: 5 * time.Second, estimate: 50 * time.Millisecond, group: i,
		}
		got, err := stage.tryAsk(req)
		stage.rec.printf("client: %s: %v, error %v", req.id, got, err)
		if err != nil {
			lost++
		}
	}
	if stage.crashed() {
		return fmt.Errorf("%w: the router has crashed (%s), %d requests got no answer", errBroken, stage.fatalError(), lost)
	}
	if lost > 0 {
		return fmt.Errorf("%w: %d requests got no answer", errBroken, lost)
	}
	return nil
}

// fatalError returns the line of the router's log that says why it has ended.
func (w *world) fatalError() string {
	for line := range strings.Lines(w.log()) {
		if strings.HasPrefix(line, "fatal error:") || strings.HasPrefix(line, "panic:") {
			return strings.TrimSpace(line)
		}
	}
	return "no reason in the log"
}
