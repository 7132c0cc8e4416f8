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

// describeMetadata returns the sorted names and values of metadata, without those that gRPC adds.
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

// describeEnd describes the end of a call: its status with all details, and its trailer.
func describeEnd(err error, trailer metadata.MD) string {
	s := status.Convert(err)
	text := fmt.Sprintf("%v %q trailer %s\n", s.Code(), s.Message(), describeMetadata(trailer))
	for _, detail := range s.Proto().GetDetails() {
		text += fmt.Sprintf("detail %s %x\n", detail.GetTypeUrl(), detail.GetValue())
	}
	return text
}

// allFields returns all fields that a request may have, as names and values in turn.
func allFields(id, class string) []string {
	return []string{
		"rid", id, "method", class, "budget", "9000", "acct", "rckik-south", "again", "1", "est", "12.5", "mem", "34.5",
	}
}

// requestTicket requests a ticket and describes the response. The ticket is nil if the call failed.
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

// describeRedeem redeems a ticket and describes each message of the stream and its end.
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

// Compares the tickets, schemas, rows, codes, details and trailers that clients receive with the recorded ones.
func TestGoldenExchanges(t *testing.T) {
	f, _, c := newFront(t)
	text := describeAnswers(t, c) + describeFailures(t, c)
	golden.Equal(t, "exchanges.txt", []byte(strings.ReplaceAll(text, f.Addr(), "ROUTER")))
}

// describeAnswers describes a query and an update for several classes and outcomes of an engine.
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

// The two answers to an idempotent query whose engine does not answer before the deadline. Normally the query is
// rejected. If the loop stalled across the deadline, it notices the deadline before the attempt's time limit, and the
// query fails.
const (
	rejectedAtDeadline = "ResourceExhausted \"refused, nothing was done; try again later: backoff=1000\" " +
		"trailer backoff-ms=[\"1000\"] retry=[\"safe\"]\ndetail type.googleapis.com/google.rpc.RetryInfo 0a020801\n"
	failedAtDeadline = "DeadlineExceeded \"the time for the query ran out\" trailer retry=[\"safe\"]\n"
)

// ignoreLoopStall returns the answer that a client gets if the loop does not stall, because whether it stalls depends
// on the load of the machine.
func ignoreLoopStall(answer string) string {
	if answer == failedAtDeadline {
		return rejectedAtDeadline
	}
	return answer
}

// describeFailures describes calls that are malformed, pass their deadline or name an unknown ticket.
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
	unknown := &flight.Ticket{Ticket: ticket}
	fmt.Fprintf(&text, "unknown ticket\n%s\n", describeRedeem(callCtx(t, goldenTimeout), c, unknown))
	described, _ := requestTicket(t, c, "serve", "rid", "0000000000000001")
	fmt.Fprintf(&text, "no class\n%s\n", described)
	described, _ = requestTicket(t, c, "serve", "rid", "1", "method", "load")
	fmt.Fprintf(&text, "bad id\n%s\n", described)
	repeatedID := append(allFields("0000000000000001", "load"), "rid", "0000000000000002")
	described, _ = requestTicket(t, c, "serve", repeatedID...)
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

// runUpdate runs an update and returns the number of changed rows and the trailer.
func runUpdate(ctx context.Context, c *fsql.Client, statement string) (n int64, trailer metadata.MD, err error) {
	n, err = c.ExecuteUpdate(ctx, statement, grpc.Trailer(&trailer))
	return n, trailer, err
}

// Compares the handle and schemas of a prepared statement, and the error for an empty one, with the recorded ones.
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

// Compares the result of GetSqlInfo with the recorded one, except for the version of Arrow.
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

// Compares the JSON of tickets that one process releases to another with the recorded one, and checks that a process
// can import it.
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
		t.Errorf("tickets after an import: %+v, want %+v", back, want)
	}
}
