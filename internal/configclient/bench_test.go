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

// counting counts the bytes of connections that it accepts.
type counting struct {
	net.Listener
	in, out atomic.Int64
}

type counted struct {
	net.Conn
	of *counting
}

func (l *counting) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return counted{c, l}, err
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.of.in.Add(int64(n))
	return n, err
}

func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.of.out.Add(int64(n))
	return n, err
}

// One poll without an update, with the keeper's side of it in the same process; the bytes are those of HTTP.
func BenchmarkPoll(b *testing.B) {
	noContent := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }
	s := httptest.NewUnstartedServer(http.HandlerFunc(noContent))
	l := &counting{Listener: s.Listener}
	s.Listener = l
	s.Start()
	defer s.Close()
	p := &keeperConn{}
	f := configlog.NewFollower("router-0001", configlog.NewInstanceID(1, 1))
	b.ReportAllocs()
	for b.Loop() {
		if _, fresh, err := p.poll(context.Background(), l.Addr().String(), f.Status(), 2000); fresh || err != nil {
			b.Fatal(fresh, err)
		}
	}
	p.close()
	b.ReportMetric(float64(l.in.Load())/float64(b.N), "bytes-out/op")
	b.ReportMetric(float64(l.out.Load())/float64(b.N), "bytes-in/op")
}
