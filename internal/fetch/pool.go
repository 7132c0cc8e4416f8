package fetch

import (
	"errors"
	"slices"

	"windflow/brain"
	"windflow/internal/netio"
	"windflow/internal/router"
)

// conn is one connection to an engine; it carries one call at a time.
type conn struct {
	pool   *pool
	engine router.Engine
	c      netio.Conn
	call   *call // nil while idle
	buf    []byte
	up     bool
	heard  float64 // when it was last read from, or came up
	dead   bool
}

// pool keeps the connections to all engines under one limit.
type pool struct {
	client  *Client
	max     int
	total   int
	idle    map[brain.EngineID][]*conn // latest used last
	waiting []*call
}

// submit has a call written to its engine: on an idle connection, a new one, or once one is free.
func (p *pool) submit(c *call) {
	idle := p.idle[c.engine.ID]
	if n := len(idle); n > 0 {
		k := idle[n-1]
		if !c.fresh || p.client.loop.Now()-k.heard < freshFor {
			p.idle[c.engine.ID] = idle[:n-1]
			k.start(c)
			return
		}
	}
	if p.total >= p.max && !p.evict() {
		p.waiting = append(p.waiting, c)
		return
	}
	p.dial(c)
}

func (p *pool) dial(c *call) {
	p.total++
	p.client.Counters.Dials++
	k := &conn{pool: p, engine: c.engine, call: c}
	c.conn = k
	k.c = p.client.dialer.Dial(c.engine.Addr, p.client.connectTimeout, k)
}

// evict closes the idle connection that was silent longest.
func (p *pool) evict() bool {
	var oldest *conn
	for _, list := range p.idle {
		if len(list) > 0 && (oldest == nil || list[0].heard < oldest.heard) {
			oldest = list[0]
		}
	}
	if oldest == nil {
		return false
	}
	oldest.close()
	return true
}

// next gives freed room to those that wait.
func (p *pool) next() {
	for len(p.waiting) > 0 && (p.total < p.max || p.evict()) {
		c := p.waiting[0]
		p.waiting = p.waiting[1:]
		if !c.done {
			p.submit(c)
		}
	}
}

// sweep closes connections that were idle for as long as an engine might keep them: a call that crosses the
// engine's own close would be lost.
func (p *pool) sweep() {
	now := p.client.loop.Now()
	for id, list := range p.idle {
		for len(list) > 0 && now-list[0].heard > p.client.idleFor {
			list[0].close()
			list = p.idle[id]
		}
		if len(list) == 0 {
			delete(p.idle, id)
		}
	}
}

// forget closes the idle connections to an engine that is gone: its address may pass to a new one.
func (p *pool) forget(id brain.EngineID) {
	for len(p.idle[id]) > 0 {
		p.idle[id][0].close()
	}
	delete(p.idle, id)
}

// start writes a call.
func (k *conn) start(c *call) {
	k.call, c.conn = c, k
	c.written = true
	k.c.Write(c.bytes)
}

// Opened implements netio.Handler.
func (k *conn) Opened(c netio.Conn) {
	k.c, k.up, k.heard = c, true, k.pool.client.loop.Now()
	if k.call == nil || k.call.done { // given up while it came up
		k.free()
		return
	}
	k.start(k.call)
}

// Data implements netio.Handler.
func (k *conn) Data(b []byte, at float64) {
	if k.dead {
		return
	}
	k.heard = at
	k.buf = append(k.buf, b...)
	for len(k.buf) > 0 && !k.dead {
		r, n, err := parseResponse(k.buf)
		switch {
		case err != nil || r != nil && k.call == nil:
			if err == nil {
				err = errors.New("an answer to no call")
			}
			k.fail(&badAnswer{err})
			return
		case r == nil:
			return
		}
		k.buf = k.buf[n:]
		if r.status < 200 {
			continue // an interim response
		}
		c := k.call
		if r.close || len(k.buf) > 0 {
			k.close()
		} else {
			k.buf = nil
			k.free()
		}
		c.finish(r, nil)
	}
}

// Closed implements netio.Handler.
func (k *conn) Closed(err error) {
	if err == nil {
		err = errors.New("closed by the engine")
	}
	k.fail(err)
}

// free puts the connection back.
func (k *conn) free() {
	k.call = nil
	p := k.pool
	if len(p.waiting) > 0 {
		if i := slices.IndexFunc(p.waiting, func(c *call) bool { return !c.done && c.engine.ID == k.engine.ID }); i >= 0 {
			c := p.waiting[i]
			p.waiting = slices.Delete(p.waiting, i, i+1)
			k.start(c)
			return
		}
	}
	p.idle[k.engine.ID] = append(p.idle[k.engine.ID], k)
	p.next()
}

// fail ends the connection and its call.
func (k *conn) fail(err error) {
	if k.dead {
		return
	}
	c := k.call
	k.close()
	if c != nil {
		c.finish(nil, err)
	}
}

func (k *conn) close() {
	if k.dead {
		return
	}
	k.dead = true
	k.call = nil
	p := k.pool
	p.total--
	list := p.idle[k.engine.ID]
	if i := slices.Index(list, k); i >= 0 {
		p.idle[k.engine.ID] = slices.Delete(list, i, i+1)
	}
	if k.c != nil {
		k.c.Close()
	}
	p.client.loop.Post(p.next)
}
