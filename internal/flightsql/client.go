package flightsql

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	pb "github.com/apache/arrow-go/v18/arrow/flight/gen/flight"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"windflow/dispatch"
	"windflow/internal/clock"
	"windflow/internal/router"
)

// Client reaches engines that speak Flight SQL. It implements router.EngineClient: an attempt is carried out
// in a goroutine of its own, and its end is posted to the loop. gRPC's own retries are off, and an attempt
// that gRPC would repeat by itself is cut off by watch.
type Client struct {
	loop           *router.Loop
	log            *slog.Logger
	connectTimeout atomic.Int64                           // a time.Duration; dials read it in goroutines of their own
	shared         map[dispatch.EngineID]*grpc.ClientConn // for what may run twice
	out            map[*attempt]bool                      // touched in the loop only
	own            chan struct{}                          // holds one for each connection of what must not
	Counters       ClientCounters
}

// ClientCounters count what was sent to engines.
type ClientCounters struct {
	Queries            atomic.Int64 `status:"queries"`
	Updates            atomic.Int64 `status:"updates"`
	TransparentRetries atomic.Int64 `status:"repeats"`
	BadResponses       atomic.Int64 `status:"bad_answers"`
}

// sharedIdle is how long a shared connection may be without a call before it is closed.
const sharedIdle = 10 * time.Second

// NewClient returns a client that keeps at most maxOwn connections of their own for what must not run twice;
// further ones wait their turn, unwritten.
func NewClient(loop *router.Loop, connectTimeoutMS float64, maxOwn int, log *slog.Logger) *Client {
	c := &Client{
		loop: loop, log: log, shared: map[dispatch.EngineID]*grpc.ClientConn{},
		out: map[*attempt]bool{}, own: make(chan struct{}, maxOwn),
	}
	c.Configure(connectTimeoutMS)
	return c
}

// Configure has the client dial within another time from now on.
func (c *Client) Configure(connectTimeoutMS float64) {
	c.connectTimeout.Store(int64(clock.Duration(connectTimeoutMS)))
}

// Forget implements router.EngineClient.
func (c *Client) Forget(e router.Engine) {
	if conn := c.shared[e.ID]; conn != nil {
		delete(c.shared, e.ID)
		go func() { _ = conn.Close() }() // closing waits for gRPC's own goroutines; the loop may not
	}
}

// CancelUnstarted implements router.EngineClient.
func (c *Client) CancelUnstarted(e router.Engine) {
	for a := range c.out {
		if a.engine == e.ID && a.watch.withhold() {
			a.cancel()
		}
	}
}

// attempt is one call that is out.
type attempt struct {
	engine  dispatch.EngineID
	watch   *watch
	cancel  context.CancelFunc
	dropped bool // touched in the loop only
	given   bool // it was cancelled; touched in the loop only
}

// SetPriority implements router.Attempt; Flight SQL has no word for it once a call is out.
func (a *attempt) SetPriority(int) {}

// Cancel implements router.Attempt: the end of the call's stream tells the engine.
func (a *attempt) Cancel() {
	a.given = true
	a.cancel()
}

// Abandon implements router.Attempt.
func (a *attempt) Abandon() {
	a.dropped = true
	a.cancel()
}

// CancelUnsent implements router.Attempt.
func (a *attempt) CancelUnsent() bool {
	if a.dropped || !a.watch.withhold() {
		return false
	}
	a.Abandon()
	return true
}

// Start implements router.EngineClient.
func (c *Client) Start(call router.Call, done func(router.End)) router.Attempt {
	ctx, cancel := context.WithTimeout(context.Background(), clock.Duration(call.WaitMS))
	w := &watch{cancel: cancel, wrote: func() {
		if call.OnSent != nil {
			c.loop.Post(call.OnSent)
		}
	}}
	a := &attempt{engine: call.Engine.ID, watch: w, cancel: cancel}
	c.out[a] = true
	ctx = context.WithValue(ctx, watchKey{}, w)
	ctx = metadata.AppendToOutgoingContext(ctx, router.FieldID, call.ID, router.FieldClass, call.Class,
		router.FieldBudget, strconv.FormatFloat(call.WaitMS, 'f', 0, 64),
		metaGrant, strconv.FormatFloat(call.GrantMB, 'f', 0, 64), metaPriority, strconv.Itoa(call.Priority))
	var shared *grpc.ClientConn
	if !call.AtMostOnce {
		var err error
		if shared, err = c.connection(call.Engine); err != nil {
			c.loop.Post(func() { c.finish(a, done, router.End{Outcome: dispatch.ConnectFailed, Detail: err.Error()}) })
			return a
		}
	}
	go func() {
		end := c.carryOut(ctx, call, shared, w)
		c.loop.Post(func() { c.finish(a, done, end) })
	}()
	return a
}

