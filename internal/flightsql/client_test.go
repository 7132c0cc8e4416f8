package flightsql

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/ipc"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"windflow/dispatch"
	"windflow/internal/router"
	"windflow/internal/routertest"
)

// rawEngine is a fake engine that implements plain Arrow Flight, so that it can send invalid Flight SQL responses.
type rawEngine struct {
	flight.BaseFlightServer
	endpoints []*flight.FlightEndpoint
	get       func(flight.FlightService_DoGetServer) error
	put       func(flight.FlightService_DoPutServer) error
}

func (e *rawEngine) GetFlightInfo(context.Context, *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	return &flight.FlightInfo{Endpoint: e.endpoints}, nil
}

func (e *rawEngine) DoGet(_ *flight.Ticket, s flight.FlightService_DoGetServer) error {
	return e.get(s)
}
func (e *rawEngine) DoPut(s flight.FlightService_DoPutServer) error { return e.put(s) }

// messageRecorder records the messages that a flight.Writer sends.
type messageRecorder struct{ sent []*flight.FlightData }

func (r *messageRecorder) Send(d *flight.FlightData) error {
	r.sent = append(r.sent, &flight.FlightData{DataHeader: bytes.Clone(d.DataHeader), DataBody: bytes.Clone(d.DataBody)})
	return nil
}

