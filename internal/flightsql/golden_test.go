package flightsql

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/flight"
	fsql "github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"windflow/internal/golden"
	"windflow/internal/router"
)

const goldenTimeout = 20 * time.Second

// describeMetadata returns the names and values of metadata in order, without those that gRPC adds itself.
func describeMetadata(md metadata.MD) string {
	var list []string
	for name, values := range md {
		if name != "content-type" && name != "user-agent" && name != ":authority" && !strings.HasPrefix(name, "grpc-") {
			list = append(list, fmt.Sprintf("%s=%q", name, values))
		}
	}
	slices.Sort(list)
	return strings.Join(list, " ")
}

// describeEnd returns the end of a call: its status with all details, and its trailer.
func describeEnd(err error, trailer metadata.MD) string {
	s := status.Convert(err)
	text := fmt.Sprintf("%v %q trailer %s\n", s.Code(), s.Message(), describeMetadata(trailer))
	for _, detail := range s.Proto().GetDetails() {
		text += fmt.Sprintf("detail %s %x\n", detail.GetTypeUrl(), detail.GetValue())
	}
	return text
}

// fields returns all fields that a request may have.
func allFields(id, class string) []string {
	return []string{
		"rid", id, "method", class, "budget", "9000", "acct", "rckik-south", "again", "1", "est", "12.5", "mem", "34.5",
	}
}

// execute requests a ticket and describes it; the ticket is nil where there was none.
func requestTicket(t *testing.T, c *fsql.Client, statement string, md ...string) (text string, ticket *flight.Ticket) {
	t.Helper()
	var trailer metadata.MD
	info, err := c.Execute(callCtx(t, goldenTimeout, md...), statement, grpc.Trailer(&trailer))
	if err != nil {
		return describeEnd(err, trailer), nil
	}
	text = fmt.Sprintf("descriptor %x records %d bytes %d schema %x\n", info.GetFlightDescriptor().GetCmd(),
		info.GetTotalRecords(), info.GetTotalBytes(), info.GetSchema())
	for _, endpoint := range info.GetEndpoint() {
		text += fmt.Sprintf("ticket %x at %v\n", endpoint.GetTicket().GetTicket(), endpoint.GetLocation()[0].GetUri())
		ticket = endpoint.GetTicket()
	}
	return text, ticket
}

// get redeems a ticket and describes each message of the stream.
func describeRedeem(ctx context.Context, c *fsql.Client, ticket *flight.Ticket) string {
	stream, err := c.Client.DoGet(ctx, ticket)
	var text strings.Builder
	for err == nil {
		var data *flight.FlightData
		if data, err = stream.Recv(); err == nil {
			fmt.Fprintf(&text, "message %x body %x\n", data.GetDataHeader(), data.GetDataBody())
		}
	}
	if errors.Is(err, io.EOF) {
		err = nil
	}
	return text.String() + describeEnd(err, stream.Trailer())
}

// Clients see the same tickets, schemas, rows, codes, details and trailers as before.
func TestGoldenExchanges(t *testing.T) {
	f, _, c := newFront(t)
	text := describeAnswers(t, c) + describeFailures(t, c)
	golden.Equal(t, "exchanges.txt", []byte(strings.ReplaceAll(text, f.Addr(), "ROUTER")))
}

// describeAnswers describes a query and an update of each class with each outcome of an engine.
func describeAnswers(t *testing.T, c *fsql.Client) string {
	t.Helper()
	var text strings.Builder
	for i, tc := range []struct{ class, statement string }{
		{"lookup", "serve"},
		{"load", "serve"},
		{"lookup", "full"},
		{"load", "full"},
		{"lookup", "reset"},
		{"load", "reset"},
		{"unknown", "serve"},
		{"lookup", ""},
	} {
		md := allFields(fmt.Sprintf("%016x", i+1), tc.class)
		described, ticket := requestTicket(t, c, tc.statement, md...)
		fmt.Fprintf(&text, "query %q of %s\n%s", tc.statement, tc.class, described)
		if ticket != nil {
			text.WriteString(describeRedeem(callCtx(t, goldenTimeout), c, ticket))
		}
		ctx := callCtx(t, goldenTimeout, allFields(fmt.Sprintf("%016x", 100+i), tc.class)...)
		n, trailer, err := runUpdate(ctx, c, tc.statement)
		fmt.Fprintf(&text, "update: %d rows changed, %s\n", n, describeEnd(err, trailer))
	}
	return text.String()
}

// The two answers to an idempotent query whose engine does not answer before its deadline. It is rejected, but failed
// where the loop stalled across the deadline, so that the deadline was noticed before the attempt's time limit.
const (
	rejectedAtDeadline = "ResourceExhausted \"refused, nothing was done; try again later: backoff=1000\" " +
		"trailer backoff-ms=[\"1000\"] retry=[\"safe\"]\ndetail type.googleapis.com/google.rpc.RetryInfo 0a020801\n"
	failedAtDeadline = "DeadlineExceeded \"the time for the query ran out\" trailer retry=[\"safe\"]\n"
)

// ignoreLoopStall returns the answer that a client gets when the loop did not stall: which one it is depends on the
// machine.
func ignoreLoopStall(answer string) string {
	if answer == failedAtDeadline {
		return rejectedAtDeadline
	}
	return answer
}

