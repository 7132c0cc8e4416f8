package flightsql

import (
	"context"
	"encoding/binary"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/ipc"
	"github.com/apache/arrow-go/v18/arrow/memory"

	"windflow/dispatch"
	"windflow/internal/arrowipc"
)

// batchStream returns the messages of a stream with one batch, written with options.
func batchStream(t *testing.T, batch arrow.RecordBatch, options ...ipc.Option) []*flight.FlightData {
	t.Helper()
	recorder := &messageRecorder{}
	writer := flight.NewRecordWriter(recorder, append(options, ipc.WithSchema(batch.Schema()))...)
	if err := writer.Write(batch); err != nil {
		t.Fatal(err)
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	return recorder.sent
}

// textBatch returns a batch of one column with equal texts.
func textBatch(rows, length int) arrow.RecordBatch {
	schema := arrow.NewSchema([]arrow.Field{{Name: "note", Type: arrow.BinaryTypes.String}}, nil)
	builder := array.NewRecordBuilder(memory.DefaultAllocator, schema)
	defer builder.Release()
	for range rows {
		builder.Field(0).(*array.StringBuilder).Append(strings.Repeat("x", length))
	}
	return builder.NewRecordBatch()
}

var testEndpoint = []*flight.FlightEndpoint{{Ticket: &flight.Ticket{Ticket: []byte("t")}}}

// Guards against a router that ends because one byte of an engine's compressed result is changed: the length that a
// column declares. Only the attempt fails, and unchanged results are served.
func TestCompressedResults(t *testing.T) {
	for name, option := range map[string]ipc.Option{"zstd": ipc.WithZstd(), "lz4": ipc.WithLZ4()} {
		sound := batchStream(t, textBatch(1000, 30), option)
		end := runAttempt(t, &rawEngine{endpoints: testEndpoint, get: sendMessages(sound)}, false)
		if end.Outcome != dispatch.Served || len(end.Result.Cells) != 1000 ||
			end.Result.Cells[999].Text != strings.Repeat("x", 30) {
			t.Errorf("%s: outcome %v (%s), want 1000 rows", name, end.Outcome, end.Detail)
		}
		for _, declared := range []uint64{1 << 33, 1 << 46, 1 << 62} {
			changed := batchStream(t, textBatch(1000, 30), option)
			binary.LittleEndian.PutUint64(changed[1].DataBody, declared) // the first buffer of the body is that of the offsets
			end := runAttempt(t, &rawEngine{endpoints: testEndpoint, get: sendMessages(changed)}, false)
			if end.Outcome != dispatch.EngineFailed || !strings.Contains(end.Detail, "declares") {
				t.Errorf("%s, declared %d: outcome %v (%s), want EngineFailed", name, declared, end.Outcome, end.Detail)
			}
		}
	}
}

// A column that has no text form fails the attempt with its name and type.
func TestNestedColumnIsNamed(t *testing.T) {
	schema := arrow.NewSchema([]arrow.Field{{Name: "tags", Type: arrow.ListOf(arrow.BinaryTypes.String)}}, nil)
	builder := array.NewRecordBuilder(memory.DefaultAllocator, schema)
	messages := batchStream(t, builder.NewRecordBatch())
	end := runAttempt(t, &rawEngine{endpoints: testEndpoint, get: sendMessages(messages)}, false)
	if end.Outcome != dispatch.EngineFailed || !strings.Contains(end.Detail, `column "tags" has the type list`) {
		t.Errorf("outcome %v (%s), want EngineFailed with the column and its type", end.Outcome, end.Detail)
	}
}

// Guards against memory without end: an engine that goes on sending dictionaries, none of which is too large by itself,
// fails its attempt.
func TestEndlessDictionariesFail(t *testing.T) {
	dictionary := &arrow.DictionaryType{IndexType: arrow.PrimitiveTypes.Int32, ValueType: arrow.BinaryTypes.String}
	schema := arrow.NewSchema([]arrow.Field{{Name: "note", Type: dictionary}}, nil)
	builder := array.NewRecordBuilder(memory.DefaultAllocator, schema)
	for i := range 2000 {
		if err := builder.Field(0).(*array.BinaryDictionaryBuilder).AppendString(fmt.Sprintf("%050d", i)); err != nil {
			t.Fatal(err)
		}
	}
	messages := batchStream(t, builder.NewRecordBatch())
	sent := 0
	get := func(stream flight.FlightService_DoGetServer) error {
		err := stream.Send(messages[0])
		for ; err == nil && sent < 1000; sent++ {
			err = stream.Send(messages[1]) // replaces the dictionary
		}
		return err
	}
	end := runAttempt(t, &rawEngine{endpoints: testEndpoint, get: get}, false)
	if end.Outcome != dispatch.EngineFailed || !strings.Contains(end.Detail, arrowipc.ErrMalformed.Error()) {
		t.Errorf("outcome %v (%s) after %d dictionaries, want EngineFailed", end.Outcome, end.Detail, sent)
	}
}

// Guards against a small message that is large in memory: a FlightInfo with very many empty endpoints.
func TestManyEndpointsFail(t *testing.T) {
	sound := batchStream(t, textBatch(1, 1))
	for _, tc := range []struct {
		endpoints int
		want      dispatch.Outcome
	}{
		{100, dispatch.Served},
		{maxEndpointFields + 1, dispatch.EngineFailed},
	} {
		var endpoints []*flight.FlightEndpoint
		for range tc.endpoints {
			endpoints = append(endpoints, &flight.FlightEndpoint{})
		}
		end := runAttempt(t, &rawEngine{endpoints: endpoints, get: sendMessages(sound)}, false)
		if end.Outcome != tc.want {
			t.Errorf("%d endpoints: outcome %v (%s), want %v", tc.endpoints, end.Outcome, end.Detail, tc.want)
		}
	}
}

// Results above smallStreamBytes wait for each other, smaller ones do not, and none is lost.
func TestLargeResultsTakeTurns(t *testing.T) {
	limits, err := newResultLimits(1)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	first, second := &resultBudget{limits: limits}, &resultBudget{limits: limits}
	if err := first.take(ctx, smallStreamBytes+1); err != nil {
		t.Fatal(err)
	}
	if err := second.take(ctx, smallStreamBytes); err != nil {
		t.Errorf("a small result beside a large one: %v", err)
	}
	if err := second.take(ctx, 1); err == nil {
		t.Error("a second large result had a place")
	}
	first.release()
	if err := second.take(context.Background(), 1); err != nil {
		t.Errorf("after the first result: %v", err)
	}
	second.release()
	if len(limits.large) != 0 {
		t.Errorf("%d places are taken after all results", len(limits.large))
	}
}
