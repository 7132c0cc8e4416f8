package flightsql

import (
	"container/list"
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"golang.org/x/net/netutil"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"windflow/dispatch"
	"windflow/internal/netio"
	"windflow/internal/router"
)

const (
	// ticketLife is how long a ticket may be redeemed, in milliseconds.
	ticketLife = 60_000.0
	// maxTickets and maxTicketBytes bound what clients that never redeem may pile up.
	maxTickets     = 4096
	maxTicketBytes = 8 << 20
	// maxStatement bounds a statement, as on the MySQL front; a call holds little else, so maxCall leaves room to
	// tell a client what is wrong.
	maxStatement = 64 << 10
	maxCall      = 2 * maxStatement
	// maxStreams bounds the calls of one connection. Were all calls of all connections to stop short of their
	// end, they would hold max_connections * maxStreams * maxCall: 128 MB of the 192 with the default of 32.
	maxStreams = 32
	// window is how much a client may send ahead; given here, gRPC does not raise it by itself.
	window = 64 << 10
)

// Front takes requests over Flight SQL. Its methods run in gRPC's goroutines; what touches the core is posted
// to the loop.
type Front struct {
	flightsql.BaseServer
	core   *router.Core
	loop   *router.Loop
	log    *slog.Logger
	server *grpc.Server
	addr   string
	most   int // connections at once
	active atomic.Int64
	claim  atomic.Pointer[func(handle string) *Ticket]

	opened    bool // it has accepted at some time
	listening sync.Mutex
	lis       net.Listener // nil while it does not accept

	mu      sync.Mutex
	rng     *rand.ChaCha8
	tickets map[string]*ticket
	bytes   int
	order   *list.List // of the tickets, by age

	Counters Counters
}

// about is what GetSqlInfo tells clients of this server.
var about = map[flightsql.SqlInfo]any{
	flightsql.SqlInfoFlightSqlServerName:         "windflow",
	flightsql.SqlInfoFlightSqlServerArrowVersion: arrow.PkgVersion,
	flightsql.SqlInfoFlightSqlServerReadOnly:     false,
	flightsql.SqlInfoFlightSqlServerSql:          true,
	flightsql.SqlInfoFlightSqlServerSubstrait:    false,
	flightsql.SqlInfoFlightSqlServerTransaction:  int32(flightsql.SqlTransactionNone),
	flightsql.SqlInfoFlightSqlServerCancel:       false,
}

// Counters count what the front took in.
type Counters struct {
	Infos      atomic.Int64 `status:"infos"`
	Gets       atomic.Int64 `status:"gets"`
	Puts       atomic.Int64 `status:"puts"`
	Malformed  atomic.Int64 `status:"malformed"`
	BadTickets atomic.Int64 `status:"bad_tickets"`
	Served     atomic.Int64 `status:"served"`
	Rejected   atomic.Int64 `status:"refused"`
	Failed     atomic.Int64 `status:"failed"`
	TimedOut   atomic.Int64 `status:"late"`
	Cancelled  atomic.Int64 `status:"left"`
}

// ticket is a query that a client described and may now fetch.
type ticket struct {
	Ticket
	place *list.Element // in order
}

// Ticket is a ticket as processes hand it to each other.
type Ticket struct {
	Handle      string         `json:"Handle"`
	Request     router.Request `json:"Request"`
	DeadlineMS  float64        `json:"End"` // the latest end that the client's fields name; 0 for none
	ExpiresAtMS float64        `json:"Expires"`
	SingleUse   bool           `json:"Once"`
}

