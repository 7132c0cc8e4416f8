package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	fsql "github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"github.com/apache/arrow-go/v18/arrow/memory"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"windflow/internal/flightsql"
	"windflow/internal/installation"
	"windflow/internal/router"
	"windflow/internal/settings"
)

// executionLog counts the requests that the fake engines ran.
type executionLog struct {
	mu     sync.Mutex
	runs   map[string]int // by request id
	byKind map[string]int // by protocol of the engine: fetch or flight
}

func (l *executionLog) add(id, kind string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id]++
	l.byKind[kind]++
}

// newHTTPEngine returns a fake engine with the HTTP protocol. It answers each request at once with status 200 and three
// pages of 20 rows, and rejects requests whose id begins with f.
func newHTTPEngine(l *executionLog) http.Handler {
	mux := http.NewServeMux()
	page := func(id string, n int) string { return strings.Repeat(fmt.Sprintf("%s\t%d\tx\n", id, n), 20) }
	mux.HandleFunc("POST /fetch", func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err != nil {
			return
		}
		id := r.Header.Get("Call-Id")
		if id[0] == 'f' { // a sixteenth of the requests is rejected before it runs
			w.Header().Set("Not-Begun", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		l.add(id, "fetch")
		w.Header().Set("X-Parts", "3")
		fmt.Fprint(w, page(id, 0))
	})
	mux.HandleFunc("GET /fetch/{id}/{n}", func(w http.ResponseWriter, r *http.Request) {
		id := r.PathValue("id")
		n, _ := strconv.Atoi(r.PathValue("n"))
		l.mu.Lock()
		known := l.runs[id] > 0
		l.mu.Unlock()
		if !known {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		if n == 0 {
			w.Header().Set("X-Parts", "3")
		} else {
			w.Header().Set("X-Part-No", strconv.Itoa(n))
		}
		fmt.Fprint(w, page(id, n))
	})
	return mux
}

// flightEngine is a fake engine with the Flight SQL protocol. It answers a query with three batches of 20 rows, and an
// update with a count. It rejects updates whose id begins with f.
type flightEngine struct {
	fsql.BaseServer
	executions *executionLog
}

// incomingMetadata returns the values of a metadata key of the call, separated by commas.
func incomingMetadata(ctx context.Context, name string) string {
	md, _ := metadata.FromIncomingContext(ctx)
	return strings.Join(md.Get(name), ",")
}

func (e *flightEngine) GetFlightInfoStatement(ctx context.Context, _ fsql.StatementQuery,

	desc *flight.FlightDescriptor,
) (*flight.FlightInfo, error) {
	ticket, err := fsql.CreateStatementQueryTicket([]byte(incomingMetadata(ctx, "rid")))
	return &flight.FlightInfo{
		FlightDescriptor: desc,
		Endpoint:         []*flight.FlightEndpoint{{Ticket: &flight.Ticket{Ticket: ticket}}},
	}, err
}

func (e *flightEngine) DoGetStatement(_ context.Context, cmd fsql.StatementQueryTicket) (*arrow.Schema,

	<-chan flight.StreamChunk, error,
) {
	id := string(cmd.GetStatementHandle())
	e.executions.add(id, "flight")
	schema := arrow.NewSchema([]arrow.Field{
		{Name: "id", Type: arrow.BinaryTypes.String},
		{Name: "n", Type: arrow.PrimitiveTypes.Int64},
	}, nil)
	ch := make(chan flight.StreamChunk, 3)
	for n := range int64(3) {
		b := array.NewRecordBuilder(memory.DefaultAllocator, schema)
		for range 20 {
			b.Field(0).(*array.StringBuilder).Append(id)
			b.Field(1).(*array.Int64Builder).Append(n)
		}
		ch <- flight.StreamChunk{Data: b.NewRecordBatch()}
	}
	close(ch)
	return schema, ch, nil
}

func (e *flightEngine) DoPutCommandStatementUpdate(ctx context.Context, _ fsql.StatementUpdate) (int64, error) {
	id := incomingMetadata(ctx, "rid")
	if id[0] == 'f' {
		_ = grpc.SetTrailer(ctx, metadata.Pairs("not-begun", "1"))
		return 0, status.Error(codes.ResourceExhausted, "full")
	}
	e.executions.add(id, "flight")
	return 7, nil
}

// mixedSettings are the platform's settings with classes lookup and load, and engine kinds std (HTTP) and arrow (Flight
// SQL).
const mixedSettings = `{"balancers":1,"classes":[
 {"name":"lookup","goal-time-ns":1000000000,"deadline-ns":5000000000,"semantics":"idempotent"},
 {"name":"load","goal-time-ns":3000000000,"deadline-ns":25000000000,"semantics":"at_most_once"}],
 "kinds":["std","arrow"],"failure-domains":["a"],"period-ns":5000000,
 "limits":{"attempts-cap":5,"second-copies":true,"retry-after":true,"max-retry-after-ns":2000000000,
  "connect-timeout-ns":250000000,"conn-idle-ns":30000000000},
 "rules":{"overload-factor":2,"overload-for-ns":1500000000,"cold-from":0.36,"cold-ns":12000000000},
 "specifics":{"cores-by-kind":[8,8],"kind-memory-mb":[16384,16384],"width-by-class":[1,2],
  "class-load":[false,true],"yields-to-loads":[true,false],"priorities":true,"grants-count":true}}`

// startMixedRouter runs a router in this process with two engines of each kind. resets counts the connections that the
// engines reset.
func startMixedRouter(t *testing.T, l *executionLog, resets *atomic.Int64) *node {
	t.Helper()
	var members []string
	for i := range 4 {
		kind, lis := "std", listenUnreliable(t, uint64(i)+100, resets)
		if i%2 == 0 {
			s := &http.Server{Handler: newHTTPEngine(l)}
			go func() { _ = s.Serve(lis) }()
			t.Cleanup(func() { _ = s.Close() })
		} else {
			kind = "arrow"
			s := grpc.NewServer()
			flight.RegisterFlightServiceServer(s, fsql.NewFlightServer(&flightEngine{executions: l}))
			go func() { _ = s.Serve(lis) }()
			t.Cleanup(s.Stop)
		}
		members = append(members, fmt.Sprintf(
			`{"id":"s-0000000%d","host_port":"%s","locality":"a","flavor":"%s","phase":"active","size":1}`,
			i+1, lis.Addr(), kind))
	}
	return startRouter(t, members)
}

// startRouter runs a router in this process with those entries in its list of engines, and stops it at the end of the
// test.
func startRouter(t *testing.T, members []string) *node {
	t.Helper()
	return startRouterWith(t, members, mixedSettings)
}

// startRouterWith is startRouter with other platform settings than mixedSettings.
func startRouterWith(t *testing.T, members []string, platform string) *node {
	t.Helper()
	cfg, err := settings.ParseNode(fmt.Appendf(nil,
		`{"name":"n0","listen":"127.0.0.1:0","seed":"1f","limits":{"cores":1,"memory_mb":192,"sockets":1024},
		"board":"%s","known":{"rev":1,"notices":[{"rev":1,"pool":{"revision":1,"complete":true,"members":[%s]}}]},
		"settings":%s}`, startIdleDiscovery(t), strings.Join(members, ","), platform))
	if err != nil {
		t.Fatal(err)
	}
	site := &installation.Settings{FlightSQL: &flightsql.Config{
		Listen: freePort(t), EngineKinds: []string{"arrow"}, MaxConnections: 32,
	}}
	n, err := start(cfg, site, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		n.loop.Run(n.life.done)
	}()
	t.Cleanup(func() {
		n.life.stop()
		<-ended
		n.close()
	})
	return n
}

// mixedRun sends requests over both protocols and collects their outcomes.
type mixedRun struct {
	t          *testing.T
	router     *node
	executions *executionLog
	resets     atomic.Int64 // connections that engines reset

	mu      sync.Mutex
	answers map[string]int  // by request id
	loads   map[string]bool // ids of requests of class load
	served  map[string]int  // by front
}

// plannedRequest is a request that a mixedRun sends.
type plannedRequest struct {
	id     string
	load   bool
	number int
}

func (r plannedRequest) class() string {
	if r.load {
		return "load"
	}
	return "lookup"
}

func (r plannedRequest) statement() string { return fmt.Sprintf("SELECT 1 FROM s_%d.t", r.number%3+1) }

// planRequests returns requests with random ids, of which about half are loads.
func planRequests(rng *rand.Rand, count int) (planned []plannedRequest) {
	for number := range count {
		id := fmt.Sprintf("%016x", rng.Uint64())
		planned = append(planned, plannedRequest{id: id, load: rng.IntN(2) == 0, number: number})
	}
	return planned
}

// recordAnswer records the answer to a request that was sent over a front.
func (r *mixedRun) recordAnswer(front string, request plannedRequest, served bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[request.id]++
	if request.load {
		r.loads[request.id] = true
	}
	if served {
		r.served[front]++
	}
}

// runMySQL sends requests over MySQL one at a time, and checks each answer.
func (r *mixedRun) runMySQL(planned []plannedRequest) {
	client, err := dialMySQL(r.router.listeners.clientsAddress)
	if err != nil {
		r.t.Error("mysql:", err)
		return
	}
	defer client.conn.Close()
	for _, request := range planned {
		rows, code, err := client.exchange(fmt.Sprintf("/* method=%s,rid=%s,budget=20000 */ %s",
			request.class(), request.id, request.statement()))
		if err == nil {
			err = client.ping()
		}
		if err != nil {
			r.t.Errorf("mysql %s %s: %v", request.class(), request.id, err)
			return
		}
		if code == 0 && rows != 60 && rows != 1 {
			r.t.Errorf("mysql %s %s: served with %d rows, want 1 or 60", request.class(), request.id, rows)
		}
		r.recordAnswer("mysql", request, code == 0)
	}
}

// runFlight sends requests over Flight SQL one at a time, and checks each answer. Loads with an even number are
// updates.
func (r *mixedRun) runFlight(planned []plannedRequest) {
	address := r.router.parts.named("flightsql").acceptor.address
	client, err := fsql.NewClient(address, nil, nil, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		r.t.Error("flight:", err)
		return
	}
	defer client.Close()
	for _, request := range planned {
		update := request.load && request.number%2 == 0
		served, err := queryFlight(client, request.class(), request.id, request.statement(), update)
		if err != nil {
			r.t.Errorf("flight %s %s: %v", request.class(), request.id, err)
		}
		r.recordAnswer("flight", request, served)
	}
}

// checkAnswers checks that each request got one answer, and that each load ran at most once.
func (r *mixedRun) checkAnswers(requests int) {
	r.t.Helper()
	if len(r.answers) != requests {
		r.t.Errorf("%d requests were answered, want %d", len(r.answers), requests)
	}
	for id, count := range r.answers {
		if count != 1 {
			r.t.Errorf("request %s was answered %d times, want once", id, count)
		}
	}
	r.executions.mu.Lock()
	defer r.executions.mu.Unlock()
	for id := range r.loads {
		if r.executions.runs[id] > 1 {
			r.t.Errorf("load %s ran %d times, want at most once", id, r.executions.runs[id])
		}
	}
	// The test is meaningful only if requests were served over both fronts and by both kinds of engine, and if
	// connections were reset.
	ran := r.executions.byKind
	if r.served["mysql"] == 0 || r.served["flight"] == 0 || ran["fetch"] == 0 || ran["flight"] == 0 ||
		r.resets.Load() == 0 {
		r.t.Errorf("served by front %v, run by protocol %v, %d connections reset: none of these may be 0",
			r.served, ran, r.resets.Load())
	}
}

// Clients send lookups and loads over both protocols at once, to engines of both protocols, while part of the engines'
// connections is reset after a random number of bytes, from a fixed seed. Each request must get exactly one answer, a
// complete one or an error, and each load must run at most once.
func TestMixedProtocolsWithResetConnections(t *testing.T) {
	const workers, each = 6, 25
	run := &mixedRun{
		t: t, executions: &executionLog{runs: map[string]int{}, byKind: map[string]int{}},
		answers: map[string]int{}, loads: map[string]bool{}, served: map[string]int{},
	}
	run.router = startMixedRouter(t, run.executions, &run.resets)
	var wg sync.WaitGroup
	for worker := range workers {
		rng := rand.New(rand.NewPCG(uint64(worker), 99))
		overMySQL, overFlight := planRequests(rng, each), planRequests(rng, each)
		wg.Go(func() { run.runMySQL(overMySQL) })
		wg.Go(func() { run.runFlight(overFlight) })
	}
	wg.Wait()
	run.checkAnswers(2 * workers * each)
	var counters router.Counters
	inLoop(run.router, func() { counters = run.router.services.core.Counters })
	answered := counters.Served + counters.Rejected + counters.Failed + counters.Abandoned
	if counters.Received != answered || counters.Received != 2*workers*each {
		t.Errorf("counters: %d received, %d answered, want %d of both", counters.Received, answered, 2*workers*each)
	}
}
