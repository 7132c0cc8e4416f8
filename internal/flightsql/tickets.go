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
	// ticketLifetimeMS is the time after which a ticket expires.
	ticketLifetimeMS = 60_000.0
	// maxTickets and maxTicketBytes (of statements) bound the memory for tickets that clients never redeem.
	maxTickets     = 4096
	maxTicketBytes = 8 << 20
	// handleBytes is the number of random bytes in a handle.
	handleBytes = 16
)

// Ticket is a checked query that a client may run by redeeming the handle. The processes of one router pass tickets to
// each other as JSON.
type Ticket struct {
	Handle      string         `json:"Handle"`
	Request     router.Request `json:"Request"`
	DeadlineMS  float64        `json:"End"` // set by the budget field of the client; 0 if it sent none
	ExpiresAtMS float64        `json:"Expires"`
	SingleUse   bool           `json:"Once"`
}

// ticketStore stores the tickets of a process. It is safe for concurrent use.
type ticketStore struct {
	loop *router.Loop // for its clock
	// claimer, if set, requests a ticket from the other process of this router and blocks until the answer.
	claimer atomic.Pointer[func(handle string) *Ticket]

	mu       sync.Mutex
	rng      *rand.ChaCha8
	byHandle map[string]*list.Element
	byAge    *list.List // of *Ticket, oldest first
	bytes    int        // total length of the statements
}

// newTicketStore returns an empty store. The seed makes handles hard to guess. Processes of one router with the same
// seed need different generations, so that their handles differ.
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

// issue stores a ticket under a new random handle. It returns false if the store is full.
func (s *ticketStore) issue(ticket *Ticket) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	var handle [handleBytes]byte
	_, _ = s.rng.Read(handle[:])
	ticket.Handle = hex.EncodeToString(handle[:])
	return s.add(ticket)
}

// add stores a ticket. It returns false if the store is full or already has the handle. The caller holds s.mu.
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

// removeExpired removes expired tickets, starting with the oldest. The caller holds s.mu.
func (s *ticketStore) removeExpired() {
	now := s.loop.Now()
	for oldest := s.byAge.Front(); oldest != nil && ticketOf(oldest).ExpiresAtMS <= now; oldest = s.byAge.Front() {
		s.remove(oldest)
	}
}

// remove removes a ticket and returns it. The caller holds s.mu.
func (s *ticketStore) remove(element *list.Element) *Ticket {
	ticket := ticketOf(element)
	delete(s.byHandle, ticket.Handle)
	s.bytes -= len(ticket.Request.Statement)
	s.byAge.Remove(element)
	return ticket
}

// ticketOf returns the ticket of an element of byAge.
func ticketOf(element *list.Element) *Ticket { return element.Value.(*Ticket) }

// find returns the element of a ticket, or nil if there is none or it has expired. The caller holds s.mu.
func (s *ticketStore) find(handle string) *list.Element {
	element := s.byHandle[handle]
	if element == nil || ticketOf(element).ExpiresAtMS <= s.loop.Now() {
		return nil
	}
	return element
}

// setClaimer sets the function that requests a ticket from the other process.
func (s *ticketStore) setClaimer(claim func(handle string) *Ticket) { s.claimer.Store(&claim) }

// redeem returns a ticket and removes it if it is for a single use, so that neither a repeated nor a concurrent DoGet
// can run the query again. A ticket that this process does not have is claimed from the other one. redeem returns nil
// if neither process has it.
func (s *ticketStore) redeem(handle string) *Ticket {
	ticket := s.redeemLocal(handle)
	claim := s.claimer.Load()
	if ticket != nil || claim == nil {
		return ticket
	}
	if claimed := (*claim)(handle); claimed != nil {
		s.importAll([]Ticket{*claimed})
	}
	return s.redeemLocal(handle) // also finds it if the other process ended during the claim and sent its tickets
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

// release removes a ticket and returns it for the other process, or nil if this process does not have it.
func (s *ticketStore) release(handle string) *Ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	element := s.find(handle)
	if element == nil {
		return nil
	}
	return s.remove(element)
}

// releaseAll removes all tickets and returns them for the other process.
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