// NewFront returns a front that accepts nothing yet; seed makes its tickets hard to guess, and two processes of one router
// that share one differ in generation.
func NewFront(cfg Config, core *router.Core, loop *router.Loop, seed uint64, generation uint8, log *slog.Logger) (*Front, error) {
	var key [32]byte
	for i := range key {
		key[i] = byte(seed >> (8 * (i % 8)))
	}
	key[len(key)-1] ^= generation
	f := &Front{
		core: core, loop: loop, log: log, addr: cfg.Listen, most: cfg.MaxConnections, tickets: map[string]*ticket{},
		order: list.New(), rng: rand.NewChaCha8(key),
	}
	f.Alloc = memory.DefaultAllocator
	for id, value := range about {
		if err := f.RegisterSqlInfo(id, value); err != nil {
			return nil, err
		}
	}
	f.server = grpc.NewServer(grpc.MaxRecvMsgSize(maxCall), grpc.MaxConcurrentStreams(maxStreams),
		grpc.InitialWindowSize(window), grpc.InitialConnWindowSize(window),
		grpc.ConnectionTimeout(5*time.Second), grpc.MaxHeaderListSize(16<<10),
		grpc.UnaryInterceptor(f.guardUnary), grpc.StreamInterceptor(f.guardStream))
	flight.RegisterFlightServiceServer(f.server, flightsql.NewFlightServer(f))
	return f, nil
}

// Serve takes calls on a listener, which it takes over.
func (f *Front) Serve(lis net.Listener) {
	f.listening.Lock()
	if !f.opened { // later on calls read it
		f.addr, f.opened = lis.Addr().String(), true
	}
	f.lis = lis
	f.listening.Unlock()
	go func() {
		err := f.server.Serve(netutil.LimitListener(lis, f.most))
		f.listening.Lock()
		defer f.listening.Unlock()
		if f.lis == lis && err != nil {
			f.log.Error("flight sql front ended", "err", err)
		}
	}()
}

// StopAccepting stops accepting and gives a copy of the listener's descriptor to go on with; connections that are open stay.
func (f *Front) StopAccepting() (*os.File, error) {
	f.listening.Lock()
	defer f.listening.Unlock()
	file, err := f.file()
	if f.lis != nil {
		lis := f.lis
		f.lis = nil
		_ = lis.Close()
	}
	return file, err
}

// ListenerFile gives a copy of the listener's descriptor.
func (f *Front) ListenerFile() (*os.File, error) {
	f.listening.Lock()
	defer f.listening.Unlock()
	return f.file()
}

func (f *Front) file() (*os.File, error) { return netio.ListenerFile(f.lis) }

// Drain tells clients to go on at the other process, and lets calls that are at hand end.
func (f *Front) Drain() { go f.server.GracefulStop() }

// Addr is where it listens.
func (f *Front) Addr() string { return f.addr }

// ActiveCalls is the number of calls at hand.
func (f *Front) ActiveCalls() int { return int(f.active.Load()) }

// Stop closes the listener and all connections.
func (f *Front) Stop() { f.server.Stop() }

// guard ends a call that panicked as malformed. It stands against what arrow's server does not check before it
// looks: a DoPut without a descriptor, for one, would end the process.
func (f *Front) guard(method string, err *error) {
	if p := recover(); p != nil {
		f.log.Warn("malformed flight call", "method", method, "panic", p)
		*err = f.malformed("the call lacks what it must hold, or can't be read")
	}
}

