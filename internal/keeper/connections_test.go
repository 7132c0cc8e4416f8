package keeper_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"windflow/internal/keeper"
)

// Guards against a call that a keeper never reads because idle clients hold all of its connections: the one that has
// been idle longest is closed.
func TestIdleConnectionsMakeRoomForCalls(t *testing.T) {
	g := startGroup(t, 1, func(_ int, o *keeper.Options) { o.MaxWaitingFollowers = 1 })
	address := g.members[0].options.HTTPAddr
	var oldest net.Conn
	for range keeper.MaxConnections(1) + 1 {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if _, err := io.WriteString(conn, "GET /v1/status HTTP/1.1\r\nHost: k\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := conn.Read(make([]byte, 16<<10)); err != nil {
			t.Fatalf("no answer: %v", err)
		}
		if oldest == nil {
			oldest = conn
		}
	}
	began := time.Now()
	if code := g.get(0, "/v1/status", nil); code != http.StatusOK || time.Since(began) > time.Second {
		t.Errorf("a call beside idle clients: status %d after %v, want 200 at once", code, time.Since(began))
	}
	_ = oldest.SetReadDeadline(time.Now().Add(time.Second))
	if _, err := io.Copy(io.Discard, oldest); err != nil {
		t.Errorf("the client that was idle longest is still connected: %v", err)
	}
}

// Guards against a keeper that exceeds any memory limit: clients on all connections stop half way through the longest
// body. A change with a small body is committed beside them.
func TestHalfBodiesStayWithinMemory(t *testing.T) {
	const declared, sent, clients = 4 << 20, 3 << 20, 200
	g := startGroup(t, 1, nil)
	head := fmt.Sprintf("POST /v1/changes HTTP/1.1\r\nHost: k\r\nContent-Length: %d\r\n\r\n", declared)
	body := bytes.Repeat([]byte(" "), sent)
	for range clients {
		conn, err := net.Dial("tcp", g.members[0].options.HTTPAddr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		go func() { // returns when the keeper has read all of it, or the connection ends
			_, _ = io.WriteString(conn, head)
			_, _ = conn.Write(body)
		}()
	}
	largest, began := 0, time.Now()
	for ; time.Since(began) < 3*time.Second; time.Sleep(50 * time.Millisecond) {
		largest = max(largest, residentKB(t, g.members[0].cmd.Process.Pid))
	}
	t.Logf("%d MB resident at most", largest>>10)
	if largest > 2*maxIdleKB && !raceEnabled {
		t.Errorf("%d kB resident beside half bodies, want at most %d", largest, 2*maxIdleKB)
	}
	g.change(0, put("first", "/settings/over-share-worth", "1"))
}