// describeFailures describes calls that are malformed, arrive too late or name what does not exist.
func describeFailures(t *testing.T, c *fsql.Client) string {
	t.Helper()
	var text strings.Builder
	for i, class := range []string{"lookup", "load"} {
		md := allFields(fmt.Sprintf("%016x", 200+i), class)
		md[slices.Index(md, "budget")+1] = "200"
		_, ticket := requestTicket(t, c, "hang", md...)
		answer := ignoreLoopStall(describeRedeem(callCtx(t, goldenTimeout), c, ticket))
		fmt.Fprintf(&text, "too late, %s\n%s\n", class, answer)
	}
	_, trailer, err := runUpdate(callCtx(t, goldenTimeout, allFields("0000000000000069", "load")...), c, "serve")
	fmt.Fprintf(&text, "id of a load that may have run\n%s\n", describeEnd(err, trailer))
	ticket, err := fsql.CreateStatementQueryTicket([]byte("unknown"))
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(&text, "unknown ticket\n%s\n", describeRedeem(callCtx(t, goldenTimeout), c, &flight.Ticket{Ticket: ticket}))
	described, _ := requestTicket(t, c, "serve", "rid", "0000000000000001")
	fmt.Fprintf(&text, "no class\n%s\n", described)
	described, _ = requestTicket(t, c, "serve", "rid", "1", "method", "load")
	fmt.Fprintf(&text, "bad id\n%s\n", described)
	described, _ = requestTicket(t, c, "serve", append(allFields("0000000000000001", "load"), "rid", "0000000000000002")...)
	fmt.Fprintf(&text, "id twice\n%s\n", described)
	stream, err := c.Client.DoPut(callCtx(t, goldenTimeout))
	if err == nil {
		err = errors.Join(stream.Send(&flight.FlightData{}), stream.CloseSend())
	}
	if err != nil {
		t.Fatal(err)
	}
	_, err = stream.Recv()
	fmt.Fprintf(&text, "update without a descriptor\n%s", describeEnd(err, stream.Trailer()))
	return text.String()
}

// runUpdate runs an update.
func runUpdate(ctx context.Context, c *fsql.Client, statement string) (n int64, trailer metadata.MD, err error) {
	n, err = c.ExecuteUpdate(ctx, statement, grpc.Trailer(&trailer))
	return n, trailer, err
}

// A statement that is prepared has the same handle and schemas as before.
func TestGoldenPrepared(t *testing.T) {
	_, _, c := newFront(t)
	statement, err := c.Prepare(callCtx(t, goldenTimeout), "serve")
	if err != nil {
		t.Fatal(err)
	}
	_, err = c.Prepare(callCtx(t, goldenTimeout), "")
	text := fmt.Appendf(nil, "handle %q, dataset %v, parameters %v\nempty: %s", statement.Handle(),
		statement.DatasetSchema(), statement.ParameterSchema(), describeEnd(err, nil))
	golden.Equal(t, "prepared.txt", text)
}

// What clients learn of the server is the same as before, but for the version of Arrow.
func TestGoldenSqlInfo(t *testing.T) {
	_, _, c := newFront(t)
	info, err := c.GetSqlInfo(callCtx(t, goldenTimeout), nil)
	if err != nil {
		t.Fatal(err)
	}
	reader, err := c.DoGet(callCtx(t, goldenTimeout), info.Endpoint[0].Ticket)
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Release()
	var rows []string
	for reader.Next() {
		batch := reader.RecordBatch()
		for row := range int(batch.NumRows()) {
			rows = append(rows, batch.Column(0).ValueStr(row)+": "+batch.Column(1).ValueStr(row))
		}
	}
	if err := reader.Err(); err != nil {
		t.Fatal(err)
	}
	slices.Sort(rows)
	text := fmt.Sprintf("%v\n%s\n", reader.Schema(), strings.Join(rows, "\n"))
	golden.Equal(t, "sql-info.txt", []byte(strings.ReplaceAll(text, arrow.PkgVersion, "ARROW")))
}

// Tickets that one process releases to another have the same names and values as before, and can be redeemed there.
func TestGoldenTickets(t *testing.T) {
	want := []Ticket{{
		Handle: "00112233445566778899aabbccddeeff", DeadlineMS: 1_796_000_009_000.5, ExpiresAtMS: 1e15, SingleUse: true,
		Request: router.Request{
			ID: "0000000000000001", Class: "load", Tenant: "rckik-south", Statement: "serve", TableGroup: 7,
			SentAtMS: 1_796_000_000_000.25, BudgetMS: 9000.5, EstimateMS: 12.5, NeedMB: 34.5, Retry: true, Update: true,
		},
	}}
	golden.AllFieldsSet(t, want)
	text, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, "tickets.json", append(text, '\n'))
	var got []Ticket
	if err := json.Unmarshal(golden.Read(t, "tickets.json"), &got); err != nil {
		t.Fatal(err)
	}
	f, _, _ := newFront(t)
	f.ImportTickets(got)
	if back := f.ReleaseAllTickets(); len(back) != 1 || back[0] != want[0] {
		t.Errorf("%+v, want %+v", back, want)
	}
}
