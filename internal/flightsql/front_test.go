package flightsql

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	fsql "github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// answerCase is a statement with the status and the number of attempts that are expected for it.
type answerCase struct {
	name, statement string
	ctx             context.Context
	code            codes.Code
	text            string // part of the status message
	runs            int    // attempts
}

// Each outcome of a query or an update, and each invalid field, gives the documented status code.
func TestAnswersAndCodes(t *testing.T) {
	_, engines, c := newFront(t)
	const long = 20 * time.Second
	for _, tc := range []answerCase{
		{"served", "serve", callCtx(t, long, "rid", "0000000000000001", "method", "lookup"), codes.OK, "", 1},
		{
			"served within a budget", "serve", callCtx(t, 0, "rid", "0000000000000002", "method", "load", "budget", "9000"),
			codes.OK, "", 1,
		},
		{
			"rejected", "full", callCtx(t, long, "rid", "0000000000000003", "method", "load"), codes.ResourceExhausted,
			"backoff=2000", 1,
		},
		{"failed", "reset", callCtx(t, long, "rid", "0000000000000004", "method", "load"), codes.Internal, "may have run", 1},
		{
			"past the call's deadline", "hang", callCtx(t, 200*time.Millisecond, "rid", "0000000000000005", "method", "load"),
			codes.DeadlineExceeded, "", 1,
		},
		{
			"past the budget", "hang", callCtx(t, long, "rid", "0000000000000006", "method", "load", "budget", "200"),
			codes.DeadlineExceeded, "", 1,
		},
		{"no class", "serve", callCtx(t, long, "rid", "0000000000000007"), codes.InvalidArgument, "method", 0},
		{
			"unknown class", "serve", callCtx(t, long, "rid", "0000000000000007", "method", "x"),
			codes.InvalidArgument, "method", 0,
		},
		{"bad id", "serve", callCtx(t, long, "rid", "7", "method", "load"), codes.InvalidArgument, "rid", 0},
		{
			"repeated id", "serve", callCtx(t, long, "rid", "0000000000000007", "rid", "0000000000000008", "method", "load"),
			codes.InvalidArgument, "rid", 0,
		},
		{
			"no deadline", "serve", callCtx(t, 0, "rid", "0000000000000007", "method", "load"),
			codes.InvalidArgument, "budget", 0,
		},
		{
			"no statement", "", callCtx(t, long, "rid", "0000000000000007", "method", "load"),
			codes.InvalidArgument, "statement", 0,
		},
	} {
		tc.check(t, engines, c, true)
		tc.check(t, engines, c, false)
	}
}

// check runs the statement as an update or a query and compares its status, rows and attempts.
func (tc answerCase) check(t *testing.T, engines *scriptedEngines, c *fsql.Client, update bool) {
	t.Helper()
	fields, _ := metadata.FromOutgoingContext(tc.ctx)
	ids := fields.Get("rid")
	if !update { // the update may have run, so its id cannot be used again
		ids[0] = "a" + ids[0][1:]
	}
	fields.Set("rid", ids...)
	ctx, id := metadata.NewOutgoingContext(tc.ctx, fields), ids[0]
	var rows, want int64
	var err error
	if update {
		want = 3
		rows, err = c.ExecuteUpdate(ctx, tc.statement)
	} else {
		want = 2
		rows, err = fetch(ctx, c, tc.statement)
	}
	if err == nil && rows != want {
		t.Errorf("%s, update %v: %d rows, want %d", tc.name, update, rows, want)
	}
	if status.Code(err) != tc.code || err != nil && !strings.Contains(err.Error(), tc.text) {
		t.Errorf("%s, update %v: %v, want %v with %q", tc.name, update, err, tc.code, tc.text)
	}
	runs := engines.runsOf(id)
	// gRPC itself may reject a call whose deadline has passed, so that it has no attempt.
	if runs != tc.runs && tc.code != codes.DeadlineExceeded || runs > tc.runs {
		t.Errorf("%s, update %v: %d attempts, want %d", tc.name, update, runs, tc.runs)
	}
}