func (f *Front) guardUnary(ctx context.Context, req any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (
	reply any, err error,
) {
	defer f.guard(info.FullMethod, &err)
	return next(ctx, req)
}

func (f *Front) guardStream(srv any, s grpc.ServerStream, info *grpc.StreamServerInfo, next grpc.StreamHandler) (err error) {
	defer f.guard(info.FullMethod, &err)
	return next(srv, s)
}

// newRequest reads the fields out of the call's metadata. The call's deadline and the budget both bind.
func (f *Front) newRequest(ctx context.Context, statement string) (*router.Request, error) {
	now := f.loop.Now()
	md, _ := metadata.FromIncomingContext(ctx)
	var twice error
	get := func(name string) string {
		values := md.Get(name)
		if len(values) > 1 {
			twice = fmt.Errorf("field %s stands twice", name)
		}
		if len(values) == 0 {
			return ""
		}
		return values[0]
	}
	field := func(name string) string {
		if v := get(name); v != "" || name != router.FieldBudget {
			return v
		}
		if left, ok := untilDeadline(ctx); ok {
			return strconv.FormatFloat(left, 'f', 3, 64)
		}
		return ""
	}
	r, err := router.NewRequest(field, statement, now)
	if err == nil {
		err = twice
	}
	if err == nil && len(statement) > maxStatement {
		err = fmt.Errorf("the statement has %d bytes; at most %d are taken", len(statement), maxStatement)
	}
	if err == nil {
		err = f.core.CheckNames(r)
	}
	if err != nil {
		f.Counters.Malformed.Add(1)
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	return r, nil
}

// untilDeadline is the time to the call's deadline in milliseconds, at least a little: a call that comes at
// its deadline is late, not malformed.
func untilDeadline(ctx context.Context) (float64, bool) {
	at, ok := ctx.Deadline()
	return max(float64(time.Until(at))/float64(time.Millisecond), 0.001), ok
}

// GetFlightInfoStatement checks a query and gives a ticket for it. Nothing runs yet.
func (f *Front) GetFlightInfoStatement(ctx context.Context, cmd flightsql.StatementQuery,
	desc *flight.FlightDescriptor,
) (*flight.FlightInfo, error) {
	return f.info(ctx, cmd.GetQuery(), desc)
}

func (f *Front) info(ctx context.Context, statement string, desc *flight.FlightDescriptor) (*flight.FlightInfo, error) {
	f.Counters.Infos.Add(1)
	r, err := f.newRequest(ctx, statement)
	if err != nil {
		return nil, err
	}
	class, _ := f.core.Class(r.Class)
	t := &ticket{Ticket: Ticket{Request: *r, ExpiresAtMS: f.loop.Now() + ticketLife, SingleUse: class.Semantics != dispatch.Idempotent}}
	if md, _ := metadata.FromIncomingContext(ctx); len(md.Get(router.FieldBudget)) > 0 {
		t.DeadlineMS = r.SentAtMS + r.BudgetMS // a deadline of the call itself binds that call only
	}
	if !f.keep(t) {
		return nil, f.refusal(ctx, 1000)
	}
	bytes, err := flightsql.CreateStatementQueryTicket([]byte(t.Handle))
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return &flight.FlightInfo{
		FlightDescriptor: desc, TotalRecords: -1, TotalBytes: -1,
		Endpoint: []*flight.FlightEndpoint{{
			Ticket: &flight.Ticket{Ticket: bytes},
			// Tickets live in this router, so the client is sent back to it.
			Location: []*flight.Location{{Uri: "grpc+tcp://" + f.addr}},
		}},
	}, nil
}

// keep stores a ticket under a new handle; false says that there is no room.
func (f *Front) keep(t *ticket) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	var raw [16]byte
	_, _ = f.rng.Read(raw[:])
	t.Handle = hex.EncodeToString(raw[:])
	return f.put(t)
}

// put stores a ticket; f.mu is held.
func (f *Front) put(t *ticket) bool {
	now := f.loop.Now()
	for e := f.order.Front(); e != nil && e.Value.(*ticket).ExpiresAtMS <= now; e = f.order.Front() {
		f.drop(e.Value.(*ticket))
	}
	if len(f.tickets) >= maxTickets || f.bytes+len(t.Request.Statement) > maxTicketBytes || f.tickets[t.Handle] != nil {
		return false
	}
	f.tickets[t.Handle] = t
	f.bytes += len(t.Request.Statement)
	t.place = f.order.PushBack(t)
	return true
}

// SetTicketClaimer says how to ask the other process of this router for a ticket that is not here; claim waits for the answer.
// Each ticket is with one process at a time, so that none is spent twice.
func (f *Front) SetTicketClaimer(claim func(handle string) *Ticket) { f.claim.Store(&claim) }

// ReleaseTicket gives a ticket up to the other process; nil says that it is not here.
func (f *Front) ReleaseTicket(handle string) *Ticket {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.tickets[handle]
	if t == nil || t.ExpiresAtMS <= f.loop.Now() {
		return nil
	}
	f.drop(t)
	return &t.Ticket
}

// ReleaseAllTickets gives all tickets up.
func (f *Front) ReleaseAllTickets() (all []Ticket) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.order.Len() > 0 {
		t := f.order.Front().Value.(*ticket)
		f.drop(t)
		all = append(all, t.Ticket)
	}
	return all
}

