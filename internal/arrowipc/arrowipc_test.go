package arrowipc

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/ipc"
	"github.com/apache/arrow-go/v18/arrow/memory"
)

const (
	// testLimit is the limit of decoded bytes in the tests.
	testLimit = 1 << 20
	// maxAllocated bounds what the inspection and decoding of one message may allocate in all, in bytes.
	maxAllocated = 16 << 20
)

// recorder records the messages that a flight.Writer sends.
type recorder struct{ sent []*flight.FlightData }

func (r *recorder) Send(d *flight.FlightData) error {
	r.sent = append(r.sent, &flight.FlightData{DataHeader: bytes.Clone(d.DataHeader), DataBody: bytes.Clone(d.DataBody)})
	return nil
}

// replay is a stream of messages that passes each through an Inspector.
type replay struct {
	messages     []*flight.FlightData
	decompressor *Decompressor
	inspector    Inspector
}

var errEnd = errors.New("end of the stream")

func (r *replay) Recv() (*flight.FlightData, error) {
	if len(r.messages) == 0 {
		return nil, errEnd
	}
	data := r.messages[0]
	r.messages = r.messages[1:]
	message, err := r.inspector.Inspect(data.DataHeader, data.DataBody)
	if err != nil {
		return nil, err
	}
	size, err := message.DecodedBytes(testLimit)
	if err != nil || message.Codec == NotCompressed {
		return data, err
	}
	header, body, err := r.inspector.Decompress(r.decompressor, message, size)
	return &flight.FlightData{DataHeader: header, DataBody: body}, err
}

func newTestDecompressor(t *testing.T) *Decompressor {
	t.Helper()
	decompressor, err := NewDecompressor()
	if err != nil {
		t.Fatal(err)
	}
	return decompressor
}

// sampleBatch returns a batch with columns of several kinds: text, numbers, a dictionary, string views and nulls.
func sampleBatch(rows int) arrow.RecordBatch {
	dictionary := &arrow.DictionaryType{IndexType: arrow.PrimitiveTypes.Int8, ValueType: arrow.BinaryTypes.String}
	schema := arrow.NewSchema([]arrow.Field{
		{Name: "note", Type: arrow.BinaryTypes.String, Nullable: true},
		{Name: "count", Type: arrow.PrimitiveTypes.Int64},
		{Name: "kind", Type: dictionary},
		{Name: "view", Type: arrow.BinaryTypes.StringView},
		{Name: "price", Type: &arrow.Decimal128Type{Precision: 9, Scale: 2}},
		{Name: "at", Type: &arrow.TimestampType{Unit: arrow.Millisecond, TimeZone: "UTC"}},
	}, nil)
	builder := array.NewRecordBuilder(memory.DefaultAllocator, schema)
	defer builder.Release()
	for row := range rows {
		if row%7 == 0 {
			builder.Field(0).AppendNull()
		} else {
			builder.Field(0).(*array.StringBuilder).Append(strings.Repeat("x", row%40))
		}
		builder.Field(1).(*array.Int64Builder).Append(int64(row))
		_ = builder.Field(2).(*array.BinaryDictionaryBuilder).AppendString(fmt.Sprint("kind", row%3))
		builder.Field(3).(*array.StringViewBuilder).Append(strings.Repeat("y", row%30))
		_ = builder.Field(4).AppendValueFromString(fmt.Sprintf("%d.25", row))
		builder.Field(5).(*array.TimestampBuilder).Append(arrow.Timestamp(row))
	}
	return builder.NewRecordBatch()
}

// messagesOf returns the messages of a stream with one batch.
func messagesOf(t *testing.T, batch arrow.RecordBatch, options ...ipc.Option) []*flight.FlightData {
	t.Helper()
	sent := &recorder{}
	writer := flight.NewRecordWriter(sent, append(options, ipc.WithSchema(batch.Schema()))...)
	if err := writer.Write(batch); err != nil {
		t.Fatal(err)
	}
	if err := writer.Close(); err != nil {
		t.Fatal(err)
	}
	return sent.sent
}

