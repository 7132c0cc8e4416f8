package flightsql

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	pb "github.com/apache/arrow-go/v18/arrow/flight/gen/flight"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"windflow/internal/router"
)

// errBadResponse marks an engine's response that violates the protocol or exceeds a limit.
var errBadResponse = errors.New("bad response")

// executeQuery runs a query: GetFlightInfo, then DoGet for each ticket. It returns the rows of all tickets and the
// trailer of the last call.
func executeQuery(
	ctx context.Context, client flightsql.Client, statement string, limits *resultLimits,
) (*router.Result, metadata.MD, error) {
	var trailer metadata.MD
	info, err := client.Execute(ctx, statement, grpc.Trailer(&trailer))
	if err != nil {
		return nil, trailer, err
	}
	if len(info.Endpoint) == 0 {
		return nil, nil, fmt.Errorf("%w: flight info without an endpoint", errBadResponse)
	}
	rows := &rowReader{result: &router.Result{}}
	budget := &resultBudget{limits: limits}
	defer budget.release()
	for _, endpoint := range info.Endpoint {
		stream, err := client.Client.DoGet(ctx, endpoint.Ticket)
		if err != nil {
			return nil, nil, err
		}
		reader, err := flight.NewRecordReader(&resultStream{FlightService_DoGetClient: stream, budget: budget})
		if err != nil {
			return nil, stream.Trailer(), streamError(err)
		}
		err = rows.read(reader)
		reader.Release()
		trailer = stream.Trailer()
		if err != nil {
			return nil, trailer, err
		}
	}
	return rows.result, trailer, nil
}

// rowReader collects the rows of several streams in one result, as text.
type rowReader struct {
	result *router.Result
	size   int // bytes of text in the result, plus one for each cell
}

// read reads a stream to its end. Arrow validates the structure of a received message, but not, for example, each
// offset of a string column, and panics when such a value is read. read recovers from that, so that only the attempt
// fails.
func (r *rowReader) read(reader *flight.Reader) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", errBadResponse, p)
		}
	}()
	if err := r.readSchema(reader.Schema()); err != nil {
		return err
	}
	for reader.Next() {
		if err := r.readBatch(reader.RecordBatch()); err != nil {
			return err
		}
	}
	if err := reader.Err(); err != nil && !errors.Is(err, io.EOF) {
		return streamError(err)
	}
	return nil
}

// readSchema reads the column names. A stream without columns, or with a different number of columns than the previous
// stream, is an error.
func (r *rowReader) readSchema(schema *arrow.Schema) error {
	var names []string
	for _, field := range schema.Fields() {
		names = append(names, field.Name)
	}
	if len(names) == 0 || r.result.Columns != nil && len(r.result.Columns) != len(names) {
		return fmt.Errorf("%w: schema has %d columns", errBadResponse, len(names))
	}
	r.result.Columns = names
	return nil
}

func (r *rowReader) readBatch(batch arrow.RecordBatch) error {
	for row := range int(batch.NumRows()) {
		for _, column := range batch.Columns() {
			cell := router.Cell{Null: column.IsNull(row)}
			if !cell.Null {
				cell.Text = column.ValueStr(row)
			}
			r.size += len(cell.Text) + 1
			r.result.Cells = append(r.result.Cells, cell)
		}
		if r.size > router.MaxResultBytes {
			return fmt.Errorf("%w: the result exceeds %d bytes", errBadResponse, router.MaxResultBytes)
		}
	}
	return nil
}

// streamError returns a gRPC status unchanged and marks any other error as errBadResponse.
func streamError(err error) error {
	if _, ok := status.FromError(err); ok || errors.Is(err, errBadResponse) {
		return err
	}
	return fmt.Errorf("%w: %w", errBadResponse, err)
}

// executeUpdate runs a statement with DoPut. The statement is written once, in one message on one stream.
func executeUpdate(
	ctx context.Context, client flightsql.Client, statement string,
) (*router.Result, metadata.MD, error) {
	command, err := updateCommand(statement)
	if err != nil {
		return nil, nil, err
	}
	stream, err := client.Client.DoPut(ctx)
	if err != nil {
		return nil, nil, err
	}
	// A failed Send returns io.EOF, which says only that the stream has ended. Recv returns the cause.
	if err := stream.Send(&flight.FlightData{FlightDescriptor: &flight.FlightDescriptor{
		Type: flight.DescriptorCMD, Cmd: command,
	}}); err != nil && !errors.Is(err, io.EOF) {
		return nil, stream.Trailer(), err
	}
	if err := stream.CloseSend(); err != nil {
		return nil, stream.Trailer(), err
	}
	changed, err := receiveUpdateResult(stream)
	if err != nil {
		return nil, stream.Trailer(), err
	}
	return &router.Result{
		Columns: []string{"rows_changed"}, ChangedRows: changed,
		Cells: []router.Cell{{Text: strconv.FormatInt(changed, 10)}},
	}, stream.Trailer(), nil
}

// updateCommand encodes the command of a DoPut that runs a statement.
func updateCommand(statement string) ([]byte, error) {
	var command anypb.Any
	if err := command.MarshalFrom(&pb.CommandStatementUpdate{Query: statement}); err != nil {
		return nil, err
	}
	return proto.Marshal(&command)
}

// receiveUpdateResult receives the response to an update and returns the number of changed rows. The result counts only
// if the engine then ends the stream without an error; a second response is an error.
func receiveUpdateResult(stream flight.FlightService_DoPutClient) (int64, error) {
	response, err := stream.Recv()
	if errors.Is(err, io.EOF) {
		return 0, fmt.Errorf("%w: no response to an update", errBadResponse)
	}
	if err != nil {
		return 0, err
	}
	var result pb.DoPutUpdateResult
	if err := proto.Unmarshal(response.GetAppMetadata(), &result); err != nil {
		return 0, fmt.Errorf("%w: %w", errBadResponse, err)
	}
	_, err = stream.Recv()
	switch {
	case err == nil:
		return 0, fmt.Errorf("%w: more than one response to an update", errBadResponse)
	case !errors.Is(err, io.EOF):
		return 0, err
	}
	return result.GetRecordCount(), nil
}
