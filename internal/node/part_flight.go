package node

import (
	"net"
	"os"
	"sync"
	"time"

	"windflow/internal/flightsql"
	"windflow/internal/hotrestartipc"
	"windflow/internal/installation"
	"windflow/internal/router"
)

const (
	msgTicketClaim      = "claim"   // ticketClaimMessage: request
	msgTicketClaimReply = "claimed" // ticketClaimMessage: reply
	msgTickets          = "tickets" // []flightsql.Ticket
	// ticketClaimTimeout is how long a claim waits for the other process's reply.
	ticketClaimTimeout = time.Second
	// flightEngineDescriptors is the number of descriptors reserved for connections to engines that speak Flight SQL: one
	// shared connection for each engine, and up to maxFlightLoads for requests that must not run twice.
	flightEngineDescriptors = 64
	maxFlightLoads          = 32
)

// ticketClaimMessage requests a ticket from the other process. The reply carries the ticket, or nil if that process
// does not have it.
type ticketClaimMessage struct {
	Number int64             `json:"n"`
	Handle string            `json:"handle"`
	Ticket *flightsql.Ticket `json:"ticket"`
}

// flightPart returns the part with the Arrow Flight SQL front and the client of engines that speak Flight SQL.
func flightPart(n *node) *part {
	cfg := n.active.site.FlightSQL
	if cfg == nil {
		return nil
	}
	services, restart := &n.services, n.restart
	flight := &flightService{claims: ticketClaims{waiting: map[int64]chan *flightsql.Ticket{}}}
	return &part{
		name:        "flightsql",
		descriptors: cfg.MaxConnections + flightsql.MaxWaitingConnections + flightEngineDescriptors,
		acceptor:    flight.acceptor(cfg.Listen),
		start: func(l limits) (err error) {
			flight.client, err = flightsql.NewClient(n.loop, l.engines.ConnectTimeoutMS, maxFlightLoads, l.mysql.MaxBuffered)
			if err != nil {
				return err
			}
			services.byKind.Clients = flight.clientsOf(cfg.EngineKinds)
			seed := n.active.platform.SeedValue
			flight.front, err = flightsql.NewFront(*cfg, services.core, n.loop, seed, restart.generation, n.log)
			if err != nil {
				return err
			}
			flight.front.LimitCallBytes(l.mysql.MaxBuffered)
			flight.front.SetTicketClaimer(flight.claims.claim)
			n.log.Info("flight sql listening", "listen", cfg.Listen, "engine_kinds", cfg.EngineKinds)
			return nil
		},
		configure: func(s *installation.Settings, l limits) (kept []string) {
			updated := s.FlightSQL
			if updated.Listen != cfg.Listen {
				kept, updated.Listen = append(kept, "/flightsql/listen"), cfg.Listen
			}
			if updated.MaxConnections != cfg.MaxConnections {
				kept, updated.MaxConnections = append(kept, "/flightsql/max_connections"), cfg.MaxConnections
			}
			flight.client.Configure(l.engines.ConnectTimeoutMS)
			flight.front.LimitCallBytes(l.mysql.MaxBuffered)
			services.byKind.Clients = flight.clientsOf(updated.EngineKinds)
			return kept
		},
		counters: func() []counterGroup {
			return []counterGroup{
				{"flightsql", &flight.front.Counters}, {"flightsql_engines", &flight.client.Counters},
			}
		},
		busy:           func() bool { return flight.front.ActiveCalls() > 0 },
		leave:          func(*peer) { flight.front.Drain() },
		handOverRest:   flight.releaseTickets,
		stop:           flight.stop,
		partnerChanged: flight.claims.setPartner,
		handlers:       flight.handlers(),
	}
}

// flightService holds the front and the client of the part. They are nil until the part has started.
type flightService struct {
	front  *flightsql.Front
	client *flightsql.Client
	claims ticketClaims
}

// clientsOf returns a map from each of the kinds of engines to the Flight SQL client. Running attempts are not
// affected.
func (f *flightService) clientsOf(kinds []string) map[string]router.EngineClient {
	clients := map[string]router.EngineClient{}
	for _, kind := range kinds {
		clients[kind] = f.client
	}
	return clients
}

func (f *flightService) acceptor(address string) *acceptor {
	return &acceptor{
		name: flightListener, field: "/flightsql/listen", address: address,
		accept: func(lis net.Listener) { f.front.Serve(lis) },
		file:   func() (*os.File, error) { return f.front.ListenerFile() },
		pause: func() {
			if file, err := f.front.StopAccepting(); err == nil {
				_ = file.Close()
			}
		},
	}
}

// releaseTickets hands over all tickets to the other process.
func (f *flightService) releaseTickets(to *peer) {
	if tickets := f.front.ReleaseAllTickets(); len(tickets) > 0 {
		to.send(msgTickets, tickets)
	}
}

func (f *flightService) stop() {
	if f.front != nil {
		f.front.Stop()
	}
}

func (f *flightService) handlers() map[string]messageHandler {
	return map[string]messageHandler{
		msgTicketClaim: decoded(func(from *peer, claim ticketClaimMessage) {
			claim.Ticket = f.front.ReleaseTicket(claim.Handle)
			from.send(msgTicketClaimReply, claim)
		}),
		msgTicketClaimReply: decoded(func(_ *peer, claim ticketClaimMessage) {
			// If the claim has timed out meanwhile, the ticket is kept here for a later request.
			if !f.claims.resolve(claim) && claim.Ticket != nil {
				f.front.ImportTickets([]flightsql.Ticket{*claim.Ticket})
			}
		}),
		msgTickets: func(_ *peer, m *hotrestartipc.Message) error {
			var tickets []flightsql.Ticket
			err := m.Decode(&tickets)
			f.front.ImportTickets(tickets)
			return err
		},
	}
}

// ticketClaims requests tickets that this process does not have from the other process of this router. It is safe for
// concurrent use, since gRPC's goroutines call it.
type ticketClaims struct {
	mu         sync.Mutex
	lastNumber int64 // of the latest claim
	waiting    map[int64]chan *flightsql.Ticket
	partner    *peer // nil for none
}

// setPartner sets the link to which claims are sent, nil for none. Without a link, pending claims end without a ticket.
func (c *ticketClaims) setPartner(partner *peer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partner = partner
	if partner == nil {
		for _, waiting := range c.waiting {
			close(waiting)
		}
		clear(c.waiting)
	}
}

// claim requests a ticket from the other process and waits for the reply. It returns nil if the other process does not
// have the ticket, does not reply within ticketClaimTimeout, or does not exist.
func (c *ticketClaims) claim(handle string) *flightsql.Ticket {
	c.mu.Lock()
	partner := c.partner
	if partner == nil {
		c.mu.Unlock()
		return nil
	}
	c.lastNumber++
	number, reply := c.lastNumber, make(chan *flightsql.Ticket, 1)
	c.waiting[number] = reply
	c.mu.Unlock()
	partner.send(msgTicketClaim, ticketClaimMessage{Number: number, Handle: handle})
	select {
	case ticket := <-reply:
		return ticket
	case <-time.After(ticketClaimTimeout):
		c.mu.Lock()
		delete(c.waiting, number)
		c.mu.Unlock()
		return nil
	}
}

// resolve passes a reply to its claim. It returns false if the claim has ended.
func (c *ticketClaims) resolve(claim ticketClaimMessage) bool {
	c.mu.Lock()
	reply := c.waiting[claim.Number]
	delete(c.waiting, claim.Number)
	c.mu.Unlock()
	if reply == nil {
		return false
	}
	reply <- claim.Ticket
	return true
}