// ImportTickets takes tickets over that the other process gave up.
func (f *Front) ImportTickets(all []Ticket) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range all {
		f.put(&ticket{Ticket: t})
	}
}

// drop takes a ticket out and leaves nothing of it behind, so that the bounds hold for what is kept in all;
// f.mu is held.
func (f *Front) drop(t *ticket) {
	delete(f.tickets, t.Handle)
	f.bytes -= len(t.Request.Statement)
	f.order.Remove(t.place)
}

// redeem gives the query of a ticket. The ticket of what must not run twice is spent by it, so that a client
// that fetches again, or two that share a ticket, cannot run it again.
func (f *Front) redeem(handle string) (*Ticket, bool) {
	t, ok := f.redeemHere(handle)
	claim := f.claim.Load()
	if ok || claim == nil {
		return t, ok
	}
	if t = (*claim)(handle); t != nil {
		f.ImportTickets([]Ticket{*t})
	}
	return f.redeemHere(handle) // where the other process has just ended, it came with all of its tickets
}

func (f *Front) redeemHere(handle string) (*Ticket, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t := f.tickets[handle]
	if t == nil || t.ExpiresAtMS <= f.loop.Now() {
		return nil, false
	}
	if t.SingleUse {
		f.drop(t)
	}
	return &t.Ticket, true
}

// DoGetStatement runs the query of a ticket and streams its rows.
func (f *Front) DoGetStatement(ctx context.Context, cmd flightsql.StatementQueryTicket) (*arrow.Schema,
	<-chan flight.StreamChunk, error,
) {
	f.Counters.Gets.Add(1)
	t, ok := f.redeem(string(cmd.GetStatementHandle()))
	if !ok {
		f.Counters.BadTickets.Add(1)
		return nil, nil, status.Error(codes.NotFound, "the ticket is unknown, expired or spent")
	}
	r := t.Request
	now := f.loop.Now()
	left, bound := untilDeadline(ctx)
	switch {
	case t.DeadlineMS > 0 && (!bound || t.DeadlineMS < now+left):
		r.BudgetMS = max(t.DeadlineMS-now, 0)
	case bound:
		r.BudgetMS = left
	default:
		r.BudgetMS = max(r.SentAtMS+r.BudgetMS-now, 0)
	}
	r.SentAtMS = now
	result, err := f.run(ctx, &r)
	if err != nil {
		return nil, nil, err
	}
	record := toRecord(result)
	chunks := make(chan flight.StreamChunk, 1)
	chunks <- flight.StreamChunk{Data: record}
	close(chunks)
	return record.Schema(), chunks, nil
}

// DoPutCommandStatementUpdate runs an update and tells how many rows it changed, -1 if that is unknown.
func (f *Front) DoPutCommandStatementUpdate(ctx context.Context, cmd flightsql.StatementUpdate) (int64, error) {
	return f.update(ctx, cmd.GetQuery())
}

func (f *Front) update(ctx context.Context, statement string) (int64, error) {
	f.Counters.Puts.Add(1)
	r, err := f.newRequest(ctx, statement)
	if err != nil {
		return 0, err
	}
	if left, ok := untilDeadline(ctx); ok {
		r.BudgetMS = min(r.BudgetMS, left)
	}
	r.Update = true
	result, err := f.run(ctx, r)
	if err != nil {
		return 0, err
	}
	if result.ChangedRows > 0 {
		return result.ChangedRows, nil
	}
	return -1, nil
}

