package node

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	loadInterval = 4 * time.Millisecond
	// loadFirstID keeps the ids of the load apart from those of the tests' own requests.
	loadFirstID = 1 << 20
	// loadEvery is how many requests there are for each that is of the class load.
	loadEvery = 16
)

// clientLoad is a number of clients that send requests without end. Each request is sent once, and once more where the
// router closed the connection without an answer, as clients do.
type clientLoad struct {
	address                                   string
	requests, served, rejected, retried, lost atomic.Int64
	unexpected                                atomic.Pointer[string]
	done                                      chan struct{}
	clients                                   sync.WaitGroup
}

func (h *routerHarness) startLoad(clients int) *clientLoad {
	load := &clientLoad{address: h.clientListener.Addr().String(), done: make(chan struct{})}
	for range clients {
		load.clients.Add(1)
		go load.runClient()
	}
	return load
}

func (l *clientLoad) runClient() {
	defer l.clients.Done()
	client := &loadClient{load: l}
	for {
		select {
		case <-l.done:
			return
		case <-time.After(loadInterval):
		}
		number := int(l.requests.Add(1))
		class := "lookup"
		if number%loadEvery == 0 {
			class = "load"
		}
		client.request(number, class)
	}
}

// stop ends the load, and fails the test if a request went without an answer, or had one that it may not have.
func (l *clientLoad) stop(t *testing.T) {
	t.Helper()
	close(l.done)
	l.clients.Wait()
	t.Logf("%d requests: %d served, %d rejected, %d sent again",
		l.requests.Load(), l.served.Load(), l.rejected.Load(), l.retried.Load())
	if l.lost.Load() > 0 || l.unexpected.Load() != nil || l.served.Load() == 0 {
		text := ""
		if l.unexpected.Load() != nil {
			text = *l.unexpected.Load()
		}
		t.Errorf("%d requests lost, %d served; %s", l.lost.Load(), l.served.Load(), text)
	}
}

// loadClient is one client of a load.
type loadClient struct {
	load *clientLoad
	conn *mysqlClient // nil while it has no connection
}

// request sends a request, at most twice, and counts its answer.
func (c *loadClient) request(number int, class string) {
	text := query(class, loadFirstID+number, "SELECT 1")
	rows, code, err := c.try(text)
	if err != nil {
		c.load.retried.Add(1)
		rows, code, err = c.try(text)
	}
	if err != nil {
		c.load.lost.Add(1)
		return
	}
	c.count(number, class, rows, code)
}

// try sends a request on the connection, or on a new one where there is none; after an error there is none.
func (c *loadClient) try(text string) (rows, code int, err error) {
	if c.conn == nil {
		if c.conn, err = dialMySQL(c.load.address); err != nil {
			c.conn = nil
			return 0, 0, err
		}
	}
	_ = c.conn.conn.SetDeadline(time.Now().Add(25 * time.Second))
	if rows, code, err = c.conn.exchange(text); err != nil {
		_ = c.conn.conn.Close()
		c.conn = nil
	}
	return rows, code, err
}

func (c *loadClient) count(number int, class string, rows, code int) {
	switch {
	case code == 0 && rows == 1:
		c.load.served.Add(1)
	case code == 1040:
		c.load.rejected.Add(1)
	default:
		text := fmt.Sprintf("request %d, a %s: %d rows, error %d", number, class, rows, code)
		c.load.unexpected.Store(&text)
	}
}

// requireLoadsOnce fails if an engine ran a request of class load twice; look-ups may be repeated.
func (e *blockingEngine) requireLoadsOnce(t *testing.T) {
	t.Helper()
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, n := range e.runs {
		if n > 1 && strings.HasSuffix(id, "0") { // the sixteenth that are loads
			t.Errorf("load %s ran %d times", id, n)
		}
	}
}
