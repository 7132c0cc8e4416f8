package configclient

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"windflow/internal/decide/configlog"
)

// countingListener counts the bytes that are received and sent on the connections that it accepts.
type countingListener struct {
	net.Listener
	in, out atomic.Int64
}

type countingConn struct {
	net.Conn
	listener *countingListener
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l}, err
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.listener.in.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.listener.out.Add(int64(n))
	return n, err
}

// BenchmarkPoll measures a poll without a newer revision. It includes the keeper's side, which runs in the same
// process. The reported bytes are those of HTTP.
func BenchmarkPoll(b *testing.B) {
	noContent := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }
	server := httptest.NewUnstartedServer(http.HandlerFunc(noContent))
	listener := &countingListener{Listener: server.Listener}
	server.Listener = listener
	server.Start()
	defer server.Close()
	conn := &keeperConn{}
	follower := configlog.NewFollower("router-0001", configlog.NewInstanceID(1, 1))
	b.ReportAllocs()
	for b.Loop() {
		_, isNewer, err := conn.poll(context.Background(), listener.Addr().String(), follower.Status(), 2000)
		if isNewer || err != nil {
			b.Fatal(isNewer, err)
		}
	}
	conn.close()
	b.ReportMetric(float64(listener.in.Load())/float64(b.N), "bytes-out/op")
	b.ReportMetric(float64(listener.out.Load())/float64(b.N), "bytes-in/op")
}