// answer is the core's final word on a request.
type answer struct {
	result  *router.Result
	refused bool
	backoff float64
	why     router.Reason
	invalid error
}

type asker chan answer

func (a asker) Served(r *router.Result)    { a <- answer{result: r} }
func (a asker) Rejected(backoffMS float64) { a <- answer{refused: true, backoff: backoffMS} }
func (a asker) Failed(why router.Reason)   { a <- answer{why: why} }

// run hands a request to the core and waits for its one answer, or for the client to leave.
func (f *Front) run(ctx context.Context, r *router.Request) (*router.Result, error) {
	f.active.Add(1)
	defer f.active.Add(-1)
	ch := make(asker, 1)
	var handle router.Handle // touched in the loop only
	f.loop.Post(func() {
		h, err := f.core.Submit(r, ch)
		if handle = h; err != nil {
			ch <- answer{invalid: err}
		}
	})
	select {
	case a := <-ch:
		return f.word(ctx, r, a)
	case <-ctx.Done():
		f.loop.Post(func() { f.core.Abandon(handle) })
		f.Counters.Cancelled.Add(1)
		return nil, status.FromContextError(ctx.Err()).Err()
	}
}

// word maps the core's answer to gRPC's codes.
func (f *Front) word(ctx context.Context, r *router.Request, a answer) (*router.Result, error) {
	switch {
	case a.result != nil:
		f.Counters.Served.Add(1)
		return a.result, nil
	case errors.Is(a.invalid, router.ErrIDInUse):
		f.Counters.Malformed.Add(1)
		return nil, status.Error(codes.AlreadyExists, a.invalid.Error())
	case a.invalid != nil:
		f.Counters.Malformed.Add(1)
		return nil, status.Error(codes.InvalidArgument, a.invalid.Error())
	case a.refused:
		return nil, f.refusal(ctx, a.backoff)
	}
	advice := "unsafe: it may have run"
	if class, _ := f.core.Class(r.Class); class.Semantics == dispatch.Idempotent {
		advice = "safe"
	}
	_ = grpc.SetTrailer(ctx, metadata.Pairs(metaRetry, advice))
	if a.why == router.ReasonDeadline {
		f.Counters.TimedOut.Add(1)
		return nil, status.Error(codes.DeadlineExceeded, "the time for the query ran out")
	}
	f.Counters.Failed.Add(1)
	return nil, status.Error(codes.Internal, "the query failed; it may have run")
}

// refusal words a refusal, with the time to stay away in the status's details, the trailer and the text.
func (f *Front) refusal(ctx context.Context, backoffMS float64) error {
	f.Counters.Rejected.Add(1)
	_ = grpc.SetTrailer(ctx, metadata.Pairs(metaBackoff, strconv.FormatFloat(backoffMS, 'f', 0, 64),
		metaRetry, "safe"))
	s := status.New(codes.ResourceExhausted,
		fmt.Sprintf("refused, nothing was done; try again later: backoff=%.0f", backoffMS))
	detailed, err := s.WithDetails(&errdetails.RetryInfo{
		RetryDelay: durationpb.New(time.Duration(backoffMS * float64(time.Millisecond))),
	})
	if err != nil {
		return s.Err()
	}
	return detailed.Err()
}

// toRecord turns a result into one batch of text columns.
func toRecord(r *router.Result) arrow.RecordBatch {
	fields := make([]arrow.Field, len(r.Columns))
	for i, name := range r.Columns {
		fields[i] = arrow.Field{Name: name, Type: arrow.BinaryTypes.String, Nullable: true}
	}
	b := array.NewRecordBuilder(memory.DefaultAllocator, arrow.NewSchema(fields, nil))
	defer b.Release()
	for i, cell := range r.Cells {
		column := b.Field(i % len(fields)).(*array.StringBuilder)
		if cell.Null {
			column.AppendNull()
		} else {
			column.Append(cell.Text)
		}
	}
	return b.NewRecordBatch()
}
