package node

import (
	"errors"
	"flag"
	"fmt"
	"strings"
	"syscall"
	"testing"

	"pgregory.net/rapid"

	"windflow/dispatch"
	"windflow/internal/netio"
)

// Generates sequences of events of clients, engines, discovery, operators and the clock, and checks after each event:
//   - Each request gets exactly one answer.
//   - No attempt starts for a client that has cancelled, at an engine that is cordoned, drained or removed, after the
//     request's deadline, or outside the idempotency window.
//   - No load runs twice.
//   - No connection is used again after it has delivered data that belongs to no call.
//   - In the end no request, session, connection or timer is left.
//
// The real client sessions, core, dispatch module and engine connections run here. Each event happens when the
// generator draws it, so no result depends on a race.
func TestEventInterleavings(t *testing.T) {
	// The seed is fixed, so that every run generates the same sequences, unless the command line sets one.
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "1500", "rapid.steps": "80"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := flag.Set(name, value); err != nil {
				t.Fatal(err)
			}
			defer func() { _ = flag.Set(name, f.DefValue) }()
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		w := newInterleavingHarness(t)
		w.run()
		t.Repeat(map[string]func(*rapid.T){
			"begin request":       func(t *rapid.T) { w.clientQueries(t) },
			"begin request again": func(t *rapid.T) { w.clientQueries(t) },
			"client cancels":      func(t *rapid.T) { w.clientCancels(t) },
			"dial completes":      func(t *rapid.T) { w.dialCompletes(t) },
			"engine acts":         func(t *rapid.T) { w.engineActs(t) },
			"engine acts again":   func(t *rapid.T) { w.engineActs(t) },
			"update endpoints":    func(t *rapid.T) { w.endpointsChange(t) },
			"change cordon":       func(t *rapid.T) { w.operatorCordons(t) },
			"wait": func(t *rapid.T) {
				w.advance(float64(rapid.SampledFrom([]int{1, 11, 60, 130, 260, 700}).Draw(t, "ms")))
			},
			"": func(*rapid.T) { w.checkAnswers(false) },
		})
		w.advance(9000)
		w.checkAnswers(true)
		for _, c := range w.clients {
			if !c.closed {
				c.closed = true
				c.handler.Closed(errors.New("closed by the client"))
			}
		}
		w.advance(12_000)
		w.checkNothingLeft()
	})
}

// clientQueries sends a request from a new client.
func (w *interleavingHarness) clientQueries(t *rapid.T) {
	w.startRequest(rapid.IntRange(0, len(interleavingClasses)-1).Draw(t, "class"),
		float64(rapid.SampledFrom([]int{200, 900, 4000}).Draw(t, "budget")))
	w.runOrBatch(t)
}

// runOrBatch runs the event loop, or leaves the pending events, so that it handles them together with the next ones.
func (w *interleavingHarness) runOrBatch(t *rapid.T) {
	if rapid.Bool().Draw(t, "run loop now") {
		w.run()
	}
}

// clientCancels closes the connection of a waiting client, or kills its query from another session.
func (w *interleavingHarness) clientCancels(t *rapid.T) {
	var waiting []*simulatedClient
	for _, c := range w.clients {
		if !c.closed && c.cancelledAt == 0 && c.answers == 0 {
			waiting = append(waiting, c)
		}
	}
	if len(waiting) == 0 {
		return
	}
	c := rapid.SampledFrom(waiting).Draw(t, "client")
	c.cancelledAt = w.now.MS
	if rapid.Bool().Draw(t, "closes connection") {
		c.closed = true
		w.loop.Post(func() { c.handler.Closed(errors.New("closed by the client")) })
	} else {
		w.loop.Post(func() {
			killer := &simulatedClient{harness: w, handler: w.front.NewSession()}
			killer.handler.Opened(killer)
			killer.handler.Data(mysqlPacket(1, append([]byte{0x0d, 0xa2, 0x0f, 0, 0, 0, 0, 1, 45},
				append(make([]byte, 23), "app\x00\x00warehouse\x00"...)...)), w.now.MS)
			killer.handler.Data(mysqlPacket(0, fmt.Appendf([]byte{3}, "KILL QUERY %d", c.session)), w.now.MS)
			killer.Close()
		})
	}
	w.runOrBatch(t)
}