// fetch runs a query (GetFlightInfo and DoGet) and returns the number of its rows.
func fetch(ctx context.Context, c *fsql.Client, statement string) (int64, error) {
	info, err := c.Execute(ctx, statement)
	if err != nil {
		return 0, err
	}
	return redeem(ctx, c, info.Endpoint[0].Ticket)
}

// redeem redeems a ticket with DoGet and returns the number of rows.
func redeem(ctx context.Context, c *fsql.Client, ticket *flight.Ticket) (int64, error) {
	r, err := c.DoGet(ctx, ticket)
	if err != nil {
		return 0, err
	}
	defer r.Release()
	rows := int64(0)
	for r.Next() {
		rows += r.RecordBatch().NumRows()
	}
	return rows, r.Err()
}

// A rejection has the time to wait before a retry in its status details and its trailer. The trailer of a failure says
// whether a retry is safe.
func TestRetryAdvice(t *testing.T) {
	_, _, c := newFront(t)
	info, err := c.Execute(callCtx(t, 20*time.Second, "rid", "0000000000000001", "method", "lookup"), "full")
	if err != nil {
		t.Fatal(err)
	}
	stream, err := c.Client.DoGet(callCtx(t, 20*time.Second), info.Endpoint[0].Ticket)
	if err == nil {
		_, err = stream.Recv()
	}
	var delay time.Duration
	for _, d := range status.Convert(err).Details() {
		if info, ok := d.(*errdetails.RetryInfo); ok {
			delay = info.RetryDelay.AsDuration()
		}
	}
	trailer := stream.Trailer()
	if delay != time.Second || trailer.Get(metaBackoff)[0] != "1000" || trailer.Get(metaRetry)[0] != "safe" {
		t.Errorf("rejection %v: delay %v, trailer %v; want 1s, %s 1000 and %s safe",
			err, delay, trailer, metaBackoff, metaRetry)
	}
	info, err = c.Execute(callCtx(t, 20*time.Second, "rid", "0000000000000002", "method", "load"), "reset")
	if err != nil {
		t.Fatal(err)
	}
	if stream, err = c.Client.DoGet(callCtx(t, 20*time.Second), info.Endpoint[0].Ticket); err == nil {
		_, err = stream.Recv()
	}
	if got := stream.Trailer().Get(metaRetry); len(got) != 1 || !strings.HasPrefix(got[0], "unsafe") {
		t.Errorf("failure %v: trailer %v, want one %s that begins with unsafe", err, stream.Trailer(), metaRetry)
	}
}

// Guards against a load that runs twice: of several concurrent DoGets with one ticket, exactly one succeeds.
func TestTicketOfLoadIsRedeemedOnce(t *testing.T) {
	_, engines, c := newFront(t)
	const fetches = 8
	const id = "0000000000000001"
	info, err := c.Execute(callCtx(t, 20*time.Second, "rid", id, "method", "load"), "serve")
	if err != nil {
		t.Fatal(err)
	}
	results := make(chan error, fetches)
	for range fetches {
		go func() {
			_, err := redeem(callCtx(t, 20*time.Second), c, info.Endpoint[0].Ticket)
			results <- err
		}()
	}
	byCode := map[codes.Code]int{}
	for range fetches {
		byCode[status.Code(<-results)]++
	}
	if byCode[codes.OK] != 1 || byCode[codes.NotFound] != fetches-1 || engines.runsOf(id) != 1 {
		t.Errorf("DoGets by code: %v, want one OK and the others NotFound; %d attempts, want 1", byCode, engines.runsOf(id))
	}
}

// The ticket of an idempotent query can be redeemed repeatedly, and each DoGet runs the query.
func TestTicketOfLookupCanBeRedeemedAgain(t *testing.T) {
	_, engines, c := newFront(t)
	const id = "0000000000000002"
	info, err := c.Execute(callCtx(t, 20*time.Second, "rid", id, "method", "lookup"), "serve")
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		if _, err := redeem(callCtx(t, 20*time.Second), c, info.Endpoint[0].Ticket); err != nil {
			t.Error(err)
		}
	}
	if ran := engines.runsOf(id); ran != 2 {
		t.Errorf("%d attempts, want 2", ran)
	}
}