func (c *Client) finish(a *attempt, done func(router.End), end router.End) {
	a.cancel()
	delete(c.out, a)
	if !a.dropped {
		a.dropped = true
		if a.given && end.Outcome == dispatch.ConnectionReset {
			end.Outcome = dispatch.Cancelled // not the engine's doing
		}
		done(end)
	}
}

// connection is the one that an engine's queries share.
func (c *Client) connection(e router.Engine) (*grpc.ClientConn, error) {
	if conn := c.shared[e.ID]; conn != nil {
		return conn, nil
	}
	conn, err := dial(func(ctx context.Context, _ string) (net.Conn, error) {
		d := net.Dialer{Timeout: time.Duration(c.connectTimeout.Load())}
		return d.DialContext(ctx, "tcp", e.Address)
	})
	if err == nil {
		c.shared[e.ID] = conn
	}
	return conn, err
}

func dial(dialer func(context.Context, string) (net.Conn, error)) (*grpc.ClientConn, error) {
	return grpc.NewClient("passthrough:///engine", grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(dialer), grpc.WithDisableRetry(), grpc.WithDisableServiceConfig(), grpc.WithNoProxy(),
		grpc.WithIdleTimeout(sharedIdle), grpc.WithStatsHandler(watcher{}), grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)))
}

// carryOut runs one attempt to its end.
func (c *Client) carryOut(ctx context.Context, call router.Call, conn *grpc.ClientConn, w *watch) router.End {
	if call.AtMostOnce {
		// What must not run twice gets a connection of its own, dialled here: only so is a refused connection
		// seen as such, and nothing can move the call to another connection.
		select {
		case c.own <- struct{}{}:
			defer func() { <-c.own }()
		case <-ctx.Done():
			return router.End{Outcome: dispatch.ConnectFailed, Detail: "no connection came free: " + ctx.Err().Error()}
		}
		d := net.Dialer{Timeout: time.Duration(c.connectTimeout.Load())}
		raw, err := d.DialContext(ctx, "tcp", call.Engine.Address)
		if err != nil {
			return router.End{Outcome: dispatch.ConnectFailed, Detail: err.Error()}
		}
		own, err := dial(single(raw))
		if err != nil {
			return router.End{Outcome: dispatch.ConnectFailed, Detail: errors.Join(err, raw.Close()).Error()}
		}
		defer own.Close()
		conn = own
	}
	client := flightsql.Client{Client: flight.NewClientFromConn(conn, nil)}
	var trailer metadata.MD
	var result *router.Result
	var err error
	if call.AtMostOnce || call.Update {
		c.Counters.Updates.Add(1)
		result, trailer, err = update(ctx, client, call.Statement)
	} else {
		c.Counters.Queries.Add(1)
		result, trailer, err = query(ctx, client, call.Statement)
	}
	if w.repeated.Load() {
		c.Counters.TransparentRetries.Add(1)
	}
	if err == nil {
		result.WorkMS, result.NeedMB = number(trailer, metaWork), number(trailer, metaNeed)
		return router.End{Outcome: dispatch.Served, Result: result}
	}
	end := router.End{Outcome: outcome(err, trailer, w), Detail: err.Error()}
	if end.Outcome == dispatch.EngineFailed {
		c.Counters.BadResponses.Add(1)
	}
	return end
}

// outcome reads how a call that brought no result ended. Only the engine's own word, or a call of which
// nothing was written, proves that it never ran.
func outcome(err error, trailer metadata.MD, w *watch) dispatch.Outcome {
	code := status.Code(err)
	switch {
	case errors.Is(err, errBad):
		return dispatch.EngineFailed
	case !w.written():
		return dispatch.ConnectFailed
	case len(trailer.Get(metaNotBegun)) == 1 && trailer.Get(metaNotBegun)[0] == "1" &&
		(code == codes.Unavailable || code == codes.ResourceExhausted || code == codes.DeadlineExceeded):
		return dispatch.EngineFull
	case code == codes.DeadlineExceeded:
		return dispatch.TimedOut
	case code == codes.Unavailable || code == codes.Canceled:
		return dispatch.ConnectionReset
	}
	return dispatch.EngineFailed
}

// errBad marks an answer that no engine should give.
var errBad = errors.New("bad answer")

