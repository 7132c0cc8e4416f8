package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"syscall"
	"time"

	"github.com/apache/arrow-go/v18/arrow"
	"github.com/apache/arrow-go/v18/arrow/array"
	"github.com/apache/arrow-go/v18/arrow/flight"
	"github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

const (
	// ticketPairs is the number of clients that have tickets of the first process, and of those with tickets of the last.
	ticketPairs = 4
	// ticketRestarts is the number of hot restarts between them, and restartPause what lies between two of these.
	ticketRestarts = 16
	restartPause   = 3 * time.Second
	// ticketExpired is an age at which tickets have expired: they are valid for 60 s.
	ticketExpired = 61 * time.Second
)

// ticketHolder is a Flight SQL client that has a ticket for a query of its own and redeems it.
type ticketHolder struct {
	name, id, class string
	statement       string
	client          *flightsql.Client
	ticket          *flight.Ticket
	rows            []string // the first column of each row that it got
	err             error
}

// playTickets: clients get tickets for loads from the first process and do not redeem them in time. Meanwhile there are hot
// restarts. Then other clients get tickets for loads of theirs, and all redeem what they have.
func playTickets(rec *recorder, trouble bool) (broken []string, err error) {
	return ticketsAcross(rec, trouble, ticketExpired, func(place *site, current *router) (*router, error) {
		return place.hotRestarts(current, ticketRestarts)
	})
}

// playTicketsKilled is the same with a process that is killed and started again with its own file and an empty $TMPDIR, so
// that it knows no ticket. It is no case, since the platform's file has a new seed at each start.
func playTicketsKilled(rec *recorder, trouble bool) (broken []string, err error) {
	return ticketsAcross(rec, trouble, 0, func(place *site, current *router) (_ *router, err error) {
		current.signal(syscall.SIGKILL)
		<-current.ended
		if place.temp, err = os.MkdirTemp(place.dir, "tmp"); err != nil {
			return nil, err
		}
		return place.startReady("process-2")
	})
}

// ticketsAcross plays playTickets with these restarts. The later clients come when the first tickets have this age.
func ticketsAcross(
	rec *recorder, trouble bool, age time.Duration, restart func(*site, *router) (*router, error),
) (broken []string, err error) {
	engines, err := startEngines(rec, 2, fixedWork(60*time.Millisecond))
	if err != nil {
		return nil, err
	}
	place, err := newPlace(rec, engines)
	if err != nil {
		return nil, err
	}
	defer place.stop()
	addr, err := place.writeFlightSettings()
	if err != nil {
		return nil, err
	}
	current, err := place.startReady("process-1")
	if err != nil {
		return nil, err
	}
	callers := &flightClients{rec: rec, addr: addr}
	former, err := callers.takeTickets("former")
	if err != nil {
		return nil, err
	}
	issued := time.Now()
	if trouble {
		if current, err = restart(place, current); err != nil {
			return nil, err
		}
	}
	time.Sleep(age - time.Since(issued))
	later, err := callers.takeTickets("later")
	if err != nil {
		return nil, err
	}
	for i := range former {
		former[i].redeem(rec)
		later[i].redeem(rec)
		later[i].redeemAnew(callers)
	}
	rec.note("the serving process is %s", current.label)
	noteRuns(rec)
	all := former
	return foreignRows(rec, append(all, later...)), nil
}

// hotRestarts replaces a process by another, n times, as docs/operating.md says. It returns the last one.
func (s *site) hotRestarts(current *router, n int) (*router, error) {
	for i := range n {
		time.Sleep(restartPause)
		next, err := s.startReady(fmt.Sprintf("process-%d", i+2))
		if err != nil {
			return nil, err
		}
		current.signal(syscall.SIGTERM)
		<-current.ended
		current = next
	}
	return current, nil
}

// redeemAnew does what the README says for a ticket that is not found: the client gets a new one.
func (h *ticketHolder) redeemAnew(callers *flightClients) {
	if status.Code(h.err) != codes.NotFound {
		return
	}
	h.id = newID()
	ctx, cancel := h.context()
	defer cancel()
	info, err := h.client.Execute(ctx, h.statement)
	if err != nil {
		h.err = err
		return
	}
	h.ticket = info.Endpoint[0].Ticket
	h.redeem(callers.rec)
}

// noteRuns records the statements that engines got more than once.
func noteRuns(rec *recorder) {
	runs := map[string]int{}
	for _, arrived := range rec.arrived() {
		if runs[arrived.statement]++; runs[arrived.statement] == 2 {
			rec.note("run twice: %s %s", arrived.class, arrived.statement)
		}
	}
}

// takeTickets returns clients with a ticket for a load each.
func (c *flightClients) takeTickets(when string) ([]*ticketHolder, error) {
	var holders []*ticketHolder
	for i := range ticketPairs {
		client, err := c.connect()
		if err != nil {
			return nil, err
		}
		holder := &ticketHolder{
			name: fmt.Sprintf("%s client %d", when, i), id: newID(), class: "load", client: client,
			statement: fmt.Sprintf("INSERT INTO sales_%d.orders SELECT * FROM staging.load WHERE batch = '%s %d'", i, when, i),
		}
		ctx, cancel := holder.context()
		info, err := client.Execute(ctx, holder.statement)
		cancel()
		if err != nil {
			return nil, err
		}
		holder.ticket = info.Endpoint[0].Ticket
		c.rec.note("%s: %s %s has ticket %x", holder.name, holder.class, holder.id, holder.ticket.Ticket)
		holders = append(holders, holder)
	}
	return holders, nil
}

func (h *ticketHolder) context() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	return metadata.AppendToOutgoingContext(ctx, "method", h.class, "rid", h.id, "acct", "rckik-south", "budget", "20000"), cancel
}

// redeem gets the rows of the ticket.
func (h *ticketHolder) redeem(rec *recorder) {
	ctx, cancel := h.context()
	defer cancel()
	got := len(h.rows)
	for range 10 { // a connection to a process that has ended takes a moment to be made again
		if h.err = h.read(ctx); !unavailable(h.err) {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	rec.note("%s: DoGet for its %s %s: rows %q, %v %q", h.name, h.class, h.id, h.rows[got:], status.Code(h.err),
		status.Convert(h.err).Message())
}

func (h *ticketHolder) read(ctx context.Context) error {
	reader, err := h.client.DoGet(ctx, h.ticket)
	if err != nil {
		return err
	}
	defer reader.Release()
	for reader.Next() {
		h.add(reader.RecordBatch())
	}
	if err := reader.Err(); err != nil && !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}

func (h *ticketHolder) add(batch arrow.RecordBatch) {
	if column, ok := batch.Column(0).(*array.String); ok {
		for row := range column.Len() {
			h.rows = append(h.rows, column.Value(row))
		}
	}
}

// foreignRows returns a line if a client got rows that no engine made for its query. An engine's rows name the query.
func foreignRows(rec *recorder, holders []*ticketHolder) (broken []string) {
	foreign, first := 0, ""
	for _, holder := range holders {
		for _, row := range holder.rows {
			if row == holder.id {
				continue
			}
			foreign++
			text := fmt.Sprintf("%s got the rows of %s %s for its own %s", holder.name, holder.class, row, holder.id)
			rec.note("foreign: %s", text)
			if first == "" {
				first = text
			}
		}
	}
	if foreign == 0 {
		return nil
	}
	return []string{fmt.Sprintf("lost: %d answers 'served' with what no engine made for them; %s", foreign, first)}
}
