package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// newsTimeout is how long an engine waits for news before it answers 202.
	newsTimeout = 250 * time.Millisecond
	// forgetTimeout is how long a query runs on without being asked for.
	forgetTimeout = 2 * time.Second
)

// query is a statement as an engine has received it.
type query struct {
	id, class, statement string
	at                   time.Duration // when it came, since the start of the case
}

// running is a query at an engine.
type running struct {
	query
	ends    time.Time
	asked   time.Time // when it was last asked for
	polling int       // calls that wait for it
}

// engine is a stand-in for an engine: it begins each statement at once, unless it drains.
type engine struct {
	rec      *record
	id       uint32
	port     int
	work     func(query) time.Duration
	stop     func() // ends its server
	draining atomic.Bool

	mu      sync.Mutex
	queries map[string]*running
	came    []query // all statements that came whole, also those that were turned away
	begun   []query // those that began
}

func newEngine(rec *record, id uint32, work func(query) time.Duration) (*engine, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	started := &engine{
		rec: rec, id: id, port: lis.Addr().(*net.TCPAddr).Port, work: work, queries: map[string]*running{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fetch", started.start)
	mux.HandleFunc("GET /fetch/{id}/0", func(w http.ResponseWriter, r *http.Request) { started.news(w, r.PathValue("id")) })
	mux.HandleFunc("PUT /fetch/{id}", noContent)
	mux.HandleFunc("DELETE /fetch/{id}", started.giveUp)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /stats", func(http.ResponseWriter, *http.Request) {})
	server := &http.Server{Handler: mux}
	started.stop = func() { _ = server.Close() }
	go func() { _ = server.Serve(lis) }()
	return started, nil
}

func (e *engine) close() { e.stop() }

func noContent(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.WriteHeader(http.StatusNoContent)
}

// start begins a statement, or turns it away while the engine drains.
func (e *engine) start(w http.ResponseWriter, r *http.Request) {
	at := e.rec.since()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	came := query{r.Header.Get("Call-Id"), r.Header.Get("Call-Kind"), string(body), at}
	e.mu.Lock()
	e.came = append(e.came, came)
	if e.draining.Load() {
		e.mu.Unlock()
		e.rec.printf("engine s-%08x: %s %s came while it drains: turned away", e.id, came.class, came.id)
		w.Header().Set("Not-Begun", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	now := time.Now()
	e.queries[came.id] = &running{query: came, ends: now.Add(e.work(came)), asked: now}
	e.begun = append(e.begun, came)
	e.mu.Unlock()
	e.rec.printf("engine s-%08x: %s %s begins", e.id, came.class, came.id)
	e.news(w, came.id)
}

// news answers with the end of a query, or with 202 if it has not ended after newsTimeout.
func (e *engine) news(w http.ResponseWriter, id string) {
	e.mu.Lock()
	found := e.queries[id]
	if found == nil || found.polling == 0 && time.Since(found.asked) > forgetTimeout {
		delete(e.queries, id)
		e.mu.Unlock()
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	found.polling++
	wait := min(time.Until(found.ends), newsTimeout)
	e.mu.Unlock()
	time.Sleep(wait)
	e.mu.Lock()
	found.polling--
	found.asked = time.Now()
	over := !found.asked.Before(found.ends)
	e.mu.Unlock()
	if !over {
		w.WriteHeader(http.StatusAccepted)
		return
	}
	w.Header().Set("X-Parts", "1")
	w.Header().Set("X-Cpu-Ms", "100")
	w.Header().Set("X-Mem-Used", "16")
	fmt.Fprintf(w, "%s\t%s\ts-%08x\n", found.id, found.class, e.id)
}

func (e *engine) giveUp(w http.ResponseWriter, r *http.Request) {
	e.rec.printf("engine s-%08x: %s given up", e.id, strings.TrimPrefix(r.URL.Path, "/fetch/"))
	w.WriteHeader(http.StatusNoContent)
}

// beginnings returns the statements that have begun.
func (e *engine) beginnings() []query {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]query(nil), e.begun...)
}

// arrivals returns the statements that have come whole.
func (e *engine) arrivals() []query {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]query(nil), e.came...)
}
