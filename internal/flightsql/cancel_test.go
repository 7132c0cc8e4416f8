package flightsql

import (
	"log/slog"
	"net"
	"testing"

	"google.golang.org/grpc"

	"github.com/apache/arrow-go/v18/arrow/flight"

	"windflow/dispatch"
	"windflow/internal/clock"
	"windflow/internal/router"
	"windflow/internal/routertest"
)

// What has not begun is taken back, however far its connection is, and its end is not heard; nothing of it is written. It
// guards against work for a client that has gone.
func TestRecall(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	loop := router.NewLoop(clock.NewSystem())
	c := NewClient(loop, 1000, 4, slog.New(slog.DiscardHandler))
	t.Cleanup(routertest.RunLoop(loop))
	heard := make(chan string, 8)
	attempts := make(chan router.Attempt, 2)
	loop.Post(func() {
		for _, once := range []bool{false, true} {
			attempts <- c.Start(router.Call{
				Engine: router.Engine{ID: 7, Address: lis.Addr().String()}, ID: "9b1f03aa5c7e2d41", Class: "x",
				Statement: "S", WaitMS: 60_000, AtMostOnce: once, OnSent: func() { heard <- "written" },
			}, func(router.End) { heard <- "ended" })
		}
	})
	for range 2 { // both are up, and the engine never speaks HTTP/2
		conn, err := lis.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
	}
	done := make(chan bool, 4)
	for range 2 {
		a := <-attempts
		loop.Post(func() { done <- a.CancelUnsent() })
		loop.Post(func() { done <- !a.CancelUnsent() })
		if !<-done || !<-done {
			t.Error("it was not taken back, or twice")
		}
	}
	left := make(chan int)
	for n := 1; n > 0; {
		loop.Post(func() { left <- len(c.out) })
		n = <-left
	}
	if len(heard) > 0 {
		t.Error("after it was taken back:", <-heard)
	}
}

// A call that has begun is not taken back; cancelled, it ends as that, and the engine hears it.
func TestCancelOfWhatRuns(t *testing.T) {
	started, heard := make(chan struct{}, 1), make(chan struct{}, 1)
	e := &rawEngine{put: func(s flight.FlightService_DoPutServer) error {
		if _, err := s.Recv(); err != nil {
			return err
		}
		started <- struct{}{}
		<-s.Context().Done()
		heard <- struct{}{}
		return s.Context().Err()
	}}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := grpc.NewServer()
	flight.RegisterFlightServiceServer(s, e)
	go func() { _ = s.Serve(lis) }()
	defer s.Stop()
	loop := router.NewLoop(clock.NewSystem())
	c := NewClient(loop, 1000, 4, slog.New(slog.DiscardHandler))
	t.Cleanup(routertest.RunLoop(loop))
	ends, attempts := make(chan router.End, 1), make(chan router.Attempt, 1)
	loop.Post(func() {
		attempts <- c.Start(router.Call{
			Engine: router.Engine{ID: 7, Address: lis.Addr().String()}, ID: "9b1f03aa5c7e2d41", Class: "x",
			Statement: "S", WaitMS: 60_000, AtMostOnce: true, Exclusive: true,
		}, func(e router.End) { ends <- e })
	})
	a := <-attempts
	<-started
	taken := make(chan bool, 1)
	loop.Post(func() {
		taken <- a.CancelUnsent()
		a.Cancel()
	})
	if <-taken {
		t.Error("what had begun was taken back")
	}
	if end := <-ends; end.Outcome != dispatch.Cancelled {
		t.Errorf("outcome %v: %s", end.Outcome, end.Detail)
	}
	<-heard
}

// An engine that is banned gets nothing more, however far a call has come that has not begun: both kinds of call end with
// proof that nothing ran, at once. Those that have begun go on.
func TestWithhold(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	silent := make(chan net.Conn, 4) // connections that come up and never speak HTTP/2, so that no call begins
	go func() {
		for {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			silent <- c
		}
	}()
	loop := router.NewLoop(clock.NewSystem())
	c := NewClient(loop, 1000, 4, slog.New(slog.DiscardHandler))
	t.Cleanup(routertest.RunLoop(loop))
	ends := make(chan router.End, 4)
	engine := router.Engine{ID: 7, Address: lis.Addr().String()}
	wrote := make(chan struct{}, 4)
	loop.Post(func() {
		for _, once := range []bool{false, true} {
			c.Start(router.Call{
				Engine: engine, ID: "9b1f03aa5c7e2d41", Class: "x", Statement: "S", WaitMS: 60_000, AtMostOnce: once,
				OnSent: func() { wrote <- struct{}{} },
			}, func(e router.End) { ends <- e })
		}
	})
	for range 2 {
		defer (<-silent).Close()
	}
	loop.Post(func() { c.CancelUnstarted(router.Engine{ID: 8}) })
	loop.Post(func() { c.CancelUnstarted(engine) })
	for range 2 {
		if e := <-ends; e.Outcome != dispatch.ConnectFailed {
			t.Errorf("outcome %v: %s", e.Outcome, e.Detail)
		}
	}
	if len(wrote) != 0 {
		t.Error("a call that was taken back counts as written")
	}
	done := make(chan int)
	loop.Post(func() { done <- len(c.out) })
	if n := <-done; n != 0 {
		t.Errorf("%d attempts are kept", n)
	}
}
