package enginehttp

import (
	"slices"

	"windflow/dispatch"
	"windflow/internal/netio"
	"windflow/internal/router"
)

// pool manages the connections to all engines under one common limit.
type pool struct {
	loop     *router.Loop
	dialer   netio.Dialer
	counters *Counters

	maxConns         int
	connectTimeoutMS float64
	idleTimeoutMS    float64

	total   int                           // connections that are open or being dialed
	idle    map[dispatch.EngineID][]*conn // most recently used last
	dialing []*conn                       // in the order in which they were dialed, so that processing is deterministic
	queue   []*request                    // low-priority requests last
}

// configure replaces the limits, closes idle connections above the new limit and serves the queue if the pool has
// capacity.
func (p *pool) configure(cfg Config) {
	p.connectTimeoutMS = cfg.ConnectTimeoutMS
	p.idleTimeoutMS = min(cfg.IdleMS/2, maxIdleMS)
	p.maxConns = cfg.MaxConns
	for p.total > p.maxConns {
		if !p.evict() {
			break
		}
	}
	p.serveQueue()
}

// submit sends a request on an idle connection or on a new one. If the limit is reached and no idle connection can be
// evicted, it queues the request.
func (p *pool) submit(req *request) {
	idle := p.idle[req.engine.ID]
	for i := len(idle) - 1; i >= 0; i-- {
		if c := idle[i]; c.usableFor(req) {
			p.removeIdle(c)
			c.start(req)
			return
		}
	}
	if p.total >= p.maxConns && !p.evict() {
		p.enqueue(req)
		return
	}
	p.dial(req)
}

// enqueue queues a request. A low-priority request is queued after all others: it is a long poll, which the engine
// answers late anyway, and the engine keeps the query in the meantime.
func (p *pool) enqueue(r *request) {
	i := len(p.queue)
	for !r.lowPriority && i > 0 && p.queue[i-1].lowPriority {
		i--
	}
	p.queue = slices.Insert(p.queue, i, r)
}

// serveQueue submits queued requests while the pool has capacity.
func (p *pool) serveQueue() {
	for {
		// Aborted requests are removed first, so that no connection is evicted for them.
		for len(p.queue) > 0 && p.queue[0].done {
			p.queue = p.queue[1:]
		}
		if len(p.queue) == 0 || p.total >= p.maxConns && !p.evict() {
			return
		}
		r := p.queue[0]
		p.queue = p.queue[1:]
		p.submit(r)
	}
}

// dequeueFor removes and returns the first queued request that can use the connection. It returns nil if there is none.
func (p *pool) dequeueFor(c *conn) *request {
	if len(p.queue) == 0 {
		return nil
	}
	i := slices.IndexFunc(p.queue, func(r *request) bool {
		return !r.done && r.engine.ID == c.engine.ID && c.usableFor(r)
	})
	if i < 0 {
		return nil
	}
	r := p.queue[i]
	p.queue = slices.Delete(p.queue, i, i+1)
	return r
}

// dial opens a new connection for the request.
func (p *pool) dial(r *request) {
	p.total++
	p.counters.Dials++
	c := &conn{pool: p, loop: p.loop, engine: r.engine, request: r}
	r.conn = c
	p.dialing = append(p.dialing, c)
	c.netConn = p.dialer.Dial(r.engine.Address, p.connectTimeoutMS, c)
}

// removeDialing removes a connection from the list of connections that are being dialed.
func (p *pool) removeDialing(c *conn) {
	if i := slices.Index(p.dialing, c); i >= 0 {
		p.dialing = slices.Delete(p.dialing, i, i+1)
	}
}

// addIdle adds a connection to the idle connections of its engine.
func (p *pool) addIdle(c *conn) {
	p.idle[c.engine.ID] = append(p.idle[c.engine.ID], c)
}

// removeIdle removes a connection from the idle connections of its engine.
func (p *pool) removeIdle(c *conn) {
	list := p.idle[c.engine.ID]
	if i := slices.Index(list, c); i >= 0 {
		list = slices.Delete(list, i, i+1)
	}
	p.idle[c.engine.ID] = list
	if len(list) == 0 {
		delete(p.idle, c.engine.ID) // otherwise the map would grow without bound, as ids are not reused
	}
}

// remove removes a closed connection from the pool.
func (p *pool) remove(c *conn) {
	p.removeDialing(c)
	p.total--
	p.removeIdle(c)
}

// evict closes the idle connection whose last read is the oldest. It returns false if no connection is idle.
func (p *pool) evict() bool {
	var oldest *conn
	for _, list := range p.idle {
		if len(list) > 0 && (oldest == nil || list[0].idleBefore(oldest)) {
			oldest = list[0]
		}
	}
	if oldest == nil {
		return false
	}
	oldest.close()
	return true
}

// closeExpired closes connections that were idle for so long that the engine might close them. A request that is sent
// while the engine closes the connection would be lost.
func (p *pool) closeExpired() {
	now := p.loop.Now()
	for _, list := range p.idle {
		for _, c := range slices.Clone(list) {
			if now-c.lastReadMS > p.idleTimeoutMS {
				c.close()
			}
		}
	}
}

// closeIdle closes the idle connections to an engine that was removed, because its address may be assigned to a new
// engine.
func (p *pool) closeIdle(id dispatch.EngineID) {
	for _, c := range slices.Clone(p.idle[id]) {
		c.close()
	}
}

// cancelUnstarted aborts the start requests for an engine of which no byte was written. They are queued or wait for a
// connection that is being dialed, and would otherwise reach the engine after its cordon was confirmed, or long after
// it was removed or moved.
func (p *pool) cancelUnstarted(id dispatch.EngineID) {
	requests := slices.Clone(p.queue)
	for _, c := range p.dialing {
		if c.request != nil {
			requests = append(requests, c.request)
		}
	}
	for _, r := range requests {
		if r.engine.ID == id && r.isStart && !r.writeStarted {
			r.abort(errCancelled)
		}
	}
}
