package netio

import (
	"sync"

	"github.com/lesismal/nbio"
)

// Limits that bound the memory and the descriptors that a flood of connections or data can use.
const (
	// defaultMaxInbound limits the bytes that were read and not yet handled; SetMaxInbound can change the limit.
	defaultMaxInbound = 4 << 20
	// maxUnwritten limits the bytes that are queued on a connection whose peer does not read.
	maxUnwritten = 256 << 10
	// readBufferSize is the maximum number of bytes that the poller reads at once.
	readBufferSize = 32 << 10
	// maxPendingAccepts is the number of connections that a listener may accept before the loop handles them. The loop
	// closes connections above its own limits, but until it does so, each of them uses a descriptor that is not counted.
	maxPendingAccepts = 16
	// maxGracefulCloses is the number of connections that may close gracefully at the same time. Further connections
	// are closed immediately, because a gracefully closing connection keeps its descriptor in use.
	maxGracefulCloses = 32
	// maxLingerBytes is the number of bytes that the peer may still send during a graceful close.
	maxLingerBytes = 4 << 20
	// flushTimeoutMS is the time in milliseconds that a graceful close may take to send the queued bytes.
	flushTimeoutMS = 2000.0
	// lingerTimeoutMS is the time in milliseconds that the peer then has to close the connection.
	lingerTimeoutMS = 300.0
)

// readBudget limits the bytes that were read and not yet handled.
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

// acquire waits until the bytes fit into the budget or the budget is closed. An unused budget accepts any number of
// bytes.
func (b *readBudget) acquire(size int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.inUse > 0 && b.inUse+size > b.limit && !b.closed {
		b.freed.Wait()
	}
	b.inUse += size
}

// release returns bytes to the budget.
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

// close ends all waits in acquire; later calls of acquire do not wait.
func (b *readBudget) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.freed.Broadcast()
}

// gracefulCloses tracks the connections that close gracefully. The fields above mu are used only in the loop's
// goroutine.
type gracefulCloses struct {
	count     int
	unlimited bool // set by Poller.BeginShutdown

	mu        sync.Mutex
	allowance map[*nbio.Conn]int // the bytes that each peer may still send
}

// begin adds a connection. It returns false if maxGracefulCloses connections are already closing, unless unlimited is
// set.
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

// discard reports whether the bytes read from a connection must be discarded because it closes gracefully. It closes
// the connection once the peer has sent more than maxLingerBytes. It is called in the poller's goroutine.
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