// decode reads a stream to its end and returns all cells as text.
func decode(stream flight.DataStreamReader) (text string, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v", p)
		}
	}()
	reader, err := flight.NewRecordReader(stream)
	if err != nil {
		return "", err
	}
	defer reader.Release()
	var cells strings.Builder
	for reader.Next() && cells.Len() < testLimit {
		batch := reader.RecordBatch()
		for row := range int(min(batch.NumRows(), testLimit)) {
			for _, column := range batch.Columns() {
				cells.WriteString(column.ValueStr(row) + "\t")
			}
			if cells.Len() > testLimit {
				break
			}
		}
	}
	if err := reader.Err(); !errors.Is(err, errEnd) {
		return cells.String(), err
	}
	return cells.String(), nil
}

// Decompressed batches have the content of those that were never compressed, with each codec.
func TestDecompressKeepsContent(t *testing.T) {
	decompressor := newTestDecompressor(t)
	for _, rows := range []int{0, 1, 8, 500} {
		batch := sampleBatch(rows)
		want, err := decode(&replay{messages: messagesOf(t, batch), decompressor: decompressor})
		if err != nil {
			t.Fatal(err)
		}
		for name, option := range map[string]ipc.Option{"zstd": ipc.WithZstd(), "lz4": ipc.WithLZ4()} {
			messages := messagesOf(t, batch, option)
			got, err := decode(&replay{messages: messages, decompressor: decompressor})
			if err != nil || got != want {
				t.Errorf("%s, %d rows: %d bytes of cells, error %v, want %d bytes", name, rows, len(got), err, len(want))
			}
		}
	}
}

// allocated returns the bytes that fn allocates in all.
func allocated(fn func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	fn()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// Guards against a process that ends because a peer's message makes Arrow allocate what it declares: with any bytes of
// a stream changed, what is allocated stays bounded, and nothing but an error or other cells comes of it.
func TestChangedBytesStayBounded(t *testing.T) {
	const seed, changes = 1, 20_000
	random := rand.New(rand.NewPCG(seed, 0))
	decompressor := newTestDecompressor(t)
	batch := sampleBatch(20)
	streams := [][]*flight.FlightData{
		messagesOf(t, batch), messagesOf(t, batch, ipc.WithZstd()), messagesOf(t, batch, ipc.WithLZ4()),
	}
	failed := 0
	for change := range changes {
		changed := mutate(random, streams[change%len(streams)])
		var err error
		size := allocated(func() { _, err = decode(&replay{messages: changed, decompressor: decompressor}) })
		if err != nil {
			failed++
		}
		if size > maxAllocated {
			t.Fatalf("change %d: %d bytes allocated, at most %d are allowed (error %v)", change, size, maxAllocated, err)
		}
	}
	if failed < changes/10 {
		t.Errorf("only %d of %d changed streams were rejected, so the test shows little", failed, changes)
	}
}

// mutate returns a copy of a stream in which one to three places hold other values.
func mutate(random *rand.Rand, stream []*flight.FlightData) []*flight.FlightData {
	var copied []*flight.FlightData
	for _, m := range stream {
		copied = append(copied, &flight.FlightData{DataHeader: bytes.Clone(m.DataHeader), DataBody: bytes.Clone(m.DataBody)})
	}
	for range 1 + random.IntN(3) {
		m := copied[random.IntN(len(copied))]
		target := m.DataHeader
		if random.IntN(3) == 0 && len(m.DataBody) > 0 {
			target = m.DataBody
		}
		at := random.IntN(len(target))
		switch random.IntN(4) {
		case 0:
			target[at] ^= 1 << random.IntN(8)
		case 1:
			target[at] = byte(random.Uint32())
		case 2:
			if at+4 <= len(target) {
				binary.LittleEndian.PutUint32(target[at:], random.Uint32()>>random.IntN(32))
			}
		default:
			if at+8 <= len(target) {
				binary.LittleEndian.PutUint64(target[at:], random.Uint64()>>random.IntN(64))
			}
		}
	}
	return copied
}

// Types whose values contain others have no text form that is given unchanged, and a single value of them can expand
// without bound. The error names the column and its type.
func TestNestedTypesAreRejected(t *testing.T) {
	list := arrow.ListOf(arrow.PrimitiveTypes.Int64)
	for name, columnType := range map[string]arrow.DataType{
		"list": list, "large_list": arrow.LargeListOf(arrow.PrimitiveTypes.Int64),
		"fixed_size_list": arrow.FixedSizeListOf(2, arrow.PrimitiveTypes.Int64),
		"struct":          arrow.StructOf(arrow.Field{Name: "x", Type: arrow.PrimitiveTypes.Int64}),
		"map":             arrow.MapOf(arrow.BinaryTypes.String, arrow.PrimitiveTypes.Int64),
		"run_end_encoded": arrow.RunEndEncodedOf(arrow.PrimitiveTypes.Int32, arrow.BinaryTypes.String),
	} {
		schema := arrow.NewSchema([]arrow.Field{{Name: "inner", Type: columnType}}, nil)
		builder := array.NewRecordBuilder(memory.DefaultAllocator, schema)
		_, err := decode(&replay{messages: messagesOf(t, builder.NewRecordBatch())})
		if !errors.Is(err, ErrMalformed) || !strings.Contains(err.Error(), `"inner" has the type `+name) {
			t.Errorf("%s: %v, want an error that names the column and its type", name, err)
		}
	}
}

// Guards against small messages that declare much: each of them is rejected before Arrow allocates anything.
func TestBombsAreRejected(t *testing.T) {
	schemaHeader := messagesOf(t, sampleBatch(1))[0].DataHeader
	content, _ := rootTable(schemaHeader).child(messageHeader)
	fields, _, err := content.vector(schemaFields, offsetSize)
	if err != nil {
		t.Fatal(err)
	}
	changed := bytes.Clone(schemaHeader)
	binary.LittleEndian.PutUint32(changed[fields-offsetSize:], 1<<31-1)
	if _, err := new(Inspector).Inspect(changed, nil); !errors.Is(err, ErrMalformed) {
		t.Errorf("two billion columns: %v, want ErrMalformed", err)
	}
	longName := strings.Repeat("n", maxSchemaText/2)
	metadata := arrow.MetadataFrom(map[string]string{"k": strings.Repeat("v", maxSchemaText)})
	var many []arrow.Field
	for i := range MaxColumns + 1 {
		many = append(many, arrow.Field{Name: fmt.Sprint(i), Type: arrow.PrimitiveTypes.Int8})
	}
	for name, schema := range map[string]*arrow.Schema{
		"many columns":  arrow.NewSchema(many, nil),
		"long metadata": arrow.NewSchema([]arrow.Field{{Name: "a", Type: arrow.PrimitiveTypes.Int8}}, &metadata),
		"long names": arrow.NewSchema([]arrow.Field{
			{Name: longName, Type: arrow.PrimitiveTypes.Int8}, {Name: longName + "2", Type: arrow.PrimitiveTypes.Int8},
		}, nil),
		"precise decimal": arrow.NewSchema([]arrow.Field{
			{Name: "a", Type: &arrow.Decimal128Type{Precision: 1 << 30, Scale: 2}},
		}, nil),
		"wide decimal": arrow.NewSchema([]arrow.Field{
			{Name: "a", Type: &arrow.Decimal128Type{Precision: 9, Scale: 1 << 30}},
		}, nil),
	} {
		builder := array.NewRecordBuilder(memory.DefaultAllocator, schema)
		if _, err := decode(&replay{messages: messagesOf(t, builder.NewRecordBatch())}); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v, want ErrMalformed", name, err)
		}
	}
}

