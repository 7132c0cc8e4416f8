package flightsql

import (
	"container/list"
	"encoding/hex"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"windflow/internal/router"
)

const (
	// ticketLifetimeMS is how long a ticket may be redeemed.
	ticketLifetimeMS = 60_000.0
	// maxTickets and maxTicketBytes bound what clients that never redeem may pile up.
	maxTickets     = 4096
	maxTicketBytes = 8 << 20
	// handleBytes is the length of the random part of a ticket.
	handleBytes = 16
)

// Ticket is a query that a client described and may fetch, as processes of one router pass it to each other.
type Ticket struct {
	Handle      string         `json:"Handle"`
	Request     router.Request `json:"Request"`
	DeadlineMS  float64        `json:"End"` // the deadline that the client's fields name; 0 for none
	ExpiresAtMS float64        `json:"Expires"`
	SingleUse   bool           `json:"Once"`
}

// ticketStore contains the tickets of a process. It is safe for concurrent use.
type ticketStore struct {
	loop *router.Loop // for its clock
	// claimer, where it is set, requests a ticket from the other process of this router and waits for the answer.
	claimer atomic.Pointer[func(handle string) *Ticket]

	mu       sync.Mutex
	rng      *rand.ChaCha8
	byHandle map[string]*list.Element
	byAge    *list.List // of *Ticket, oldest first
	bytes    int        // of all statements
}

// newTicketStore returns an empty store. The seed makes tickets hard to guess; two processes of one router that share
// one differ in generation.
func newTicketStore(loop *router.Loop, seed uint64, generation uint8) *ticketStore {
	var key [32]byte
	for i := range key {
		key[i] = byte(seed >> (8 * (i % 8)))
	}
	key[len(key)-1] ^= generation
	return &ticketStore{
		loop: loop, rng: rand.NewChaCha8(key), byHandle: map[string]*list.Element{}, byAge: list.New(),
	}
}

// issue stores a ticket under a new handle; false: the store is full.
func (s *ticketStore) issue(ticket *Ticket) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var handle [handleBytes]byte
	_, _ = s.rng.Read(handle[:])
	ticket.Handle = hex.EncodeToString(handle[:])
	return s.add(ticket)
}

// add stores a ticket; false: the store is full or has it already. s.mu is held.
func (s *ticketStore) add(ticket *Ticket) bool {
	s.removeExpired()
	size := len(ticket.Request.Statement)
	if len(s.byHandle) >= maxTickets || s.bytes+size > maxTicketBytes || s.byHandle[ticket.Handle] != nil {
		return false
	}
	s.byHandle[ticket.Handle] = s.byAge.PushBack(ticket)
	s.bytes += size
	return true
}

// removeExpired removes expired tickets from the oldest on; s.mu is held.
func (s *ticketStore) removeExpired() {
	now := s.loop.Now()
	for oldest := s.byAge.Front(); oldest != nil && ticketOf(oldest).ExpiresAtMS <= now; oldest = s.byAge.Front() {
		s.remove(oldest)
	}
}

// remove removes a ticket and returns it; s.mu is held.
func (s *ticketStore) remove(element *list.Element) *Ticket {
	ticket := ticketOf(element)
	delete(s.byHandle, ticket.Handle)
	s.bytes -= len(ticket.Request.Statement)
	s.byAge.Remove(element)
	return ticket
}

// ticketOf returns the ticket of an element of byAge.
func ticketOf(element *list.Element) *Ticket { return element.Value.(*Ticket) }

// find returns the element of a ticket that has not expired; nil if there is none. s.mu is held.
func (s *ticketStore) find(handle string) *list.Element {
	element := s.byHandle[handle]
	if element == nil || ticketOf(element).ExpiresAtMS <= s.loop.Now() {
		return nil
	}
	return element
}

// setClaimer sets how to request a ticket from the other process.
func (s *ticketStore) setClaimer(claim func(handle string) *Ticket) { s.claimer.Store(&claim) }

// redeem returns a ticket, which is removed if it is for a single use, so that a client that fetches again, or two
// that share a ticket, cannot run the query again. A ticket that is not here is claimed from the other process; nil
// means that neither has it.
func (s *ticketStore) redeem(handle string) *Ticket {
	ticket := s.redeemLocal(handle)
	claim := s.claimer.Load()
	if ticket != nil || claim == nil {
		return ticket
	}
	if claimed := (*claim)(handle); claimed != nil {
		s.importAll([]Ticket{*claimed})
	}
	return s.redeemLocal(handle) // the other process may have just ended and sent all of its tickets
}

func (s *ticketStore) redeemLocal(handle string) *Ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	element := s.find(handle)
	if element == nil {
		return nil
	}
	if ticketOf(element).SingleUse {
		s.remove(element)
	}
	return ticketOf(element)
}

// release removes a ticket for the other process; nil: it is not here.
func (s *ticketStore) release(handle string) *Ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	element := s.find(handle)
	if element == nil {
		return nil
	}
	return s.remove(element)
}

// releaseAll removes all tickets for the other process.
func (s *ticketStore) releaseAll() (tickets []Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.byAge.Len() > 0 {
		tickets = append(tickets, *s.remove(s.byAge.Front()))
	}
	return tickets
}

// importAll adds tickets that the other process released.
func (s *ticketStore) importAll(tickets []Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, ticket := range tickets {
		s.add(&ticket)
	}
}
