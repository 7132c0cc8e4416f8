package flightsql

import (
	"net"
	"testing"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight"

	"windflow/dispatch"
	"windflow/internal/router"
)

// attemptCount returns the number of attempts of the client. It blocks until the loop has counted them.
func attemptCount(c *Client, loop *router.Loop) int {
	count := make(chan int)
	loop.Post(func() { count <- len(c.attempts) })
	return <-count
}

// startTwoAttempts starts an idempotent and an at-most-once attempt, in that order. It must be called in the loop.
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

// An attempt of which nothing was sent can be cancelled once, whatever the state of its connection: nothing of it is
// written, and its end is not reported. Guards against engines that work for clients which have gone.
func TestCancelUnsent(t *testing.T) {
	lis := listen(t)
	c, loop := newEngineClient(t, 1000, 4)
	events := make(chan string, 8)
	started := make(chan []router.Attempt, 1)
	loop.Post(func() {
		started <- startTwoAttempts(c, engineAt(lis.Addr().String()),
			func() { events <- "written" }, func(router.End) { events <- "ended" })
	})
	for range 2 { // both attempts have a connection, on which the engine never speaks HTTP/2
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
			t.Errorf("CancelUnsent returned %v, then %v; want true, then false", first, second)
		}
	}
	for attemptCount(c, loop) > 0 {
		time.Sleep(time.Millisecond)
	}
	if len(events) > 0 {
		t.Error("event of a cancelled attempt:", <-events)
	}
}

// CancelUnsent returns false for an attempt that runs. Cancel ends it with the outcome Cancelled, and the engine sees
// the end of the call.
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
		t.Error("CancelUnsent returned true for a running attempt")
	}
	if end := <-ends; end.Outcome != dispatch.Cancelled {
		t.Errorf("outcome %v (%s), want Cancelled", end.Outcome, end.Detail)
	}
	<-cancelled
}

// A cordoned engine gets no further work: attempts of which nothing was sent, idempotent and at-most-once, end at once
// as ConnectFailed, whatever the state of their connections. Attempts at other engines are unaffected.
func TestCancelUnstarted(t *testing.T) {
	lis := listen(t)
	accepted := make(chan net.Conn, 4) // connections on which no call starts, because the server never speaks HTTP/2
	go func() {                        // ends when the listener closes
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
			t.Errorf("outcome %v (%s), want ConnectFailed", end.Outcome, end.Detail)
		}
	}
	if len(written) != 0 {
		t.Error("a cancelled attempt was reported as written")
	}
	if n := attemptCount(c, loop); n != 0 {
		t.Errorf("the client has %d attempts, want none", n)
	}
}