// dialCompletes lets a pending dial succeed or fail.
func (w *interleavingHarness) dialCompletes(t *rapid.T) {
	var dials []*simulatedConn
	for _, p := range w.conns {
		if !p.opened && !p.closed {
			dials = append(dials, p)
		}
	}
	if len(dials) == 0 {
		return
	}
	p := rapid.SampledFrom(dials).Draw(t, "connection attempt")
	fails := rapid.IntRange(0, 4).Draw(t, "refused") == 0
	w.loop.Post(func() {
		switch {
		case p.closed || p.opened: // the dial has timed out or completed meanwhile
		case fails:
			p.closed = true
			for _, c := range w.clients { // the engine is not running, so its attempts have ended
				for _, post := range c.attempts {
					post.ended = post.ended || post.engine == p.engine
				}
			}
			p.handler.Closed(errors.Join(netio.ErrNotConnected, syscall.ECONNREFUSED))
		default:
			p.opened = true
			p.handler.Opened(p)
		}
	})
	w.runOrBatch(t)
}

// completeAnswer is an engine's answer that serves a request.
const completeAnswer = "HTTP/1.1 200 OK\r\nX-Parts: 1\r\nX-Cpu-Ms: 5\r\nContent-Length: 6\r\n\r\n1\t2\t3\n"

// engineActs lets an engine answer the first open call on a connection, correctly or not, or disturb an idle
// connection.
func (w *interleavingHarness) engineActs(t *rapid.T) {
	var open []*simulatedConn
	for _, conn := range w.conns {
		if conn.opened && !conn.closed {
			open = append(open, conn)
		}
	}
	if len(open) == 0 {
		return
	}
	conn := rapid.SampledFrom(open).Draw(t, "connection")
	if len(conn.requests) == 0 {
		w.engineDisturbsIdleConn(t, conn)
	} else {
		head := conn.requests[0]
		conn.requests = conn.requests[1:]
		if strings.HasPrefix(head, "DELETE") || strings.HasPrefix(head, "PUT") {
			w.engineConfirms(t, conn)
		} else {
			w.engineAnswers(t, conn, head)
		}
	}
	w.runOrBatch(t)
}

// engineDisturbsIdleConn lets an engine close an idle connection, send data on it that belongs to no call, or do
// nothing.
func (w *interleavingHarness) engineDisturbsIdleConn(t *rapid.T, conn *simulatedConn) {
	switch rapid.IntRange(0, 5).Draw(t, "idle connection") {
	case 0:
		w.close(conn)
	case 1:
		if conn.partialPost == "" {
			w.engineSends(conn, "HTTP/1.1 20", true)
		}
	}
}

// engineConfirms lets an engine answer a cancel or priority call, or lose the connection.
func (w *interleavingHarness) engineConfirms(t *rapid.T, conn *simulatedConn) {
	if rapid.IntRange(0, 3).Draw(t, "connection lost") == 0 {
		w.close(conn)
	} else {
		w.engineSends(conn, "HTTP/1.1 204 No Content\r\n\r\n", false)
	}
}

