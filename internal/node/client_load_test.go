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
	loadInterval = 4 * time.Millisecond // pause of a client between two requests
	// loadFirstID is added to the ids of the requests that clientLoad sends, so that they differ from the ids that the
	// tests use themselves.
	loadFirstID = 1 << 20
	// loadEvery is the interval of requests of class load: each loadEvery-th request is one.
	loadEvery = 16
)

// clientLoad runs clients that send requests until stop is called. As real clients do, they send a request a second
// time if the router closed the connection without an answer.
type clientLoad struct {
	address                                   string
	requests, served, rejected, retried, lost atomic.Int64
	unexpected                                atomic.Pointer[string]
	done                                      chan struct{}
	clients                                   sync.WaitGroup
}

// startLoad starts that number of clients.
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

// stop ends the clients. It fails the test if a request got no answer or an unexpected one, or if none was served.
func (l *clientLoad) stop(t *testing.T) {
	t.Helper()
	close(l.done)
	l.clients.Wait()
	t.Logf("%d requests: %d served, %d rejected, %d retried",
		l.requests.Load(), l.served.Load(), l.rejected.Load(), l.retried.Load())
	if l.lost.Load() > 0 || l.unexpected.Load() != nil || l.served.Load() == 0 {
		text := ""
		if l.unexpected.Load() != nil {
			text = *l.unexpected.Load()
		}
		t.Errorf("%d requests got no answer, %d were served; unexpected answer: %q", l.lost.Load(), l.served.Load(), text)
	}
}

// loadClient is one client of a clientLoad.
type loadClient struct {
	load *clientLoad
	conn *mysqlClient // nil while there is no connection
}

// request sends a request, a second time if the first attempt fails, and counts the answer.
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

// try sends a request on the open connection, or on a new one if none is open. After an error it closes the connection.
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

// count counts an answer: one row, error 1040 (rejected), or anything else, which is unexpected.
func (c *loadClient) count(number int, class string, rows, code int) {
	switch {
	case code == 0 && rows == 1:
		c.load.served.Add(1)
	case code == 1040:
		c.load.rejected.Add(1)
	default:
		text := fmt.Sprintf("request %d of class %s: %d rows, error %d", number, class, rows, code)
		c.load.unexpected.Store(&text)
	}
}

// requireLoadsOnce fails the test if the engine ran a request of class load more than once. Requests of class lookup
// may be repeated.
func (e *blockingEngine) requireLoadsOnce(t *testing.T) {
	t.Helper()
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, n := range e.runs {
		if n > 1 && strings.HasSuffix(id, "0") { // hexadecimal ids of loads end in 0, since loadEvery is 16
			t.Errorf("load %s ran %d times", id, n)
		}
	}
}
