package flightsql

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	fsql "github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
)

// testMaxConnections is the limit of connections of the front that newFront starts.
const testMaxConnections = 8

// dialIdle opens an HTTP/2 connection, waits for the server's settings, and sends nothing more.
func dialIdle(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	framer := http2.NewFramer(conn, conn)
	if _, err := io.WriteString(conn, http2.ClientPreface); err != nil {
		t.Fatal(err)
	}
	if err := framer.WriteSettings(); err != nil {
		t.Fatal(err)
	}
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if frame, err := framer.ReadFrame(); err != nil {
		t.Fatalf("no settings: %v, %v", frame, err)
	}
	return conn
}

// readUntilEnd reads frames until the connection ends, and reports whether a GOAWAY came before.
func readUntilEnd(t *testing.T, conn net.Conn) (goAway bool) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	framer := http2.NewFramer(io.Discard, conn)
	for {
		frame, err := framer.ReadFrame()
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			t.Fatal("the connection did not end")
		}
		if err != nil {
			return goAway
		}
		if _, ok := frame.(*http2.GoAwayFrame); ok {
			goAway = true
		}
	}
}

// newTestClient returns a further client of a front; it connects with its first call.
func newTestClient(t *testing.T, f *Front) *fsql.Client {
	t.Helper()
	client, err := fsql.NewClient(f.Addr(), nil, nil, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	return client
}

// fillWithCalls opens testMaxConnections connections with an open update each, and returns the results of the updates
// and the functions that cancel them.
func fillWithCalls(t *testing.T, f *Front, engines *scriptedEngines) (chan error, []context.CancelFunc) {
	t.Helper()
	results := make(chan error, testMaxConnections)
	var cancels []context.CancelFunc
	for i := range testMaxConnections {
		client, id := newTestClient(t, f), fmt.Sprintf("a%015x", i)
		ctx, cancel := context.WithCancel(callCtx(t, 20*time.Second, "rid", id, "method", "load"))
		cancels = append(cancels, cancel)
		go func() {
			_, err := client.ExecuteUpdate(ctx, "hang")
			results <- err
		}()
		for engines.runsOf(id) == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	return results, cancels
}

// Guards against a call that is neither answered nor turned away because idle clients hold all connections: the client
// that has been idle longest is asked to leave, and the call is answered.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	f, _, client := newFront(t)
	oldest := dialIdle(t, f.Addr())
	for range testMaxConnections - 1 {
		time.Sleep(5 * time.Millisecond)
		dialIdle(t, f.Addr())
	}
	ctx := callCtx(t, 3*time.Second, "rid", "0000000000000001", "method", "lookup")
	if rows, err := fetch(ctx, client, "serve"); rows != 2 || err != nil {
		t.Errorf("%d rows, error %v, want 2 rows", rows, err)
	}
	if !readUntilEnd(t, oldest) {
		t.Error("the connection that was idle longest ended without GOAWAY")
	}
	if evicted := f.Counters.Evicted.Load(); evicted != 1 {
		t.Errorf("%d connections evicted, want 1", evicted)
	}
}

// Guards against a sound client that loses a call by an eviction: gRPC clients whose idle connections are evicted, over
// and over, get an answer to each call.
func TestEvictedClientsLoseNoCall(t *testing.T) {
	f, _, _ := newFront(t)
	const clients, calls = 2 * testMaxConnections, 20
	failed := make(chan error, clients)
	for i := range clients {
		client := newTestClient(t, f)
		go func() {
			for call := range calls {
				id := fmt.Sprintf("%08x%08x", i, call)
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				ctx = metadata.AppendToOutgoingContext(ctx, "rid", id, "method", "lookup")
				_, err := client.ExecuteUpdate(ctx, "serve", grpc.WaitForReady(true))
				cancel()
				if err != nil {
					failed <- err
					return
				}
				time.Sleep(20 * time.Millisecond)
			}
			failed <- nil
		}()
	}
	for range clients {
		if err := <-failed; err != nil {
			t.Error(err)
		}
	}
	if f.Counters.Evicted.Load() == 0 {
		t.Error("no connection was evicted, so the test shows nothing")
	}
}

// Guards against begun work that is cut off to make room: connections with an open call stay, and a further one is
// turned away within its client's time.
func TestOpenCallsAreNotEvicted(t *testing.T) {
	f, engines, _ := newFront(t)
	results, _ := fillWithCalls(t, f, engines)
	conn, err := net.Dial("tcp", f.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	began := time.Now()
	_ = conn.SetReadDeadline(began.Add(3 * time.Second))
	if n, err := conn.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read %d bytes, %v, want the end of the connection", n, err)
	}
	if f.Counters.TurnedAway.Load() != 1 || f.Counters.Evicted.Load() != 0 {
		t.Errorf("%d turned away, %d evicted, want 1 and 0", f.Counters.TurnedAway.Load(), f.Counters.Evicted.Load())
	}
	select {
	case err := <-results:
		t.Errorf("an open call ended: %v", err)
	default:
	}
}

// Guards against a sound client that is turned away although a connection ends in time: it waits for the free place.
func TestConnectionWaitsForFreePlace(t *testing.T) {
	f, engines, client := newFront(t)
	_, cancels := fillWithCalls(t, f, engines)
	time.AfterFunc(300*time.Millisecond, cancels[0])
	ctx := callCtx(t, 3*time.Second, "rid", "0000000000000001", "method", "lookup")
	if _, err := client.ExecuteUpdate(ctx, "serve"); err != nil {
		t.Error(err)
	}
	if turnedAway := f.Counters.TurnedAway.Load(); turnedAway != 0 {
		t.Errorf("%d connections turned away, want none", turnedAway)
	}
}

// Guards against a flood of connections that use up the descriptors: beyond those that are served and those that wait,
// connections are closed at once.
func TestConnectionFloodIsTurnedAway(t *testing.T) {
	f, engines, _ := newFront(t)
	fillWithCalls(t, f, engines)
	var last net.Conn
	for range MaxWaitingConnections + 1 {
		conn, err := net.Dial("tcp", f.Addr())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		last = conn
	}
	_ = last.SetReadDeadline(time.Now().Add(admissionTimeout / 2))
	if _, err := last.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the connection after those that wait: %v, want its end at once", err)
	}
}

