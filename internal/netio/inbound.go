package netio

import "sync"

const (
	// clientQuantum is the number of bytes of one client that the loop handles before it turns to the next connection.
	clientQuantum = 4 << 10
	// maxBatch is the number of bytes of answers that are collected before they are sent. It is well below maxUnwritten,
	// which a single write must not exceed.
	maxBatch = 32 << 10
	// maxBacklogWaitMS limits the wait for the handling of all that was read, in milliseconds.
	maxBacklogWaitMS = 200.0
)

// inboundEvent is data that was read from a connection, or its end.
type inboundEvent struct {
	data   []byte
	atMS   float64 // when the data was read
	closed bool
	err    error // why the connection has ended
}

// inboundQueue holds the events of a connection that the loop has not handled. The connections with events take turns,
// so that one that sends as fast as it can does not delay the others. It is safe for concurrent use.
type inboundQueue struct {
	mu        sync.Mutex
	events    []inboundEvent
	scheduled bool // the connection's next turn is posted to the loop
	ended     bool // the end of the connection is among the events or was handled
}

// add appends an event and reports whether the connection's next turn has to be posted.
func (q *inboundQueue) add(event inboundEvent) (schedule bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.events = append(q.events, event)
	q.ended = q.ended || event.closed
	schedule = !q.scheduled
	q.scheduled = true
	return schedule
}

// take removes the first event, or a part of its data if that exceeds the quantum. whole is false for a part that is not
// the last. more reports whether a next turn is needed.
func (q *inboundQueue) take(quantum int) (event inboundEvent, whole, more bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	event, whole = q.events[0], true
	if quantum > 0 && len(event.data) > quantum {
		event.data, q.events[0].data = event.data[:quantum], event.data[quantum:]
		return event, false, true
	}
	q.events[0] = inboundEvent{}
	q.events = q.events[1:]
	if len(q.events) == 0 {
		q.events = nil
	}
	q.scheduled = len(q.events) > 0
	return event, whole, q.scheduled
}

// hasEnded reports whether the poller has seen the end of the connection.
func (q *inboundQueue) hasEnded() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.ended
}

// enqueue queues an event of a connection and posts the connection's turn to the loop. It may be called in any
// goroutine.
func (p *Poller) enqueue(sock *socket, event inboundEvent) {
	if sock.inbound.add(event) {
		p.backlog.Add(1)
		p.loop.Post(func() { p.takeTurn(sock) })
	}
}

// takeTurn handles the next event of a connection, and posts its next turn behind the turns of others.
func (p *Poller) takeTurn(sock *socket) {
	quantum := sock.quantum
	if sock.closed || sock.closing {
		quantum = 0 // the data is dropped
	}
	event, whole, more := sock.inbound.take(quantum)
	if whole && !event.closed {
		sock.pendingReads.Add(-1)
	}
	p.budget.release(len(event.data))
	if event.closed {
		sock.handleClosed(event.err)
	} else {
		sock.deliver(event.data, event.atMS)
	}
	if more {
		p.loop.Post(func() { p.takeTurn(sock) })
		return
	}
	p.backlog.Add(-1)
}

// afterBacklog calls fn in the loop once all that was read has been handled, at the latest at untilMS.
func (p *Poller) afterBacklog(untilMS float64, fn func()) {
	p.loop.Post(func() {
		if p.backlog.Load() > 0 && p.loop.Now() < untilMS {
			p.afterBacklog(untilMS, fn)
			return
		}
		fn()
	})
}