// textStream returns the messages of a stream with one column of strings.
func textStream(t *testing.T, values ...string) []*flight.FlightData {
	t.Helper()
	schema := arrow.NewSchema([]arrow.Field{{Name: "a", Type: arrow.BinaryTypes.String}}, nil)
	b := array.NewRecordBuilder(memory.DefaultAllocator, schema)
	b.Field(0).(*array.StringBuilder).AppendValues(values, nil)
	c := &messageRecorder{}
	w := flight.NewRecordWriter(c, ipc.WithSchema(schema))
	if err := w.Write(b.NewRecordBatch()); err != nil {
		t.Fatal(err)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	return c.sent
}

// sendMessages returns a DoGet handler that sends the messages.
func sendMessages(messages []*flight.FlightData) func(flight.FlightService_DoGetServer) error {
	return func(s flight.FlightService_DoGetServer) error {
		for _, m := range messages {
			if err := s.Send(m); err != nil {
				return err
			}
		}
		return nil
	}
}

// runAttempt runs one attempt at a fake engine and returns its end.
func runAttempt(t *testing.T, engine *rawEngine, atMostOnce bool) router.End {
	t.Helper()
	return runAttemptAt(t, serveEngine(t, engine), atMostOnce)
}

// runAttemptAt runs one attempt at an address and returns its end.
func runAttemptAt(t *testing.T, address string, atMostOnce bool) router.End {
	t.Helper()
	c, loop := newEngineClient(t, 5000, 4)
	engine := engineAt(address)
	ended := make(chan router.End, 1)
	loop.Post(func() {
		c.Start(router.Call{
			Engine: engine, ID: "9b1f03aa5c7e2d41", Class: "x", Statement: "S", WaitMS: 20_000, AtMostOnce: atMostOnce,
		}, func(end router.End) { ended <- end })
	})
	end := <-ended
	loop.Post(func() { c.Forget(engine) })
	return end
}

// Each response of an engine ends the attempt with an outcome, and only a response that proves that nothing ran gives
// EngineFull. Guards against a panic: of the offsets of a string column, Arrow checks only the last, and reading a
// value with another invalid offset panics.
func TestBadResponsesToQueries(t *testing.T) {
	complete := textStream(t, "ab", "cd", "ef")
	corrupted := textStream(t, "ab", "cd", "ef")
	copy(corrupted[1].DataBody[4:], []byte{0xff, 0xff, 0xff, 0x7f}) // the end offset of the first value
	if bytes.Equal(corrupted[1].DataBody, complete[1].DataBody) {
		t.Fatal("the corrupted stream equals the complete one")
	}
	notArrow := []*flight.FlightData{{DataHeader: []byte{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12}, DataBody: []byte("x")}}
	tooLarge := textStream(t, strings.Repeat("x", router.MaxResultBytes))
	oneEndpoint := []*flight.FlightEndpoint{{Ticket: &flight.Ticket{Ticket: []byte("t")}}}
	failWith := func(code codes.Code, trailer ...string) func(flight.FlightService_DoGetServer) error {
		return func(s flight.FlightService_DoGetServer) error {
			s.SetTrailer(metadata.Pairs(trailer...))
			return status.Error(code, "no")
		}
	}
	for _, tc := range []struct {
		name      string
		endpoints []*flight.FlightEndpoint
		get       func(flight.FlightService_DoGetServer) error
		want      dispatch.Outcome
	}{
		{"complete", oneEndpoint, sendMessages(complete), dispatch.Served},
		{"corrupted offsets", oneEndpoint, sendMessages(corrupted), dispatch.EngineFailed},
		{"no endpoint", nil, sendMessages(complete), dispatch.EngineFailed},
		{"no ticket", []*flight.FlightEndpoint{{}}, sendMessages(complete), dispatch.Served},
		{"not Arrow", oneEndpoint, sendMessages(notArrow), dispatch.EngineFailed},
		{"rows without a schema", oneEndpoint, sendMessages(complete[1:]), dispatch.EngineFailed},
		{"result too large", oneEndpoint, sendMessages(tooLarge), dispatch.EngineFailed},
		{"empty stream", oneEndpoint, sendMessages(nil), dispatch.EngineFailed},
		{"engine failure", oneEndpoint, failWith(codes.Internal), dispatch.EngineFailed},
		{"full, with proof", oneEndpoint, failWith(codes.Unavailable, metaNotStarted, "1"), dispatch.EngineFull},
		{"full, without proof", oneEndpoint, failWith(codes.Unavailable), dispatch.ConnectionReset},
		{"proof with another code", oneEndpoint, failWith(codes.Internal, metaNotStarted, "1"), dispatch.EngineFailed},
	} {
		end := runAttempt(t, &rawEngine{endpoints: tc.endpoints, get: tc.get}, false)
		if end.Outcome != tc.want {
			t.Errorf("%s: outcome %v (%s), want %v", tc.name, end.Outcome, end.Detail, tc.want)
		}
	}
}

// Only a single valid response, followed by the end of the stream, counts as a result of an update.
func TestBadResponsesToUpdates(t *testing.T) {
	changed := &flight.PutResult{AppMetadata: []byte{8, 5}} // 5 rows, in protobuf
	respond := func(err error, results ...*flight.PutResult) func(flight.FlightService_DoPutServer) error {
		return func(s flight.FlightService_DoPutServer) error {
			if _, err := s.Recv(); err != nil {
				return err
			}
			for _, r := range results {
				if err := s.Send(r); err != nil {
					return err
				}
			}
			return err
		}
	}
	for _, tc := range []struct {
		name string
		put  func(flight.FlightService_DoPutServer) error
		want dispatch.Outcome
	}{
		{"complete", respond(nil, changed), dispatch.Served},
		{"no response", respond(nil), dispatch.EngineFailed},
		{"two responses", respond(nil, changed, changed), dispatch.EngineFailed},
		{"not protobuf", respond(nil, &flight.PutResult{AppMetadata: []byte{0xff}}), dispatch.EngineFailed},
		{"error after the response", respond(status.Error(codes.Internal, "no"), changed), dispatch.EngineFailed},
		{"unexpected EOF as the status", respond(io.ErrUnexpectedEOF), dispatch.EngineFailed},
	} {
		end := runAttempt(t, &rawEngine{put: tc.put}, true)
		if end.Outcome != tc.want {
			t.Errorf("%s: outcome %v (%s), want %v", tc.name, end.Outcome, end.Detail, tc.want)
		}
		if end.Outcome == dispatch.Served && end.Result.ChangedRows != 5 {
			t.Errorf("%s: %d rows changed, want 5", tc.name, end.Result.ChangedRows)
		}
	}
}

// A refused connection proves that nothing ran, for at-most-once statements as well.
func TestRefusedConnection(t *testing.T) {
	addr := routertest.RefusingAddress(t, [4]byte{127, 0, 0, 1})
	for _, atMostOnce := range []bool{true, false} {
		if end := runAttemptAt(t, addr, atMostOnce); end.Outcome != dispatch.ConnectFailed {
			t.Errorf("at most once %v: outcome %v (%s), want ConnectFailed", atMostOnce, end.Outcome, end.Detail)
		}
	}
}

// The number of dedicated connections is limited. A statement that gets none before its timeout ends as ConnectFailed,
// because nothing of it was written. A later statement runs once a connection is free.
func TestDedicatedConnsAreBounded(t *testing.T) {
	release := make(chan struct{})
	runs := make(chan struct{}, 9)
	e := &rawEngine{put: func(s flight.FlightService_DoPutServer) error {
		if _, err := s.Recv(); err != nil {
			return err
		}
		runs <- struct{}{}
		<-release
		return s.Send(&flight.PutResult{AppMetadata: []byte{8, 5}})
	}}
	engine := engineAt(serveEngine(t, e))
	c, loop := newEngineClient(t, 5000, 1)
	start := func(waitMS float64) chan router.End {
		ended := make(chan router.End, 1)
		loop.Post(func() {
			c.Start(router.Call{
				Engine: engine, ID: "9b1f03aa5c7e2d41",
				Statement: "S", WaitMS: waitMS, AtMostOnce: true,
			}, func(e router.End) { ended <- e })
		})
		return ended
	}
	first := start(20_000)
	<-runs
	if end := <-start(50); end.Outcome != dispatch.ConnectFailed {
		t.Errorf("without a free connection: outcome %v (%s), want ConnectFailed", end.Outcome, end.Detail)
	}
	third := start(20_000)
	close(release)
	for _, ended := range []chan router.End{first, third} {
		if end := <-ended; end.Outcome != dispatch.Served {
			t.Errorf("outcome %v (%s), want Served", end.Outcome, end.Detail)
		}
	}
	if len(runs) != 1 {
		t.Errorf("%d runs after the first, want 1", len(runs))
	}
}