// engineAnswers lets an engine answer a POST or a GET in one of several ways, correct or not. head is the request line
// and the header of the call.
func (w *interleavingHarness) engineAnswers(t *rapid.T, conn *simulatedConn, head string) {
	attempt := w.latestAttempt(requestID(head), conn.engine)
	answers := []string{
		"complete", "complete", "pending", "pending", "full", "error", "reset", "truncated", "duplicate", "unsolicited",
		"none",
	}
	switch rapid.SampledFrom(answers).Draw(t, "answer") {
	case "complete":
		attempt.ended = true
		w.engineSends(conn, completeAnswer, false)
	case "pending":
		w.engineSends(conn, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n", false)
	case "full":
		notBegunHeader := ""
		if attempt.ended = true; strings.HasPrefix(head, "POST") {
			attempt.neverRan, notBegunHeader = true, "Not-Begun: 1\r\n"
		}
		w.engineSends(conn, "HTTP/1.1 503 Full\r\n"+notBegunHeader+"Content-Length: 0\r\n\r\n", false)
	case "error":
		attempt.ended = true
		w.engineSends(conn, "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n", false)
	case "reset":
		w.close(conn)
	case "truncated":
		attempt.ended = true
		w.engineSends(conn, completeAnswer[:30], false)
		w.close(conn)
	case "duplicate":
		attempt.ended = true
		w.engineSends(conn, completeAnswer, false)
		w.engineSends(conn, completeAnswer, true)
	case "unsolicited":
		w.engineSends(conn, "no engine says that\r\n\r\n", true)
	}
}

// engineSends sends text from an engine on a connection. stray says that it belongs to no call, so the router must not
// use the connection again once it has read it.
func (w *interleavingHarness) engineSends(p *simulatedConn, text string, stray bool) {
	p.unread = append(p.unread, text...)
	w.loop.Post(func() {
		p.unread = p.unread[len(text):]
		if !p.closed {
			p.handler.Data([]byte(text), w.now.MS)
			p.strayData = p.strayData || stray
		}
	})
}

// close lets an engine reset a connection.
func (w *interleavingHarness) close(p *simulatedConn) {
	w.loop.Post(func() {
		if !p.closed {
			p.closed = true
			p.handler.Closed(syscall.ECONNRESET)
		}
	})
}

// endpointsChange sends an endpoint event that makes an engine live, draining or removed.
func (w *interleavingHarness) endpointsChange(t *rapid.T) {
	id := dispatch.EngineID(rapid.IntRange(1, 3).Draw(t, "engine"))
	state := rapid.SampledFrom([]dispatch.EndpointState{
		dispatch.Live, dispatch.Live, dispatch.Draining, dispatch.Removed,
	}).Draw(t, "state")
	w.loop.Post(func() { w.updateEndpoint(id, state) })
	w.runOrBatch(t)
}

// operatorCordons cordons or uncordons an engine as an operator does. The cordon is in force from the moment at which
// the core has accepted it.
func (w *interleavingHarness) operatorCordons(t *rapid.T) {
	id := dispatch.EngineID(rapid.IntRange(1, 3).Draw(t, "engine"))
	cordon := rapid.Bool().Draw(t, "cordon")
	w.loop.Post(func() {
		if !cordon {
			delete(w.cordonedSince, id)
			w.core.Uncordon(id)
		} else if w.core.Cordon(id) {
			w.cordonedSince[id] = w.now.MS
		}
	})
	w.runOrBatch(t)
}

// checkAnswers checks that no client has more than one answer, and that each client that has not cancelled has one 20
// ms after its deadline. With final set, every deadline is taken to have passed.
func (w *interleavingHarness) checkAnswers(final bool) {
	for _, c := range w.clients {
		if c.answers > 1 {
			w.fail("%s has %d answers, want one", c.id, c.answers)
		}
		if c.cancelledAt == 0 && c.answers == 0 && (final || w.now.MS > c.deadline+20 && !w.loop.Step()) {
			w.run()
			if c.answers == 0 {
				w.fail("%s has no answer %.0f ms after its deadline", c.id, w.now.MS-c.deadline)
			}
		}
	}
}

// checkNothingLeft checks that no request, session, connection or timer is left after all clients have disconnected.
func (w *interleavingHarness) checkNothingLeft() {
	open := 0
	for _, p := range w.conns {
		if !p.closed {
			open++
		}
	}
	if w.core.OpenRequests() > 0 || w.front.Sessions() > 0 || open > 0 || w.engines.ConnCount() > 0 {
		w.fail("left: %d requests, %d sessions, %d connections, %d connections in the client's count",
			w.core.OpenRequests(), w.front.Sessions(), open, w.engines.ConnCount())
	}
	// The periodic sweeps of sessions, of connections and of the dispatch module, and one timer that has expired.
	if n := w.loop.PendingTimers(); n > 4 {
		w.fail("%d timers are left, want at most 4", n)
	}
}
