package flightsql

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"testing"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"windflow/dispatch"
	"windflow/internal/clock"
	"windflow/internal/goldentest"
	"windflow/internal/router"
	"windflow/internal/routertest"
)

// listeningEngine is a stand-in for an engine that writes down what it is sent.
type listeningEngine struct {
	flight.BaseFlightServer
	heard   bytes.Buffer
	rows    []*flight.FlightData
	refuses bool
}

func (e *listeningEngine) note(ctx context.Context, method string, sent []byte) {
	md, _ := metadata.FromIncomingContext(ctx)
	_, bound := ctx.Deadline()
	fmt.Fprintf(&e.heard, "%s %x deadline %v %s\n", method, sent, bound, words(md))
}

func (e *listeningEngine) GetFlightInfo(ctx context.Context, d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	e.note(ctx, "GetFlightInfo", d.GetCmd())
	return &flight.FlightInfo{Endpoint: []*flight.FlightEndpoint{{Ticket: &flight.Ticket{Ticket: []byte("ticket")}}}}, nil
}

func (e *listeningEngine) DoGet(ticket *flight.Ticket, s flight.FlightService_DoGetServer) error {
	e.note(s.Context(), "DoGet", ticket.GetTicket())
	s.SetTrailer(metadata.Pairs("cpu-ms", "12.5", "mem-used", "34.5"))
	return rows(e.rows)(s)
}

func (e *listeningEngine) DoPut(s flight.FlightService_DoPutServer) error {
	data, err := s.Recv()
	if err != nil {
		return err
	}
	e.note(s.Context(), "DoPut", data.GetFlightDescriptor().GetCmd())
	if e.refuses {
		s.SetTrailer(metadata.Pairs("not-begun", "1"))
		return status.Error(codes.ResourceExhausted, "full")
	}
	s.SetTrailer(metadata.Pairs("cpu-ms", "12.5", "mem-used", "34.5"))
	return s.Send(&flight.PutResult{AppMetadata: []byte{8, 3}})
}

// attempts runs calls one after the other at an engine and gives their ends.
func attempts(t *testing.T, e *listeningEngine, calls ...router.Call) (ends []router.End) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	flight.RegisterFlightServiceServer(server, e)
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()
	loop := router.NewLoop(clock.NewSystem())
	client := NewClient(loop, 5000, 4, slog.New(slog.DiscardHandler))
	defer routertest.RunLoop(loop)()
	for _, c := range calls {
		c.Engine = router.Engine{ID: 7, Address: listener.Addr().String()}
		ended := make(chan router.End, 1)
		loop.Post(func() { client.Start(c, func(end router.End) { ended <- end }) })
		ends = append(ends, <-ended)
		loop.Post(func() { client.Forget(c.Engine) })
	}
	return ends
}

// Engines are sent the same calls and metadata as before, and their trailers are read as they were.
func TestGoldenEngineCalls(t *testing.T) {
	e := &listeningEngine{rows: texts(t, "ab", "cd")}
	query := router.Call{ID: "9b1f03aa5c7e2d41", Class: "lookup", Statement: "SELECT 1", WaitMS: 20_000, GrantMB: 64, Priority: 3}
	update, load := query, query
	update.Update = true
	load.AtMostOnce = true
	served := attempts(t, e, query, update, load)
	e.refuses = true
	refused := attempts(t, e, load)
	goldentest.Equal(t, "engine-calls.txt", e.heard.Bytes())
	changed := router.Result{Columns: []string{"rows_changed"}, Cells: []router.Cell{{Text: "3"}}, WorkMS: 12.5, NeedMB: 34.5, ChangedRows: 3}
	want := []router.End{
		{Outcome: dispatch.Served, Result: &router.Result{
			Columns: []string{"a"}, Cells: []router.Cell{{Text: "ab"}, {Text: "cd"}},
			WorkMS: 12.5, NeedMB: 34.5,
		}},
		{Outcome: dispatch.Served, Result: &changed},
		{Outcome: dispatch.Served, Result: &changed},
		{Outcome: dispatch.EngineFull, Detail: "rpc error: code = ResourceExhausted desc = full"},
	}
	if diff := cmp.Diff(want, append(served, refused...)); diff != "" {
		t.Error(diff)
	}
}
