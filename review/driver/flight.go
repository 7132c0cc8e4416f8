package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// flowWindow is a client's HTTP/2 flow-control window in bytes, the protocol's default.
const flowWindow = 64 << 10

// flightCall is a query that a Flight SQL client sent, with what it got.
type flightCall struct {
	id, class   string
	sent, ended time.Time
	rows        int64
	err         error
}

// flightClients send queries by Flight SQL.
type flightClients struct {
	rec  *recorder
	addr string
	stop chan struct{}
	done sync.WaitGroup
	// quiet is set while the front sends this router nothing, since it is restarted.
	quiet atomic.Bool

	mu    sync.Mutex
	calls []flightCall
}

// startFlightClients starts n clients, which send lookups one at a time, each client on a connection of its own, unless
// quiet is set. A client that finds its router gone connects again.
func startFlightClients(rec *recorder, addr string, n int) *flightClients {
	started := &flightClients{rec: rec, addr: addr, stop: make(chan struct{})}
	for i := range n {
		started.done.Go(func() { started.serve(i) })
	}
	return started
}

func (c *flightClients) connect() (*flightsql.Client, error) {
	return flightsql.NewClient(c.addr, nil, nil, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithInitialWindowSize(flowWindow), grpc.WithInitialConnWindowSize(flowWindow))
}

func (c *flightClients) serve(group int) {
	client, err := c.connect()
	if err != nil {
		c.rec.note("flight client: %v", err)
		return
	}
	defer func() { _ = client.Close() }()
	for {
		select {
		case <-c.stop:
			return
		case <-time.After(200*time.Millisecond + rand.N(400*time.Millisecond)):
		}
		if !c.quiet.Load() {
			c.query(client, "lookup", group, 0)
		}
	}
}

// readSlowly sends a report on a connection of its own and pauses before it reads the rows, as a client does that is
// slow to read.
func (c *flightClients) readSlowly(group int, pause time.Duration) {
	client, err := c.connect()
	if err != nil {
		c.rec.note("flight client: %v", err)
		return
	}
	defer func() { _ = client.Close() }()
	c.query(client, "report", group, pause)
}

// query runs a query: GetFlightInfo, then DoGet with its ticket. It pauses before it reads the rows.
func (c *flightClients) query(client *flightsql.Client, class string, group int, pause time.Duration) {
	id, budget := newID(), 5*time.Second
	ctx, cancel := context.WithTimeout(context.Background(), budget)
	defer cancel()
	ctx = metadata.AppendToOutgoingContext(ctx, "method", class, "rid", id, "acct", "rckik-south",
		"budget", fmt.Sprint(budget.Milliseconds()))
	info, err := client.Execute(ctx, fmt.Sprintf("SELECT day, count(*) FROM sales_%d.orders GROUP BY day", group))
	if err != nil {
		c.rec.note("flight client: no ticket: %v", status.Code(err))
		return
	}
	call := flightCall{id: id, class: class, sent: time.Now()}
	reader, err := client.DoGet(ctx, info.Endpoint[0].Ticket)
	if err == nil {
		time.Sleep(pause)
		for reader.Next() {
			call.rows += reader.RecordBatch().NumRows()
		}
		if err = reader.Err(); errors.Is(err, io.EOF) {
			err = nil
		}
		reader.Release()
	}
	call.ended, call.err = time.Now(), err
	c.rec.noteAt(call.sent, "flight client: %s %s sent", class, id)
	c.rec.note("flight client: %s %s: %d rows, %v %q, after %v", class, id, call.rows, status.Code(err),
		status.Convert(err).Message(), call.ended.Sub(call.sent))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls = append(c.calls, call)
}

// end stops the clients and returns their calls.
func (c *flightClients) end() []flightCall {
	close(c.stop)
	c.done.Wait()
	return c.calls
}

// unavailable reports whether a call ended for want of a connection.
func unavailable(err error) bool { return status.Code(err) == codes.Unavailable }
