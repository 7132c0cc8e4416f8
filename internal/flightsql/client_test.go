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

// rawEngine is a fake engine that answers below Flight SQL, so that it can answer badly.
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

// messageRecorder records what a writer of records sends.
type messageRecorder struct{ sent []*flight.FlightData }

func (r *messageRecorder) Send(d *flight.FlightData) error {
	r.sent = append(r.sent, &flight.FlightData{DataHeader: bytes.Clone(d.DataHeader), DataBody: bytes.Clone(d.DataBody)})
	return nil
}

// textStream returns the messages of a stream with one column of text.
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

// Whatever an engine answers, an attempt ends with an outcome, and only an answer that proves that nothing ran is
// reported as such. Of the offsets of a column of text, Arrow checks the last one only, and panics over the others
// when the value is read.
func TestBadResponsesToQueries(t *testing.T) {
	complete := textStream(t, "ab", "cd", "ef")
	corrupted := textStream(t, "ab", "cd", "ef")
	copy(corrupted[1].DataBody[4:], []byte{0xff, 0xff, 0xff, 0x7f}) // the end of the first value
	if bytes.Equal(corrupted[1].DataBody, complete[1].DataBody) {
		t.Fatal("nothing is broken")
	}
	notArrow := []*flight.FlightData{{DataHeader: []byte{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12}, DataBody: []byte("x")}}
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
		{"broken offsets", oneEndpoint, sendMessages(corrupted), dispatch.EngineFailed},
		{"no endpoint", nil, sendMessages(complete), dispatch.EngineFailed},
		{"no ticket", []*flight.FlightEndpoint{{}}, sendMessages(complete), dispatch.Served},
		{"no Arrow at all", oneEndpoint, sendMessages(notArrow), dispatch.EngineFailed},
		{"rows without a schema", oneEndpoint, sendMessages(complete[1:]), dispatch.EngineFailed},
		{"a result too big", oneEndpoint, sendMessages(textStream(t, strings.Repeat("x", router.MaxResultBytes))), dispatch.EngineFailed},
		{"nothing", oneEndpoint, sendMessages(nil), dispatch.EngineFailed},
		{"its own failure", oneEndpoint, failWith(codes.Internal), dispatch.EngineFailed},
		{"full, with proof", oneEndpoint, failWith(codes.Unavailable, metaNotStarted, "1"), dispatch.EngineFull},
		{"full, without proof", oneEndpoint, failWith(codes.Unavailable), dispatch.ConnectionReset},
		{"proof beside another code", oneEndpoint, failWith(codes.Internal, metaNotStarted, "1"), dispatch.EngineFailed},
	} {
		end := runAttempt(t, &rawEngine{endpoints: tc.endpoints, get: tc.get}, false)
		if end.Outcome != tc.want {
			t.Errorf("%s: outcome %v (%s), want %v", tc.name, end.Outcome, end.Detail, tc.want)
		}
	}
}

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
		{"none", respond(nil), dispatch.EngineFailed},
		{"two", respond(nil, changed, changed), dispatch.EngineFailed},
		{"no protobuf", respond(nil, &flight.PutResult{AppMetadata: []byte{0xff}}), dispatch.EngineFailed},
		{"a failure after it", respond(status.Error(codes.Internal, "no"), changed), dispatch.EngineFailed},
		{"the end of the stream as an error", respond(io.ErrUnexpectedEOF), dispatch.EngineFailed},
	} {
		end := runAttempt(t, &rawEngine{put: tc.put}, true)
		if end.Outcome != tc.want {
			t.Errorf("%s: outcome %v (%s), want %v", tc.name, end.Outcome, end.Detail, tc.want)
		}
		if end.Outcome == dispatch.Served && end.Result.ChangedRows != 5 {
			t.Errorf("%s: %d rows changed", tc.name, end.Result.ChangedRows)
		}
	}
}

// A refused connection proves that nothing ran, for a statement that must not run twice, too.
func TestRefusedConnection(t *testing.T) {
	addr := routertest.RefusingAddress(t, [4]byte{127, 0, 0, 1})
	for _, atMostOnce := range []bool{true, false} {
		if end := runAttemptAt(t, addr, atMostOnce); end.Outcome != dispatch.ConnectFailed {
			t.Errorf("once %v: outcome %v (%s)", atMostOnce, end.Outcome, end.Detail)
		}
	}
}

// Dedicated connections are bounded. A statement that finds none free within its time was never written, which proves
// that it did not run; the next one runs once a connection is free.
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
		t.Errorf("without a free connection: %v (%s)", end.Outcome, end.Detail)
	}
	third := start(20_000)
	close(release)
	for _, ended := range []chan router.End{first, third} {
		if end := <-ended; end.Outcome != dispatch.Served {
			t.Errorf("outcome %v (%s)", end.Outcome, end.Detail)
		}
	}
	if len(runs) != 1 {
		t.Errorf("%d runs after the first, want 1", len(runs))
	}
}