// Many drivers send each statement as a prepared statement. It is handled like a plain one: each execution is a request
// of its own, and the ticket of a load can be redeemed once. Parameters and an empty statement are malformed.
func TestPreparedStatements(t *testing.T) {
	_, engines, c := newFront(t)
	const long = 20 * time.Second
	p, err := c.Prepare(callCtx(t, long), "serve")
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"0000000000000001", "0000000000000002"} {
		info, err := p.Execute(callCtx(t, long, "rid", id, "method", "load"))
		if err != nil {
			t.Fatal(err)
		}
		rows, err := redeem(callCtx(t, long), c, info.Endpoint[0].Ticket)
		if err != nil || rows != 2 {
			t.Errorf("query: %d rows, error %v, want 2 rows", rows, err)
		}
		if _, err := redeem(callCtx(t, long), c, info.Endpoint[0].Ticket); status.Code(err) != codes.NotFound {
			t.Errorf("second redemption of a load's ticket: %v, want NotFound", err)
		}
		if engines.runsOf(id) != 1 {
			t.Errorf("%s: %d attempts, want 1", id, engines.runsOf(id))
		}
	}
	if n, err := p.ExecuteUpdate(callCtx(t, long, "rid", "0000000000000003", "method", "load")); n != 3 || err != nil {
		t.Errorf("update: %d rows changed, error %v, want 3 rows", n, err)
	}
	if _, err := p.Execute(callCtx(t, long, "method", "load")); status.Code(err) != codes.InvalidArgument {
		t.Errorf("without an id: %v, want InvalidArgument", err)
	}
	schema := arrow.NewSchema([]arrow.Field{{Name: "p", Type: arrow.PrimitiveTypes.Int64}}, nil)
	values := array.NewInt64Builder(memory.DefaultAllocator)
	values.Append(1)
	p.SetParameters(array.NewRecordBatch(schema, []arrow.Array{values.NewArray()}, 1))
	_, err = p.ExecuteUpdate(callCtx(t, long, "rid", "0000000000000004", "method", "load"))
	if status.Code(err) != codes.InvalidArgument || engines.runsOf("0000000000000004") != 0 {
		t.Errorf("update with parameters: %v, want InvalidArgument; %d attempts, want none",
			err, engines.runsOf("0000000000000004"))
	}
	_, err = p.Execute(callCtx(t, long, "rid", "0000000000000005", "method", "load"))
	if status.Code(err) != codes.InvalidArgument {
		t.Errorf("query with parameters: %v, want InvalidArgument", err)
	}
	if err := p.Close(callCtx(t, long)); err != nil {
		t.Error("close:", err)
	}
	if _, err := c.Prepare(callCtx(t, long), ""); status.Code(err) != codes.InvalidArgument {
		t.Errorf("empty statement: %v, want InvalidArgument", err)
	}
}