// A compressed buffer that declares more bytes than allowed is rejected before memory is reserved for it, and one that
// holds more or fewer bytes than it declares is rejected as well.
func TestCompressedLengths(t *testing.T) {
	decompressor := newTestDecompressor(t)
	for codecName, option := range map[string]ipc.Option{"zstd": ipc.WithZstd(), "lz4": ipc.WithLZ4()} {
		for _, declared := range []uint64{0, 1, 1 << 20, 1 << 31, 1 << 40, 1 << 62, 1<<63 + 5, 1<<64 - 2} {
			messages := messagesOf(t, sampleBatch(50), option)
			batch := messages[len(messages)-1]
			inspector := Inspector{schemaInspected: true}
			message, err := inspector.Inspect(batch.DataHeader, batch.DataBody)
			if err != nil {
				t.Fatal(err)
			}
			changed := false
			_ = message.eachBuffer(func(_ int, content []byte) error {
				if !changed && len(content) > lengthPrefix {
					binary.LittleEndian.PutUint64(content, declared)
					changed = true
				}
				return nil
			})
			var failure error
			size := allocated(func() { _, failure = decode(&replay{messages: messages, decompressor: decompressor}) })
			if failure == nil || size > maxAllocated {
				t.Errorf("%s, declared %d: error %v, %d bytes allocated", codecName, declared, failure, size)
			}
		}
	}
}
