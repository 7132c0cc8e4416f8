package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Timing of an engine's answers, from the protocol page.
const (
	longPoll    = 250 * time.Millisecond
	forgetAfter = 2 * time.Second
)

// Rows of a page of a result with several pages.
const (
	fullPageRow  = "1\t2\t3\n"
	fullPageRows = 1000
)

// run is a statement that an engine runs or has run.
type run struct {
	ends      time.Time
	lastAsked time.Time
	pages     int // of its result
}

// engine is a stand-in for an engine that speaks the platform's HTTP protocol. It runs any statement for workFor of its
// class and answers one page.
type engine struct {
	id       uint32
	addr     *net.TCPAddr
	rec      *recorder
	workFor  func(class string) time.Duration
	pagesFor func(class string) int // nil: one page
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	draining bool
	runs     map[string]*run
}

func startEngine(rec *recorder, id uint32, workFor func(string) time.Duration) (*engine, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	started := &engine{
		id: id, addr: listener.Addr().(*net.TCPAddr), rec: rec, workFor: workFor, listener: listener,
		runs: map[string]*run{},
	}
	started.server = &http.Server{Handler: started, ReadHeaderTimeout: time.Minute}
	go func() { _ = started.server.Serve(listener) }()
	return started, nil
}

func (e *engine) name() string { return fmt.Sprintf("s-%08x", e.id) }

// drain makes the engine turn away new statements, as an engine does that shuts down.
func (e *engine) drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	switch {
	case r.Method == http.MethodPost && len(parts) == 1 && parts[0] == "fetch":
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // the statement did not arrive as a whole
		}
		e.start(w, r, arrived, string(body))
	case r.Method == http.MethodGet && len(parts) == 3:
		e.news(w, parts[1], parts[2])
	case r.Method == http.MethodPut, r.Method == http.MethodDelete:
		w.WriteHeader(http.StatusNoContent)
	default:
		w.WriteHeader(http.StatusOK) // healthz and stats
	}
}

func (e *engine) start(w http.ResponseWriter, r *http.Request, arrived time.Time, statement string) {
	id, class := r.Header.Get("Call-Id"), r.Header.Get("Call-Kind")
	pages := 1
	if e.pagesFor != nil {
		pages = e.pagesFor(class)
	}
	e.mu.Lock()
	refused := e.draining
	if !refused {
		e.runs[id] = &run{ends: arrived.Add(e.workFor(class)), lastAsked: arrived, pages: pages}
	}
	e.mu.Unlock()
	e.rec.post(post{at: arrived, engine: e.name(), id: id, class: class, statement: statement, refused: refused})
	if refused {
		w.Header().Set("Not-Begun", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	e.news(w, id, "0")
}

// news answers a poll: page 0 of an ended statement, or 202 after longPoll.
func (e *engine) news(w http.ResponseWriter, id, page string) {
	asked := time.Now()
	e.mu.Lock()
	known := e.runs[id]
	forgotten := known == nil || asked.Sub(known.lastAsked) > forgetAfter+longPoll
	if !forgotten {
		known.lastAsked = asked
	}
	e.mu.Unlock()
	number, err := strconv.Atoi(page)
	if forgotten || err != nil || number < 0 || number >= known.pages {
		http.Error(w, "not known", http.StatusInternalServerError)
		return
	}
	left := time.Until(known.ends)
	time.Sleep(min(max(left, 0), longPoll))
	if left > longPoll {
		w.WriteHeader(http.StatusAccepted)
		return
	}
	body := fmt.Sprintf("%s\t%s\t1\n", id, e.name())
	if known.pages > 1 {
		body = strings.Repeat(fullPageRow, fullPageRows)
	}
	if number > 0 {
		w.Header().Set("X-Part-No", page)
	}
	w.Header().Set("X-Parts", strconv.Itoa(known.pages))
	w.Header().Set("X-Cpu-Ms", strconv.FormatInt(e.workFor("").Milliseconds(), 10))
	w.Header().Set("X-Mem-Used", "64")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// fixedWork returns the same time for each class.
func fixedWork(d time.Duration) func(string) time.Duration {
	return func(string) time.Duration { return d }
}

func startEngines(rec *recorder, n int, work func(string) time.Duration) ([]*engine, error) {
	var engines []*engine
	for i := range n {
		started, err := startEngine(rec, uint32(i+1), work)
		if err != nil {
			return nil, err
		}
		engines = append(engines, started)
	}
	return engines, nil
}
