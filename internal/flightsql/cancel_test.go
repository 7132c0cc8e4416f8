package flightsql

import (
	"net"
	"testing"

	"github.com/apache/arrow-go/v18/arrow/flight"

	"windflow/dispatch"
	"windflow/internal/router"
)

// attemptCount returns how many attempts the client has; it waits for the loop.
func attemptCount(c *Client, loop *router.Loop) int {
	count := make(chan int)
	loop.Post(func() { count <- len(c.attempts) })
	return <-count
}

// startBoth starts an idempotent attempt and one that must not run twice, in that order. It is called in the loop.
func startTwoAttempts(c *Client, engine router.Engine, onSent func(), onEnd func(router.End)) []router.Attempt {
	var started []router.Attempt
	for _, atMostOnce := range []bool{false, true} {
		started = append(started, c.Start(router.Call{
			Engine: engine, ID: "9b1f03aa5c7e2d41", Class: "x", Statement: "S", WaitMS: 60_000, AtMostOnce: atMostOnce,
			OnSent: onSent,
		}, onEnd))
	}
	return started
}

// An attempt that has not begun can be cancelled unsent once, whatever the state of its connection: nothing of it is
// written, and its end is not reported. No engine works for a client that has gone.
func TestCancelUnsent(t *testing.T) {
	lis := listen(t)
	c, loop := newEngineClient(t, 1000, 4)
	events := make(chan string, 8)
	started := make(chan []router.Attempt, 1)
	loop.Post(func() {
		started <- startTwoAttempts(c, engineAt(lis.Addr().String()),
			func() { events <- "written" }, func(router.End) { events <- "ended" })
	})
	for range 2 { // both are connected, and the engine never speaks HTTP/2
		conn, err := lis.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	cancelled := make(chan bool, 4)
	for _, a := range <-started {
		loop.Post(func() { cancelled <- a.CancelUnsent() })
		loop.Post(func() { cancelled <- a.CancelUnsent() })
		first, second := <-cancelled, <-cancelled
		if !first || second {
			t.Errorf("cancelled unsent: %v, and again: %v", first, second)
		}
	}
	for attemptCount(c, loop) > 0 {
	}
	if len(events) > 0 {
		t.Error("after it was cancelled:", <-events)
	}
}

// An attempt that has begun cannot be cancelled unsent; cancelled, it ends as such, and the engine learns of it.
func TestCancelOfRunningAttempt(t *testing.T) {
	began, cancelled := make(chan struct{}, 1), make(chan struct{}, 1)
	engine := engineAt(serveEngine(t, &rawEngine{put: func(s flight.FlightService_DoPutServer) error {
		if _, err := s.Recv(); err != nil {
			return err
		}
		began <- struct{}{}
		<-s.Context().Done()
		cancelled <- struct{}{}
		return s.Context().Err()
	}}))
	c, loop := newEngineClient(t, 1000, 4)
	ends, attempts := make(chan router.End, 1), make(chan router.Attempt, 1)
	loop.Post(func() {
		attempts <- c.Start(router.Call{
			Engine: engine, ID: "9b1f03aa5c7e2d41", Class: "x",
			Statement: "S", WaitMS: 60_000, AtMostOnce: true, Exclusive: true,
		}, func(end router.End) { ends <- end })
	})
	a := <-attempts
	<-began
	unsent := make(chan bool, 1)
	loop.Post(func() {
		unsent <- a.CancelUnsent()
		a.Cancel()
	})
	if <-unsent {
		t.Error("a running attempt was cancelled as unsent")
	}
	if end := <-ends; end.Outcome != dispatch.Cancelled {
		t.Errorf("outcome %v: %s", end.Outcome, end.Detail)
	}
	<-cancelled
}

// An engine that is cordoned receives no further work: attempts that have not begun, of both kinds and whatever the
// state of their connections, end at once with proof that nothing ran. Those that have begun continue.
func TestCancelUnstarted(t *testing.T) {
	lis := listen(t)
	accepted := make(chan net.Conn, 4) // connections that never speak HTTP/2, so that no call begins
	go func() {                        // the listener's close ends it
		for {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	c, loop := newEngineClient(t, 1000, 4)
	ends := make(chan router.End, 4)
	engine := engineAt(lis.Addr().String())
	written := make(chan struct{}, 4)
	loop.Post(func() {
		startTwoAttempts(c, engine, func() { written <- struct{}{} }, func(end router.End) { ends <- end })
	})
	for range 2 {
		defer (<-accepted).Close()
	}
	loop.Post(func() { c.CancelUnstarted(router.Engine{ID: 8}) })
	loop.Post(func() { c.CancelUnstarted(engine) })
	for range 2 {
		if end := <-ends; end.Outcome != dispatch.ConnectFailed {
			t.Errorf("outcome %v: %s", end.Outcome, end.Detail)
		}
	}
	if len(written) != 0 {
		t.Error("a cancelled attempt counts as written")
	}
	if n := attemptCount(c, loop); n != 0 {
		t.Errorf("%d attempts are kept", n)
	}
}
