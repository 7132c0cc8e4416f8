package netio

import (
	"sync"

	"github.com/lesismal/nbio"
)

// Limits that keep a flood within the router's memory and descriptors.
const (
	// defaultMaxInbound bounds the bytes that were read and not handled yet, unless SetMaxInbound sets less.
	defaultMaxInbound = 4 << 20
	// maxUnwritten bounds the bytes queued on a connection whose peer does not read.
	maxUnwritten = 256 << 10
	// readBufferSize is the most that the poller reads at once.
	readBufferSize = 32 << 10
	// maxPendingAccepts is how many connections a listener may accept ahead of the loop, which closes those over its
	// own bounds: until it has, each has a descriptor that nothing has counted.
	maxPendingAccepts = 16
	// maxGracefulCloses is how many connections may close gracefully at once; more are closed at once, because their
	// descriptors may not be used for anything else meanwhile.
	maxGracefulCloses = 32
	// maxLingerBytes is how much the peer of a connection that closes gracefully may still send.
	maxLingerBytes = 4 << 20
	// flushTimeoutMS is how long a connection that closes gracefully may take to send its queued bytes.
	flushTimeoutMS = 2000.0
	// lingerTimeoutMS is how long its peer has to close after that.
	lingerTimeoutMS = 300.0
)

// readBudget bounds the bytes that were read and not handled yet.
type readBudget struct {
	mu     sync.Mutex
	freed  *sync.Cond
	limit  int
	inUse  int
	closed bool
}

func newReadBudget(limit int) *readBudget {
	b := &readBudget{limit: limit}
	b.freed = sync.NewCond(&b.mu)
	return b
}

// acquire waits until the bytes fit into the budget, into an empty one in any case, or the budget is closed.
func (b *readBudget) acquire(size int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.inUse > 0 && b.inUse+size > b.limit && !b.closed {
		b.freed.Wait()
	}
	b.inUse += size
}

func (b *readBudget) release(size int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inUse -= size
	b.freed.Signal()
}

func (b *readBudget) setLimit(limit int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = limit
	b.freed.Broadcast()
}

// close ends all waits, now and later.
func (b *readBudget) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.freed.Broadcast()
}

// gracefulCloses tracks the connections that close gracefully. Its counts belong to the loop's goroutine.
type gracefulCloses struct {
	count     int
	unlimited bool // see Poller.BeginShutdown

	mu        sync.Mutex
	allowance map[*nbio.Conn]int // the bytes that each peer may still send
}

// begin adds a connection; false: too many close already.
func (g *gracefulCloses) begin(conn *nbio.Conn) bool {
	if g.count >= maxGracefulCloses && !g.unlimited {
		return false
	}
	g.count++
	g.mu.Lock()
	defer g.mu.Unlock()
	g.allowance[conn] = maxLingerBytes
	return true
}

// end removes a connection that has closed.
func (g *gracefulCloses) end(conn *nbio.Conn) {
	g.count--
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.allowance, conn)
}

// discard reports whether bytes read from a connection are to be dropped, and closes the connection once the peer has
// sent too many of them. It is called in the poller's goroutine.
func (g *gracefulCloses) discard(conn *nbio.Conn, size int) bool {
	g.mu.Lock()
	left, closing := g.allowance[conn]
	if closing {
		g.allowance[conn] = left - size
	}
	g.mu.Unlock()
	if closing && left < size {
		_ = conn.Close()
	}
	return closing
}
