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

// listedEngine is an entry of the list of engines.
func engineEntry(addr string) string {
	return fmt.Sprintf(`{"id":"s-00000001","host_port":"%s","locality":"a","flavor":"std","phase":"active","size":1}`,
		addr)
}

// inLoop runs f in the router's loop and waits for it.
func inLoop(n *node, f func()) {
	done := make(chan struct{})
	n.loop.Post(func() {
		defer close(done)
		f()
	})
	<-done
}

// A request that has arrived at an idle connection when the router ends its sessions, and that the loop has not read,
// is taken and answered; then the client reads the end, as an idle one does at once. Neither is reset. It
// guards against a close over unread bytes, which loses the request, and with it an answer that the client has not
// read.
func TestRequestDuringConnectionEnd(t *testing.T) {
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
		// The loop is blocked here, so that what is written now is read after the end has begun.
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
		t.Errorf("the request that crossed the end: %+v", a)
	}
	for name, c := range map[string]*mysqlClient{"requesting": requesting, "idle": idle} {
		checkClosed(t, name, c)
	}
}

// A client whose connection was accepted before the router stops listening, and which the loop has not seen, is
// served; one that arrives after is rejected at once. It guards against connections that are taken and dropped at the
// end.
func TestAcceptedClientServedAtEnd(t *testing.T) {
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
		for n.listeners.clients.Pending() == 0 { // until it is accepted; the loop is blocked, so it has not seen it
			runtime.Gosched()
		}
		n.shutdown.closeConnections(n.loop.Now())
		accepted <- m
	})
	m := <-accepted
	for range 2 { // the greeting, and the answer to the login
		if _, err := m.packet(); err != nil {
			t.Fatal(err)
		}
	}
	checkServedAnswer(t, m, "accepted before the end:")
	if _, err := net.Dial("tcp", n.listeners.clientsAddress); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a client after the end: %v", err)
	}
}

// A client that never finishes a packet, and reconnects whenever its time is up, does not delay the end past the
// time by which everything is answered: a kill follows then. It guards against a router that has to be killed.
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
				_, _ = io.Copy(io.Discard, c) // until its time is up
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
		t.Fatal("it does not end while clients are half open")
	}
	// The loop has ended: its state may be read.
	if by := n.shutdown.answeredBy + endSlackMS - signaledAt; by >= 300+700 {
		t.Errorf("the end is %.0f ms after the signal; a kill may come after 1000", by)
	}
}
