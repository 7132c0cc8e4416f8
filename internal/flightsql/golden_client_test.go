package flightsql

import (
	"bytes"
	"context"
	"fmt"
	"testing"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/google/go-cmp/cmp"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"windflow/dispatch"
	"windflow/internal/golden"
	"windflow/internal/router"
)

// recordingEngine is a fake engine that records the calls that it receives.
type recordingEngine struct {
	flight.BaseFlightServer
	calls          bytes.Buffer
	rows           []*flight.FlightData
	rejectsUpdates bool // with proof that nothing ran
}

func (e *recordingEngine) record(ctx context.Context, method string, sent []byte) {
	md, _ := metadata.FromIncomingContext(ctx)
	_, bound := ctx.Deadline()
	fmt.Fprintf(&e.calls, "%s %x deadline %v %s\n", method, sent, bound, describeMetadata(md))
}

func (e *recordingEngine) GetFlightInfo(ctx context.Context, d *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	e.record(ctx, "GetFlightInfo", d.GetCmd())
	return &flight.FlightInfo{
		Endpoint: []*flight.FlightEndpoint{{Ticket: &flight.Ticket{Ticket: []byte("ticket")}}},
	}, nil
}

func (e *recordingEngine) DoGet(ticket *flight.Ticket, s flight.FlightService_DoGetServer) error {
	e.record(s.Context(), "DoGet", ticket.GetTicket())
	s.SetTrailer(metadata.Pairs("cpu-ms", "12.5", "mem-used", "34.5"))
	return sendMessages(e.rows)(s)
}

func (e *recordingEngine) DoPut(s flight.FlightService_DoPutServer) error {
	data, err := s.Recv()
	if err != nil {
		return err
	}
	e.record(s.Context(), "DoPut", data.GetFlightDescriptor().GetCmd())
	if e.rejectsUpdates {
		s.SetTrailer(metadata.Pairs("not-begun", "1"))
		return status.Error(codes.ResourceExhausted, "full")
	}
	s.SetTrailer(metadata.Pairs("cpu-ms", "12.5", "mem-used", "34.5"))
	return s.Send(&flight.PutResult{AppMetadata: []byte{8, 3}})
}

// runAttempts runs calls at an engine one after another and returns their ends.
func runAttempts(t *testing.T, engine *recordingEngine, calls ...router.Call) (ends []router.End) {
	t.Helper()
	address := serveEngine(t, engine)
	client, loop := newEngineClient(t, 5000, 4)
	for _, call := range calls {
		call.Engine = engineAt(address)
		ended := make(chan router.End, 1)
		loop.Post(func() { client.Start(call, func(end router.End) { ended <- end }) })
		ends = append(ends, <-ended)
		loop.Post(func() { client.Forget(call.Engine) })
	}
	return ends
}

// Compares the calls and metadata that engines receive with the recorded ones, and checks that their trailers are read.
func TestGoldenEngineCalls(t *testing.T) {
	e := &recordingEngine{rows: textStream(t, "ab", "cd")}
	query := router.Call{
		ID: "9b1f03aa5c7e2d41", Class: "lookup", Statement: "SELECT 1", WaitMS: 20_000, GrantMB: 64, Priority: 3,
	}
	update, load := query, query
	update.Update = true
	load.AtMostOnce = true
	served := runAttempts(t, e, query, update, load)
	e.rejectsUpdates = true
	rejected := runAttempts(t, e, load)
	golden.Equal(t, "engine-calls.txt", e.calls.Bytes())
	changed := router.Result{
		Columns: []string{"rows_changed"}, Cells: []router.Cell{{Text: "3"}}, WorkMS: 12.5, NeedMB: 34.5, ChangedRows: 3,
	}
	want := []router.End{
		{Outcome: dispatch.Served, Result: &router.Result{
			Columns: []string{"a"}, Cells: []router.Cell{{Text: "ab"}, {Text: "cd"}},
			WorkMS: 12.5, NeedMB: 34.5,
		}},
		{Outcome: dispatch.Served, Result: &changed},
		{Outcome: dispatch.Served, Result: &changed},
		{Outcome: dispatch.EngineFull, Detail: "rpc error: code = ResourceExhausted desc = full"},
	}
	if diff := cmp.Diff(want, append(served, rejected...)); diff != "" {
		t.Error(diff)
	}
}