// Guards against a malformed call that ends the process: calls without a required part or with invalid bytes are
// answered with InvalidArgument, and the front continues to serve.
func TestMalformedCalls(t *testing.T) {
	_, engines, c := newFront(t)
	ctx := func() context.Context {
		return callCtx(t, 20*time.Second, "rid", "0000000000000001", "method", "load")
	}
	garbage := []byte{0xff, 0x01, 0x02}
	for _, tc := range []struct {
		name string
		call func() error
	}{
		{"GetFlightInfo without a descriptor", func() error { _, err := c.Client.GetFlightInfo(ctx(), nil); return err }},
		{"GetFlightInfo with garbage", func() error {
			_, err := c.Client.GetFlightInfo(ctx(), &flight.FlightDescriptor{Type: flight.DescriptorCMD, Cmd: garbage})
			return err
		}},
		{"statement too long", func() error {
			_, err := c.ExecuteUpdate(ctx(), strings.Repeat("x", maxStatement+1))
			return err
		}},
		{"GetSchema without a descriptor", func() error { _, err := c.Client.GetSchema(ctx(), nil); return err }},
		{"DoGet without a ticket", func() error { _, err := redeem(ctx(), c, &flight.Ticket{}); return err }},
		{"DoGet with garbage", func() error { _, err := redeem(ctx(), c, &flight.Ticket{Ticket: garbage}); return err }},
		{"update without a descriptor", func() error { return doPut(ctx(), c, &flight.FlightData{}) }},
		{"update with garbage", func() error {
			return doPut(ctx(), c, &flight.FlightData{
				DataHeader: garbage, DataBody: garbage,
				FlightDescriptor: &flight.FlightDescriptor{Type: flight.DescriptorCMD, Cmd: garbage},
			})
		}},
		{"update with a long garbage header", func() error {
			return doPut(ctx(), c, &flight.FlightData{DataHeader: bytes.Repeat(garbage, 50)})
		}},
		{"action with garbage", func() error {
			s, err := c.Client.DoAction(ctx(), &flight.Action{Type: fsql.CreatePreparedStatementActionType, Body: garbage})
			if err == nil {
				_, err = s.Recv()
			}
			return err
		}},
		{"action without a type", func() error {
			s, err := c.Client.DoAction(ctx(), &flight.Action{})
			if err == nil {
				_, err = s.Recv()
			}
			return err
		}},
	} {
		if err := tc.call(); status.Code(err) != codes.InvalidArgument {
			t.Errorf("%s: %v, want InvalidArgument", tc.name, err)
		}
	}
	if engines.runsOf("0000000000000001") != 0 {
		t.Error("a malformed call reached an engine")
	}
	if n, err := c.ExecuteUpdate(ctx(), "serve"); n != 3 || err != nil {
		t.Errorf("valid update afterwards: %d rows changed, error %v, want 3 rows", n, err)
	}
}

// doPut sends one DoPut message and returns the error that ends the call.
func doPut(ctx context.Context, c *fsql.Client, d *flight.FlightData) error {
	s, err := c.Client.DoPut(ctx)
	if err != nil {
		return err
	}
	if err := s.Send(d); err != nil {
		return err
	}
	if err := s.CloseSend(); err != nil {
		return err
	}
	_, err = s.Recv()
	return err
}

// The front answers GetSqlInfo, which clients call to find out what the server supports.
func TestSqlInfo(t *testing.T) {
	_, _, c := newFront(t)
	info, err := c.GetSqlInfo(callCtx(t, 20*time.Second), []fsql.SqlInfo{fsql.SqlInfoFlightSqlServerName})
	if err != nil {
		t.Fatal(err)
	}
	if rows, err := redeem(callCtx(t, 20*time.Second), c, info.Endpoint[0].Ticket); rows != 1 || err != nil {
		t.Errorf("%d rows, error %v, want 1 row", rows, err)
	}
}

// A request with the id of an open request is answered with AlreadyExists. After the client has cancelled the first
// request, the id can be used again, except that of a load, which may still run.
func TestIDInUse(t *testing.T) {
	for class, after := range map[string]codes.Code{"lookup": codes.OK, "load": codes.AlreadyExists} {
		t.Run(class, func(t *testing.T) { checkIDInUse(t, class, after) })
	}
}

// checkIDInUse reuses the id of a request while it is open and after its client has cancelled it.
func checkIDInUse(t *testing.T, class string, after codes.Code) {
	t.Helper()
	f, engines, c := newFront(t)
	ctx, cancel := context.WithCancel(callCtx(t, 20*time.Second, "rid", "0000000000000001", "method", class))
	first := make(chan error, 1)
	go func() {
		_, err := c.ExecuteUpdate(ctx, "hang")
		first <- err
	}()
	for engines.runsOf("0000000000000001") == 0 {
		time.Sleep(time.Millisecond)
	}
	again := callCtx(t, 20*time.Second, "rid", "0000000000000001", "method", class)
	if _, err := c.ExecuteUpdate(again, "serve"); status.Code(err) != codes.AlreadyExists {
		t.Errorf("while the request is open: %v, want AlreadyExists", err)
	}
	cancel()
	if err := <-first; status.Code(err) != codes.Canceled {
		t.Errorf("the cancelled call: %v, want Canceled", err)
	}
	for f.ActiveCalls() > 0 {
		time.Sleep(time.Millisecond)
	}
	if _, err := c.ExecuteUpdate(again, "serve"); status.Code(err) != after {
		t.Errorf("after the request was cancelled: %v, want %v", err, after)
	}
}
