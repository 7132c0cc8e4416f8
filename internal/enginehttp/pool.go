package enginehttp

import (
	"errors"
	"slices"

	"windflow/dispatch"
	"windflow/internal/netio"
	"windflow/internal/router"
)

// conn is one connection to an engine; it carries one call at a time.
type conn struct {
	pool   *pool
	engine router.Engine
	c      netio.Conn
	call   *call  // nil while idle
	about  *query // the query of its last call
	buf    []byte
	up     bool
	heard  float64 // when it was last read from, or came up
	before int     // interim responses before the answer
	dead   bool
}

// pool keeps the connections to all engines under one limit.
type pool struct {
	client  *Client
	max     int
	total   int
	idle    map[dispatch.EngineID][]*conn // latest used last
	dialing []*conn                       // in the order of their dials: what is done to them must not go by chance
	waiting []*call                       // those that may wait behind the others last
}

// submit has a call written to its engine: on an idle connection, a new one, or once one is free.
func (p *pool) submit(c *call) {
	idle := p.idle[c.engine.ID]
	for i := len(idle) - 1; i >= 0; i-- {
		if k := idle[i]; k.fits(c) {
			p.takeIdle(k)
			k.start(c)
			return
		}
	}
	if p.total >= p.max && !p.evict() {
		p.wait(c)
		return
	}
	p.dial(c)
}

// wait queues a call. A question that may wait stands behind all others: the engine answers it late anyway, and keeps
// the query meanwhile.
func (p *pool) wait(c *call) {
	i := len(p.waiting)
	for !c.later && i > 0 && p.waiting[i-1].later {
		i--
	}
	p.waiting = slices.Insert(p.waiting, i, c)
}

// fits tells whether a call may be written to an idle connection; see restFor. One on which something has come that is on
// its way to the loop is of no further use, and one to an address that the engine has left leads to another engine.
func (k *conn) fits(c *call) bool {
	return !c.fresh && k.engine.Address == c.engine.Address &&
		(k.about == c.about || k.pool.client.loop.Now()-k.heard >= restFor) && !k.c.HasUnread()
}

// takeIdle takes a connection off the idle ones.
func (p *pool) takeIdle(k *conn) {
	list := p.idle[k.engine.ID]
	if i := slices.Index(list, k); i >= 0 {
		list = slices.Delete(list, i, i+1)
	}
	if p.idle[k.engine.ID] = list; len(list) == 0 {
		delete(p.idle, k.engine.ID) // engines come and go for good
	}
}

func (p *pool) dial(c *call) {
	p.total++
	p.client.Counters.Dials++
	k := &conn{pool: p, engine: c.engine, call: c}
	c.conn = k
	p.dialing = append(p.dialing, k)
	k.c = p.client.dialer.Dial(c.engine.Address, p.client.connectTimeout, k)
}

// dialed takes a connection off those that are coming up.
func (p *pool) dialed(k *conn) {
	if i := slices.Index(p.dialing, k); i >= 0 {
		p.dialing = slices.Delete(p.dialing, i, i+1)
	}
}

// evict closes the idle connection that was silent longest.
func (p *pool) evict() bool {
	var oldest *conn
	for _, list := range p.idle {
		if len(list) > 0 && (oldest == nil || list[0].heard < oldest.heard ||
			list[0].heard == oldest.heard && list[0].engine.ID < oldest.engine.ID) {
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
	for {
		// Nobody waits any more for those that were given up; no connection is closed for them.
		for len(p.waiting) > 0 && p.waiting[0].done {
			p.waiting = p.waiting[1:]
		}
		if len(p.waiting) == 0 || p.total >= p.max && !p.evict() {
			return
		}
		c := p.waiting[0]
		p.waiting = p.waiting[1:]
		p.submit(c)
	}
}

// sweep closes connections that were idle for as long as an engine might keep them: a call that crosses the
// engine's own close would be lost.
func (p *pool) sweep() {
	now := p.client.loop.Now()
	for _, list := range p.idle {
		for _, k := range slices.Clone(list) {
			if now-k.heard > p.client.idleFor {
				k.close()
			}
		}
	}
}

// forget closes the idle connections to an engine that is gone: its address may pass to a new one.
func (p *pool) forget(id dispatch.EngineID) {
	for _, k := range slices.Clone(p.idle[id]) {
		k.close()
	}
}

var (
	errWithheld = errors.New("the engine gets nothing more, or is elsewhere")
	errTooLate  = errors.New("it was not begun in time")
)

// withhold ends the calls that would start a statement on an engine and of which nothing was written. It guards
// against work that reaches an engine after its ban was confirmed, or long after word of its drain or end: calls wait for a
// connection, or for it to come up.
func (p *pool) withhold(id dispatch.EngineID) {
	calls := slices.Clone(p.waiting)
	for _, k := range p.dialing {
		if k.call != nil {
			calls = append(calls, k.call)
		}
	}
	for _, c := range calls {
		if c.engine.ID == id && c.begins && !c.begun {
			c.abort(errWithheld)
		}
	}
}

// start writes a call.
func (k *conn) start(c *call) {
	if latest := c.latest(); latest > 0 && k.pool.client.loop.Now() > latest {
		k.call, c.conn = nil, nil
		k.pool.client.loop.Post(func() { c.finish(nil, errTooLate) }) // the caller does not expect it before it has returned
		k.free()
		return
	}
	k.call, k.about, c.conn, c.begun = c, c.about, k, true
	k.before = 0
	if !c.once {
		k.write(c, c.text)
		return
	}
	last := len(c.text) - 1
	if err := k.c.Write(c.text[:last]); err != nil {
		k.unwritten(err)
		return
	}
	c.timer = k.pool.client.loop.After(holdBack, func() { k.write(c, c.text[last:]) })
}

// write writes the rest of a call, after which it may have been read.
func (k *conn) write(c *call, rest []byte) {
	if err := k.c.Write(rest); err != nil {
		k.unwritten(err)
		return
	}
	c.wrote(k.pool.client)
}

// unwritten fails a call that was not written whole, which proves that it never ran. The end is posted: the caller does
// not expect it before it has returned.
func (k *conn) unwritten(err error) { k.pool.client.loop.Post(func() { k.fail(err) }) }

// Opened implements netio.Handler.
func (k *conn) Opened(c netio.Conn) {
	k.c, k.up, k.heard = c, true, k.pool.client.loop.Now()
	k.pool.dialed(k)
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
	if k.call == nil {
		// Of a whole answer or of half a line, it is the same: what comes next would be read behind it.
		k.fail(&badAnswer{errors.New("bytes on a connection that has no call")})
		return
	}
	k.buf = append(k.buf, b...)
	for len(k.buf) > 0 && !k.dead {
		r, n, err := parseResponse(k.buf)
		switch {
		case err != nil:
			k.fail(&badAnswer{err})
			return
		case r == nil:
			return
		}
		k.buf = k.buf[n:]
		if r.status < 200 { // an interim response
			if k.before++; k.before > maxInterim {
				k.fail(&badAnswer{errors.New("interim responses without end")})
			}
			continue
		}
		c := k.call
		r.more = len(k.buf) > 0
		if r.close || r.more || !c.written { // an engine may answer before it has read the whole call
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
		if i := slices.IndexFunc(p.waiting, func(c *call) bool {
			return !c.done && c.engine.ID == k.engine.ID && k.fits(c)
		}); i >= 0 {
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
	p.dialed(k)
	p.total--
	p.takeIdle(k)
	if k.c != nil {
		k.c.Close()
	}
	p.client.loop.Post(p.next)
}