// query asks for rows: GetFlightInfo, then DoGet of each of its tickets.
func query(ctx context.Context, client flightsql.Client, statement string) (*router.Result, metadata.MD, error) {
	var trailer metadata.MD
	info, err := client.Execute(ctx, statement, grpc.Trailer(&trailer))
	if err != nil {
		return nil, trailer, err
	}
	if len(info.Endpoint) == 0 {
		return nil, nil, fmt.Errorf("%w: no endpoint", errBad)
	}
	result, size := &router.Result{}, 0
	for _, at := range info.Endpoint {
		stream, err := client.Client.DoGet(ctx, at.Ticket)
		if err != nil {
			return nil, nil, err
		}
		reader, err := flight.NewRecordReader(stream)
		if err != nil {
			return nil, stream.Trailer(), streamError(err)
		}
		err = read(reader, result, &size)
		reader.Release()
		trailer = stream.Trailer()
		if err != nil {
			return nil, trailer, err
		}
	}
	return result, trailer, nil
}

// read takes the rows of one stream as text. Arrow checks a message's outline as it comes in, but not, say, each
// offset of a column of text: reading such a value panics, which must end the attempt and not the router.
func read(reader *flight.Reader, into *router.Result, size *int) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", errBad, p)
		}
	}()
	var names []string
	for _, f := range reader.Schema().Fields() {
		names = append(names, f.Name)
	}
	if len(names) == 0 || into.Columns != nil && len(into.Columns) != len(names) {
		return fmt.Errorf("%w: %d columns", errBad, len(names))
	}
	into.Columns = names
	for reader.Next() {
		batch := reader.RecordBatch()
		for row := range int(batch.NumRows()) {
			for _, column := range batch.Columns() {
				cell := router.Cell{Null: column.IsNull(row)}
				if !cell.Null {
					cell.Text = column.ValueStr(row)
				}
				*size += len(cell.Text) + 1
				into.Cells = append(into.Cells, cell)
			}
			if *size > router.MaxResultBytes {
				return fmt.Errorf("%w: a result of over %d bytes", errBad, router.MaxResultBytes)
			}
		}
	}
	if err := reader.Err(); err != nil && !errors.Is(err, io.EOF) {
		return streamError(err)
	}
	return nil
}

// streamError keeps a gRPC status as it is; anything else is a stream that no engine should write.
func streamError(err error) error {
	if _, ok := status.FromError(err); ok {
		return err
	}
	return fmt.Errorf("%w: %w", errBad, err)
}

// update runs a statement by DoPut. It is written once: one message on one stream.
func update(ctx context.Context, client flightsql.Client, statement string) (*router.Result, metadata.MD, error) {
	var command anypb.Any
	if err := command.MarshalFrom(&pb.CommandStatementUpdate{Query: statement}); err != nil {
		return nil, nil, err
	}
	bytes, err := proto.Marshal(&command)
	if err != nil {
		return nil, nil, err
	}
	stream, err := client.Client.DoPut(ctx)
	if err != nil {
		return nil, nil, err
	}
	// A send that fails says only that the stream has ended; Recv tells why.
	if err := stream.Send(&flight.FlightData{FlightDescriptor: &flight.FlightDescriptor{
		Type: flight.DescriptorCMD, Cmd: bytes,
	}}); err != nil && !errors.Is(err, io.EOF) {
		return nil, stream.Trailer(), err
	}
	if err := stream.CloseSend(); err != nil {
		return nil, stream.Trailer(), err
	}
	put, err := stream.Recv()
	if errors.Is(err, io.EOF) {
		err = fmt.Errorf("%w: an update without an answer", errBad)
	}
	if err != nil {
		return nil, stream.Trailer(), err
	}
	var told pb.DoPutUpdateResult
	if err := proto.Unmarshal(put.GetAppMetadata(), &told); err != nil {
		return nil, stream.Trailer(), fmt.Errorf("%w: %w", errBad, err)
	}
	// The result stands once the engine has ended the stream well.
	if _, err := stream.Recv(); !errors.Is(err, io.EOF) {
		if err == nil {
			err = fmt.Errorf("%w: a second answer to an update", errBad)
		}
		return nil, stream.Trailer(), err
	}
	n := told.GetRecordCount()
	return &router.Result{
		Columns: []string{"rows_changed"}, ChangedRows: n,
		Cells: []router.Cell{{Text: strconv.FormatInt(n, 10)}},
	}, stream.Trailer(), nil
}

func number(md metadata.MD, name string) float64 {
	values := md.Get(name)
	if len(values) != 1 {
		return 0
	}
	v, err := strconv.ParseFloat(values[0], 64)
	if err != nil || !(v >= 0 && v < 1e9) {
		return 0
	}
	return v
}

// single gives out a connection once; gRPC can then not move to another one.
func single(conn net.Conn) func(context.Context, string) (net.Conn, error) {
	var used atomic.Bool
	return func(context.Context, string) (net.Conn, error) {
		if used.Swap(true) {
			return nil, errors.New("the connection of this call is spent")
		}
		return conn, nil
	}
}
