package fleettest

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// countingEngine is an engine that counts the queries that are sent to it, and answers each with one row once it is
// not busy.
type countingEngine struct {
	Engine
	queries atomic.Int64
	busy    atomic.Bool // its queries run on
}

// newsInterval is how long an engine waits for the end of a query before it answers that the query runs on.
const newsInterval = 250 * time.Millisecond

func startCountingEngine(t *testing.T) *countingEngine {
	t.Helper()
	engine := &countingEngine{}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			engine.queries.Add(1)
		}
		for waited := time.Duration(0); engine.busy.Load(); waited += time.Millisecond {
			if waited >= newsInterval {
				w.WriteHeader(http.StatusAccepted)
				return
			}
			time.Sleep(time.Millisecond)
		}
		w.Header().Set("X-Parts", "1")
		_, _ = io.WriteString(w, "a\tb\tc\n")
	}))
	listener, err := listen()
	if err != nil {
		t.Fatal(err)
	}
	server.Listener = listener
	server.Start()
	t.Cleanup(server.Close)
	engine.Engine = Engine{ID: 1, Address: netip.MustParseAddrPort(listener.Addr().(*net.TCPAddr).String())}
	return engine
}

// reportQuery returns the command of a report of 16 kB.
func reportQuery(id int) []byte {
	return append([]byte{commandQuery}, fmt.Sprintf(
		"/* method=report,rid=%016x,budget=19000,acct=tenant-00000 */ SELECT 1 WHERE note = '%s'",
		id, strings.Repeat("x", 16<<10))...)
}

// Guards against work for clients that have left, and against an engine that gets no work any more because of them:
// their connections were closed while the router was stopped, with much still unread. What they sent is not sent on when
// the router resumes, and a client that stays is served.
func TestRequestsOfDepartedClientsAreNotSent(t *testing.T) {
	for _, scenario := range []departure{
		{name: "requests queued before the stop", sentFirst: true, stopDelay: 20 * time.Millisecond},
		{name: "requests unread", stopDelay: 20 * time.Millisecond},
		{name: "requests read while the router stops"},
	} {
		t.Run(scenario.name, scenario.check)
	}
}

// departure is a way in which clients leave while the router is stopped.
type departure struct {
	name      string
	sentFirst bool          // a request of each client was read a second before the stop
	stopDelay time.Duration // from the stop until the clients send their last request and leave
}

func (d departure) check(t *testing.T) {
	const clients, requestsAhead, pause = 60, 3, time.Second
	engine := startCountingEngine(t)
	engine.busy.Store(d.sentFirst)
	engines := []Engine{engine.Engine}
	server := NewDiscoveryServer(t, engines)
	router := New(t).Router(Config{Name: "n0", Discovery: server.Addr, Engines: engines, Tenants: 1})
	router.Ready()
	departing := make([]*Client, clients)
	var err error
	for i := range departing {
		if departing[i], err = Dial(router.Listen); err != nil {
			t.Fatal(err)
		}
	}
	lastID := 0
	send := func(client *Client) {
		lastID++
		if err := client.write(0, reportQuery(lastID)); err != nil {
			t.Fatal(err)
		}
	}
	if d.sentFirst {
		for _, client := range departing {
			send(client)
		}
		time.Sleep(pause)
	}
	router.Signal(syscall.SIGSTOP)
	time.Sleep(d.stopDelay)
	engine.busy.Store(false) // the running queries end now, and the router learns of that together with all the rest
	for _, client := range departing {
		for range requestsAhead {
			send(client)
		}
		_ = client.Close()
	}
	time.Sleep(pause)
	before := engine.queries.Load()
	router.Signal(syscall.SIGCONT)
	time.Sleep(pause)
	if sent := engine.queries.Load() - before; sent > 0 {
		t.Errorf("%d queries of clients that had left were sent, want none", sent)
	}
	before = engine.queries.Load()
	remaining, err := Dial(router.Listen)
	if err != nil {
		t.Fatal(err)
	}
	defer remaining.Close()
	if err := remaining.write(0, reportQuery(0)); err != nil {
		t.Fatal(err)
	}
	if _, err := remaining.packet(); err != nil || engine.queries.Load() != before+1 {
		t.Errorf("a client that stays: %v, %d queries sent, want 1", err, engine.queries.Load()-before)
	}
}
