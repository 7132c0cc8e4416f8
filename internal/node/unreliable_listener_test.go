package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	fsql "github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// unreliableListener wraps a listener. About two thirds of its connections are reset after a random number of bytes
// that the server has written. The choice depends on a seed.
type unreliableListener struct {
	net.Listener
	mu     sync.Mutex
	rng    *rand.Rand
	resets *atomic.Int64
}

// listenUnreliable listens on loopback. resets counts the connections that are reset.
func listenUnreliable(t *testing.T, seed uint64, resets *atomic.Int64) *unreliableListener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return &unreliableListener{Listener: l, rng: rand.New(rand.NewPCG(seed, 1)), resets: resets}
}

func (l *unreliableListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	remaining := int64(1 << 40)
	if l.rng.IntN(3) > 0 {
		remaining = int64(l.rng.IntN(6000))
	}
	return &unreliableConn{Conn: c, remaining: remaining, resets: l.resets}, nil
}

// unreliableConn resets the connection at a write that exceeds the remaining bytes.
type unreliableConn struct {
	net.Conn
	mu        sync.Mutex
	remaining int64
	resets    *atomic.Int64
}

func (c *unreliableConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if int64(len(b)) <= c.remaining {
		c.remaining -= int64(len(b))
		return c.Conn.Write(b)
	}
	n, _ := c.Conn.Write(b[:c.remaining])
	c.remaining = 0
	c.resets.Add(1)
	_ = c.Conn.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
	return n, io.ErrClosedPipe
}

var errTicketReused = errors.New("a load's ticket was redeemed twice")

// queryFlight sends one request over Flight SQL and reports whether it was served. It returns an error for an answer
// that is not allowed: an unexpected status code, incomplete rows, or a load's ticket that can be redeemed twice.
func queryFlight(c *fsql.Client, class, id, statement string, update bool) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	ctx = metadata.AppendToOutgoingContext(ctx, "method", class, "rid", id, "acct", "a")
	if update {
		_, err := c.ExecuteUpdate(ctx, statement)
		return err == nil, checkFlightError(err)
	}
	info, err := c.Execute(ctx, statement)
	if err != nil {
		return false, err
	}
	rows := 0
	r, err := c.DoGet(ctx, info.Endpoint[0].Ticket)
	if err == nil {
		for r.Next() {
			rows += int(r.RecordBatch().NumRows())
		}
		err = r.Err()
		r.Release()
	}
	if class == "load" {
		// The ticket is consumed by the first call, whatever its outcome.
		again, err := c.DoGet(ctx, info.Endpoint[0].Ticket)
		if err == nil {
			again.Release()
			return false, errTicketReused
		}
		if status.Code(err) != codes.NotFound {
			return false, fmt.Errorf("redeeming a load's ticket again, want NotFound: %w", err)
		}
	}
	if err == nil && rows != 60 && rows != 1 {
		return false, fmt.Errorf("served with %d rows, want 1 or 60", rows)
	}
	return err == nil, checkFlightError(err)
}

// checkFlightError returns nil if an answer may have the status code of err, and err otherwise.
func checkFlightError(err error) error {
	allowed := []codes.Code{codes.OK, codes.ResourceExhausted, codes.Internal, codes.DeadlineExceeded}
	if slices.Contains(allowed, status.Code(err)) {
		return nil
	}
	return err
}
