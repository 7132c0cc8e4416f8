package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"
)

// engineEntry returns the entry of one engine for the configured list of engines.
func engineEntry(addr string) string {
	return fmt.Sprintf(`{"id":"s-00000001","host_port":"%s","locality":"a","flavor":"std","phase":"active","size":1}`,
		addr)
}

// inLoop runs f in the router's event loop and waits until it returns.
func inLoop(n *node, f func()) {
	done := make(chan struct{})
	n.loop.Post(func() {
		defer close(done)
		f()
	})
	<-done
}

// A request that arrives on an idle connection just before the router ends its sessions, and that the event loop has
// not read yet, is answered before the connection is closed. An idle connection is closed at once. Neither is reset.
// Guards against closing a socket that has unread bytes: the kernel then resets the connection, which loses the request
// and an answer that the client has not read.
func TestRequestDuringConnectionShutdown(t *testing.T) {
	n := startRouter(t, []string{engineEntry(newBlockingEngine().serve(t))})
	requesting, err := dialMySQL(n.listeners.clientsAddress)
	if err != nil {
		t.Fatal(err)
	}
	idle, err := dialMySQL(n.listeners.clientsAddress)
	if err != nil {
		t.Fatal(err)
	}
	type answer struct {
		rows, code int
		err        error
	}
	answered := make(chan answer, 1)
	inLoop(n, func() {
		// The event loop is blocked here, so it reads this request only after the shutdown of sessions has begun.
		q := query("lookup", 1, "SELECT 1")
		if err := requesting.write(0, append([]byte{3}, q...)); err != nil {
			t.Error(err)
		}
		n.services.front.Shutdown()
	})
	go func() {
		rows, code, err := requesting.answer()
		answered <- answer{rows, code, err}
	}()
	if a := <-answered; a != (answer{rows: 1}) {
		t.Errorf("request that arrived during the shutdown: %+v, want one row", a)
	}
	for name, c := range map[string]*mysqlClient{"requesting": requesting, "idle": idle} {
		checkClosed(t, name, c)
	}
}

// A client whose connection was accepted before the router stops listening is served, even if the event loop has not
// seen it yet. A later client is refused at once. Guards against connections that are accepted and then dropped at
// shutdown.
func TestAcceptedClientServedDuringShutdown(t *testing.T) {
	n := startRouter(t, []string{engineEntry(newBlockingEngine().serve(t))})
	accepted := make(chan *mysqlClient, 1)
	inLoop(n, func() {
		c, err := net.Dial("tcp", n.listeners.clientsAddress)
		if err != nil {
			t.Error(err)
			close(accepted)
			return
		}
		m := &mysqlClient{conn: c, reader: bufio.NewReader(c)}
		if err := errors.Join(m.sendLogin(), m.write(0, append([]byte{3}, query("lookup", 1, "SELECT 1")...))); err != nil {
			t.Error(err)
		}
		for n.listeners.clients.Pending() == 0 { // until it is accepted; the blocked event loop has not seen it
			runtime.Gosched()
		}
		n.shutdown.closeConnections(n.loop.Now())
		accepted <- m
	})
	m := <-accepted
	for range 2 { // the greeting and the answer to the login
		if _, err := m.packet(); err != nil {
			t.Fatal(err)
		}
	}
	checkServedAnswer(t, m, "client accepted before the shutdown")
	if _, err := net.Dial("tcp", n.listeners.clientsAddress); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("dial after the shutdown: %v, want connection refused", err)
	}
}

// Clients that never finish a packet, and reconnect whenever the router times them out, do not delay the end of the
// process past the deadline by which open requests are answered. Guards against a router that does not end in time and
// is then killed by the platform.
func TestIncompletePacketsDoNotDelayShutdown(t *testing.T) {
	shortDeadlines := strings.NewReplacer("5000000000", "300000000", "25000000000", "300000000").Replace(mixedSettings)
	n := startRouterWith(t, []string{engineEntry(newBlockingEngine().serve(t))}, shortDeadlines)
	stop := make(chan struct{})
	defer close(stop)
	partlySent := make(chan struct{}, 16)
	for range 3 {
		go func() {
			for {
				c, err := net.Dial("tcp", n.listeners.clientsAddress)
				if err != nil {
					return
				}
				_, _ = c.Write([]byte{40, 0, 0, 1, 0})
				select {
				case partlySent <- struct{}{}:
				default:
				}
				_, _ = io.Copy(io.Discard, c) // until the router closes the connection
				_ = c.Close()
				select {
				case <-stop:
					return
				default:
				}
			}
		}()
	}
	<-partlySent
	signaledAt := 0.0
	inLoop(n, func() {
		signaledAt = n.loop.Now()
		n.signal(syscall.SIGTERM)
	})
	select {
	case <-n.life.done:
	case <-time.After(20 * time.Second):
		t.Fatal("the router does not end while clients have sent incomplete packets")
	}
	// The event loop has ended, so its state can be read here.
	if by := n.shutdown.answeredBy + endSlackMS - signaledAt; by >= 300+700 {
		t.Errorf("the process may end %.0f ms after the signal; the platform may kill it after 1000 ms", by)
	}
}