// The tracker counts a stream as open from its headers until the end of the answer or a reset, however the bytes are
// split.
func TestStreamTrackerOfSplitFrames(t *testing.T) {
	var in, out, headers bytes.Buffer
	_ = hpack.NewEncoder(&headers).WriteField(hpack.HeaderField{Name: ":path", Value: "/x"})
	in.WriteString(http2.ClientPreface)
	client, server := http2.NewFramer(&in, nil), http2.NewFramer(&out, nil)
	block := headers.Bytes()
	must := func(err error) {
		if err != nil {
			t.Fatal(err)
		}
	}
	must(client.WriteSettings())
	must(client.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: block[:1]}))
	must(client.WriteContinuation(1, true, block[1:]))
	must(client.WriteData(1, true, []byte("abc")))
	for _, id := range []uint32{3, 5, 7} {
		must(client.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: block, EndHeaders: true}))
	}
	must(client.WriteRSTStream(5, http2.ErrCodeCancel))
	must(server.WriteSettings())
	must(server.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: block, EndHeaders: true}))
	must(server.WriteData(1, false, []byte("rows")))
	must(server.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: block, EndHeaders: true, EndStream: true}))
	must(server.WriteRSTStream(7, http2.ErrCodeRefusedStream))
	for size := 1; size <= in.Len(); size++ {
		tracker := newStreamTracker()
		for part := in.Bytes(); len(part) > 0; part = part[min(size, len(part)):] {
			tracker.received(part[:min(size, len(part))])
		}
		if len(tracker.open) != 3 {
			t.Fatalf("parts of %d bytes: %d streams open, want 3", size, len(tracker.open))
		}
		for part := out.Bytes(); len(part) > 0; part = part[min(size, len(part)):] {
			tracker.sent(part[:min(size, len(part))])
		}
		if _, ok := tracker.open[3]; !ok || len(tracker.open) != 1 {
			t.Fatalf("parts of %d bytes: open %v after the answers, want stream 3", size, tracker.open)
		}
	}
	tracker := newStreamTracker()
	tracker.received(in.Bytes()[:len(http2.ClientPreface)+9+9+1]) // the header block of stream 1 is not whole
	if len(tracker.open) != 0 {
		t.Errorf("open %v after a part of a header block, want none", tracker.open)
	}
}
