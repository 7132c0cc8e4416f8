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
	msgClaim   = "claim"   // claim
	msgClaimed = "claimed" // claim
	msgTickets = "tickets" // []flightsql.Ticket
	// claimWithin bounds the wait for a ticket of the other process.
	claimWithin = time.Second
	// flightEngines are reserved for connections to engines that speak Flight SQL: one shared one each, and up to
	// flightLoads for what must not run twice.
	flightEngines = 64
	flightLoads   = 32
)

type claim struct {
	N      int64             `json:"n"`
	Handle string            `json:"handle"`
	Ticket *flightsql.Ticket `json:"ticket"`
}

// flightState is the Arrow Flight SQL part.
type flightState struct {
	front  *flightsql.Front
	client *flightsql.Client

	claims  sync.Mutex // over what follows: gRPC's goroutines claim tickets
	claimN  int64
	claimed map[int64]chan *flightsql.Ticket
	claimOn *hotrestartipc.Link // where to ask
}

func flightPart(r *node) *part {
	cfg := r.site.FlightSQL
	if cfg == nil {
		return nil
	}
	f := &flightState{claimed: map[int64]chan *flightsql.Ticket{}}
	// Attempts that are out go on as they are.
	speak := func(kinds []string) {
		r.clients.Kinds = map[string]router.EngineClient{}
		for _, kind := range kinds {
			r.clients.Kinds[kind] = f.client
		}
	}
	return &part{
		name:        "flightsql",
		descriptors: cfg.MaxConnections + flightEngines,
		listening: &listening{
			listenFlight, "/flightsql/listen", cfg.Listen,
			func(lis net.Listener) { f.front.Serve(lis) },
			func() (*os.File, error) { return f.front.ListenerFile() },
			func() {
				if file, err := f.front.StopAccepting(); err == nil {
					_ = file.Close()
				}
			},
		},
		start: func(b bounds) (err error) {
			f.client = flightsql.NewClient(r.loop, b.fetch.ConnectTimeoutMS, flightLoads, r.log)
			speak(cfg.EngineKinds)
			if f.front, err = flightsql.NewFront(*cfg, r.core, r.loop, r.cfg.SeedValue, r.generation, r.log); err != nil {
				return err
			}
			f.front.SetTicketClaimer(f.claim)
			r.log.Info("flight sql front", "listen", cfg.Listen, "engine_kinds", cfg.EngineKinds)
			return nil
		},
		configure: func(s *installation.Settings, b bounds) (kept []string) {
			now := s.FlightSQL
			if now.Listen != cfg.Listen {
				kept, now.Listen = append(kept, "/flightsql/listen"), cfg.Listen
			}
			if now.MaxConnections != cfg.MaxConnections {
				kept, now.MaxConnections = append(kept, "/flightsql/max_connections"), cfg.MaxConnections
			}
			f.client.Configure(b.fetch.ConnectTimeoutMS)
			speak(now.EngineKinds)
			return kept
		},
		counters: func() []counted {
			return []counted{{"flightsql", &f.front.Counters}, {"flightsql_engines", &f.client.Counters}}
		},
		busy:  func() bool { return f.front.ActiveCalls() > 0 },
		leave: func(*hotrestartipc.Link) { f.front.Drain() },
		farewell: func(to *hotrestartipc.Link) {
			if all := f.front.ReleaseAllTickets(); len(all) > 0 {
				to.Send(hotrestartipc.NewMessage(msgTickets, all))
			}
		},
		stop: func() {
			if f.front != nil {
				f.front.Stop()
			}
		},
		sharing: f.sharing,
		hear: map[string]func(*hotrestartipc.Link, *hotrestartipc.Message) error{
			msgClaim: func(from *hotrestartipc.Link, m *hotrestartipc.Message) error {
				var c claim
				if err := m.Decode(&c); err != nil {
					return err
				}
				c.Ticket = f.front.ReleaseTicket(c.Handle)
				from.Send(hotrestartipc.NewMessage(msgClaimed, c))
				return nil
			},
			msgClaimed: func(_ *hotrestartipc.Link, m *hotrestartipc.Message) error {
				var c claim
				if err := m.Decode(&c); err != nil {
					return err
				}
				f.settle(c)
				return nil
			},
			msgTickets: func(_ *hotrestartipc.Link, m *hotrestartipc.Message) error {
				var all []flightsql.Ticket
				err := m.Decode(&all)
				f.front.ImportTickets(all)
				return err
			},
		},
	}
}

// sharing says where to ask for tickets that this process does not have.
func (f *flightState) sharing(with *hotrestartipc.Link) {
	f.claims.Lock()
	defer f.claims.Unlock()
	f.claimOn = with
	if with == nil {
		for _, ch := range f.claimed {
			close(ch)
		}
		clear(f.claimed)
	}
}

// claim asks the other process for a ticket; it is called in gRPC's goroutines.
func (f *flightState) claim(handle string) *flightsql.Ticket {
	f.claims.Lock()
	link := f.claimOn
	if link == nil {
		f.claims.Unlock()
		return nil
	}
	f.claimN++
	n, ch := f.claimN, make(chan *flightsql.Ticket, 1)
	f.claimed[n] = ch
	f.claims.Unlock()
	link.Send(hotrestartipc.NewMessage(msgClaim, claim{N: n, Handle: handle}))
	select {
	case t := <-ch:
		return t
	case <-time.After(claimWithin):
		f.claims.Lock()
		delete(f.claimed, n)
		f.claims.Unlock()
		return nil
	}
}

// settle hands a ticket to who asked for it, or keeps it where nobody waits any more.
func (f *flightState) settle(c claim) {
	f.claims.Lock()
	ch := f.claimed[c.N]
	delete(f.claimed, c.N)
	f.claims.Unlock()
	if ch != nil {
		ch <- c.Ticket
	} else if c.Ticket != nil {
		f.front.ImportTickets([]flightsql.Ticket{*c.Ticket})
	}
}
