package main

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"windflow/brain"
	"windflow/internal/bgp"
	"windflow/internal/flightsql"
	"windflow/internal/handover"
	"windflow/internal/router"
)

// An upgrade is a second process of a router that is started while the first one serves. It goes like this:
//
//	new: hello     it has found the old one's socket
//	old: state     bans, warmth, ids, and the descriptors of listeners that both need
//	new: ready     it accepts; the old one accepts no more, and lets go of the door where that is on the same address
//	old: goAhead   only now does the new one say yes to an operator who asks whether it is ready
//
// While both live, either tells the other of bans, ids, kills and what it has running. On SIGTERM the old one hears out
// what it accepted, gives its tickets and its BGP session up, and ends. Should the new one end first, the old one goes
// on as before.
const (
	msgHello   = "hello"
	msgState   = "state"
	msgReady   = "ready" // ready
	msgGoAhead = "go-ahead"
	msgID      = "id"      // router.IDChange
	msgUse     = "use"     // use
	msgBan     = "ban"     // ban
	msgBanned  = "banned"  // ban
	msgKill    = "kill"    // kill
	msgClaim   = "claim"   // claim
	msgClaimed = "claimed" // claim
	msgTickets = "tickets" // []flightsql.Ticket
	msgBGP     = "bgp"     // bgp.Handed
	msgBye     = "bye"     // the process ends the link and goes on; a further one takes over from it
)

// The listeners that go with the state, and the parts of the old process that the new one waits for.
const (
	listenClients = "clients"
	listenFlight  = "flight"
	listenDoor    = "door"
	partBGP       = "bgp"
)

const (
	// stateWithin is how long the new process waits for the old one's state, and goAheadWithin for its go-ahead: a
	// process that hangs must not keep another from taking its place.
	stateWithin   = 2 * time.Second
	goAheadWithin = 500.0
	// useEvery is how often either process tells what it has running.
	useEvery = 50.0
	// banWithin bounds the wait for the other process's word on a ban, in milliseconds; an operator is answered then.
	banWithin = 300.0
	// claimWithin bounds the wait for a ticket of the other process.
	claimWithin = time.Second
	// spareConns of either process's connections to engines are left out while there are two: its listeners, log, poller
	// and link come twice too.
	spareConns = 16
	passedEnv  = "PROXY_PASSED_SOCKET"
)

type (
	hello struct {
		PID int `json:"pid"`
	}
	state struct {
		Generation uint8             `json:"generation"`
		Core       router.State      `json:"core"`
		Listeners  []string          `json:"listeners"` // of the descriptors, in their order
		At         map[string]string `json:"at"`        // their addresses
		Parts      []string          `json:"parts"`
	}
	ready struct {
		Took []string `json:"took"` // the listeners that the new process accepts on
	}
	use struct {
		Module   brain.PeerUse `json:"module"`
		Sessions int           `json:"sessions"`
		Conns    int           `json:"conns"`
		Leaving  bool          `json:"leaving"`
	}
	ban struct {
		N       int            `json:"n"`
		ID      brain.EngineID `json:"id"`
		Exclude bool           `json:"exclude"`
		Known   bool           `json:"known"`
	}
	kill struct {
		ID    uint32 `json:"id"`
		Query bool   `json:"query"`
	}
	claim struct {
		N      int64             `json:"n"`
		Handle string            `json:"handle"`
		Ticket *flightsql.Ticket `json:"ticket"`
	}
)

// upgrade is what a router keeps for being upgraded; it belongs to the loop's goroutine.
type upgrade struct {
	generation uint8
	path       string              // where a successor finds this process; empty where none can
	waiting    *net.UnixListener   // for it
	link       *handover.Link      // to the other process; nil while there is none
	older      bool                // that process is the newer one
	successor  bool                // that process accepts in this one's place
	dismissed  bool                // that process has said goodbye and goes on
	leaving    bool                // this one hears out what it accepted, and ends
	peer       use                 // what the other one has
	held       map[string]*os.File // the listeners that this one has given up accepting on
	goAhead    func()              // what the old process's go-ahead, or its end, lets happen
	bans       map[int]func(bool)  // answers that wait for the other process, by number
	banSeq     int
	passed     *os.File // the clients' socket, where the platform holds it

	claims  sync.Mutex // over what follows: gRPC's goroutines claim tickets
	claimN  int64
	claimed map[int64]chan *flightsql.Ticket
	claimOn *handover.Link // where to ask
}

// takeOver goes on from the old process's state, if there is one, and has ready run once that accepts no more.
func (r *node) takeOver(old *predecessor, accepting func()) {
	r.bans = map[int]func(bool){}
	r.held = map[string]*os.File{}
	r.claimed = map[int64]chan *flightsql.Ticket{}
	r.front.Elsewhere = r.kill
	if old == nil {
		accepting()
		return
	}
	for _, f := range old.files {
		_ = f.Close() // what is used of them was copied
	}
	r.core.TakeOver(old.state.Core)
	r.log.Info("taking over", "engines", len(old.state.Core.Module.Engines), "open", len(old.state.Core.Open),
		"excluded", len(old.state.Core.Module.Excluded), "spent", len(old.state.Core.Spent))
	link := r.link
	old.attach(func(m handover.Message) { r.loop.Post(func() { r.hear(link, m) }) },
		func() { r.loop.Post(func() { r.alone(link) }) })
	r.goAhead = accepting
	r.join(link)
	link.Send(handover.New(msgReady, ready{Took: old.took}))
	r.loop.After(goAheadWithin, r.proceed)
}

// proceed lets happen what waited for the old process.
func (r *node) proceed() {
	if f := r.goAhead; f != nil {
		r.goAhead = nil
		f()
	}
}

// awaitSuccessor has the next process of this router find this one.
func (r *node) awaitSuccessor() {
	path, err := meeting(r.cfg)
	if err == nil {
		r.waiting, err = handover.Listen(path)
	}
	if err != nil {
		r.log.Warn("no upgrades", "err", err)
		return
	}
	r.path = path
	waiting := r.waiting
	go func() {
		for {
			conn, err := waiting.AcceptUnix()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil { // short of descriptors: a successor must find this process all the same
				r.log.Warn("accept failed", "err", err)
				time.Sleep(pause)
				continue
			}
			var link *handover.Link
			started := make(chan struct{})
			link = handover.Start(conn, func(m handover.Message) {
				<-started
				r.loop.Post(func() { r.hear(link, m) })
			}, func(error) {
				<-started
				r.loop.Post(func() { r.alone(link) })
			}, r.log)
			close(started)
		}
	}()
}

// join begins the exchange with the other process.
func (r *node) join(link *handover.Link) {
	if old := r.link; old != nil && old != link {
		old.Send(handover.New(msgBye, nil))
		old.Close()
	}
	r.link, r.peer = link, use{}
	r.claims.Lock()
	r.claimOn = link
	r.claims.Unlock()
	r.core.Ids = func(n router.IDChange) { link.Send(handover.New(msgID, n)) }
	r.rebound()
	r.limit()
	r.tellUse(link)
}

// tellUse tells the other process what this one has running, now and again.
func (r *node) tellUse(link *handover.Link) {
	if r.link != link {
		return
	}
	r.sendUse(link)
	r.loop.After(useEvery, func() { r.tellUse(link) })
}

func (r *node) sendUse(link *handover.Link) {
	link.Send(handover.New(msgUse, use{Module: r.core.Use(), Sessions: r.front.Sessions(), Conns: r.client.Conns(),
		Leaving: r.leaving}))
}

// rebound goes by the bounds of the configuration, or by this process's part of them.
func (r *node) rebound() {
	if b, err := r.bounds(r.cfg); err == nil {
		r.apply(b)
	}
}

// part takes the other process's part off the bounds. Sessions are divided as they stand: the old process accepts no
// more, and what it closes comes to the new one. Connections to engines are halved, until the old one leaves.
func (r *node) part(b *bounds) {
	b.inbound /= 2
	b.mysql.MaxBuffered /= 2
	b.mysql.MaxSessions = max(b.mysql.MaxSessions-r.peer.Sessions, b.mysql.MaxSessions/3)
	half := max(b.fetch.MaxConns/2-spareConns, 16)
	switch {
	case r.leaving:
		b.fetch.MaxConns = max(min(r.client.Conns(), half), 16)
	case r.peer.Leaving:
		b.fetch.MaxConns = max(b.fetch.MaxConns-max(r.peer.Conns, 16)-2*spareConns, half)
	default:
		b.fetch.MaxConns = half
	}
}

// hear takes one message of the other process.
func (r *node) hear(link *handover.Link, m handover.Message) {
	if m.Kind == msgHello {
		r.succeed(link)
		return
	}
	if r.link != link {
		for _, f := range m.Files {
			_ = f.Close()
		}
		return
	}
	var err error
	switch m.Kind {
	case msgReady:
		var now ready
		if err = m.Read(&now); err == nil {
			r.giveWay(now.Took)
			link.Send(handover.New(msgGoAhead, nil))
		}
	case msgGoAhead:
		r.proceed()
	case msgID:
		var n router.IDChange
		if err = m.Read(&n); err == nil {
			r.core.Elsewhere(n)
		}
	case msgUse:
		var u use
		if err = m.Read(&u); err == nil {
			r.peer = u
			r.core.PeerUse(u.Module)
			r.rebound()
		}
	case msgBan:
		var b ban
		if err = m.Read(&b); err == nil {
			b.Known = r.ban(b.ID, b.Exclude)
			link.Send(handover.New(msgBanned, b))
		}
	case msgBanned:
		var b ban
		if err = m.Read(&b); err == nil {
			if answer := r.bans[b.N]; answer != nil {
				answer(b.Known)
			}
		}
	case msgKill:
		var k kill
		if err = m.Read(&k); err == nil {
			r.front.Kill(k.ID, k.Query)
		}
	case msgClaim:
		var c claim
		if err = m.Read(&c); err == nil {
			if r.flight != nil {
				c.Ticket = r.flight.Release(c.Handle)
			}
			link.Send(handover.New(msgClaimed, c))
		}
	case msgClaimed:
		var c claim
		if err = m.Read(&c); err == nil {
			r.settleClaim(c)
		}
	case msgTickets:
		var all []flightsql.Ticket
		if err = m.Read(&all); err == nil && r.flight != nil {
			r.flight.Take(all)
		}
	case msgBye:
		r.dismissed = true
	case msgBGP:
		r.adopt(m)
		return
	}
	for _, f := range m.Files {
		_ = f.Close()
	}
	if err != nil {
		r.log.Warn("a message of the other process can't be read", "kind", m.Kind, "err", err)
	}
}

// succeed gives a new process of this router what it needs to go on in its place.
func (r *node) succeed(link *handover.Link) {
	if r.draining {
		link.Close() // it starts as after a plain restart
		return
	}
	s := state{Generation: r.generation, Core: r.core.State(), At: map[string]string{}}
	var files []*os.File
	add := func(which, at string, f *os.File, err error) {
		if err == nil {
			files, s.Listeners, s.At[which] = append(files, f), append(s.Listeners, which), at
		}
	}
	if r.passed == nil && r.listening != nil {
		f, err := r.listening.File()
		add(listenClients, r.cfg.Listen, f, err)
	}
	if r.flight != nil {
		f, err := r.flight.File()
		add(listenFlight, r.extra.flight.Listen, f, err)
	}
	if r.door != nil {
		f, err := r.door.File()
		add(listenDoor, r.cfg.Control, f, err)
	}
	if r.bgp != nil {
		s.Parts = append(s.Parts, partBGP)
	}
	link.Send(handover.New(msgState, s, files...))
	for _, f := range files {
		_ = f.Close()
	}
	r.log.Info("a successor has come", "open", r.core.Open())
	r.older = true
	r.join(link)
}

// giveWay stops accepting where the successor does. What it takes to accept again is kept, in case that ends first.
func (r *node) giveWay(took []string) {
	if r.successor {
		return
	}
	r.successor = true
	hold := func(which string, f *os.File, err error) {
		if err != nil {
			r.log.Warn("a listener can't be kept", "listener", which, "err", err)
			return
		}
		r.held[which] = f
	}
	for _, which := range took {
		switch {
		case which == listenClients && r.listening != nil:
			f, err := r.listening.File()
			hold(which, f, err)
			r.listening.Close()
		case which == listenFlight && r.flight != nil:
			f, err := r.flight.Pause()
			hold(which, f, err)
		case which == listenDoor && r.door != nil:
			f, err := r.door.File()
			hold(which, f, err)
			r.door.Close()
		}
	}
	r.log.Info("the successor accepts", "listeners", took, "sessions", r.front.Sessions(), "open", r.core.Open())
}

// alone goes on without the other process, which has ended.
func (r *node) alone(link *handover.Link) {
	if r.link != link {
		return
	}
	r.link, r.peer, r.core.Ids = nil, use{}, nil
	r.core.Alone()
	for _, answer := range r.bans {
		answer(false)
	}
	r.claims.Lock()
	r.claimOn = nil
	for _, ch := range r.claimed {
		close(ch)
	}
	clear(r.claimed)
	r.claims.Unlock()
	r.rebound()
	r.limit()
	r.log.Info("alone", "successor", r.successor, "leaving", r.leaving)
	r.proceed()
	if r.bgp != nil {
		r.bgp.Adopt(r.net, bgp.Handed{}, nil) // connects, if it waited for the old process's session
	}
	switch {
	case r.older && !r.dismissed:
		r.resume()
	case r.leaving:
		r.end()
	}
}

// resume accepts again after a successor that ended.
func (r *node) resume() {
	r.successor, r.older = false, false
	if !r.draining { // the successor took its place at the meeting point
		_ = r.waiting.Close()
		r.awaitSuccessor()
	}
	open := func(which string, then func(net.Listener)) {
		f := r.held[which]
		if f == nil {
			return
		}
		lis, err := net.FileListener(f)
		_ = f.Close()
		delete(r.held, which)
		if err != nil {
			r.log.Error("can't accept again", "listener", which, "err", err)
			return
		}
		then(lis)
	}
	open(listenClients, func(lis net.Listener) { r.listening = r.net.Serve(lis, r.front.Accept) })
	open(listenFlight, r.flight.Accept)
	open(listenDoor, r.door.Reopen)
	r.log.Warn("the successor ended; accepting again")
}

// leave hears out what this process accepted and ends as soon as nothing is left: the successor has the rest.
func (r *node) leave() {
	r.leaving = true
	r.front.Leave()
	if r.flight != nil {
		r.flight.Leave()
	}
	if r.bgp != nil {
		link := r.link
		r.bgp.HandOver(func(h bgp.Handed, f *os.File) {
			if f == nil {
				link.Send(handover.New(msgBGP, h))
				return
			}
			link.Send(handover.New(msgBGP, h, f))
			_ = f.Close()
		})
	}
	r.rebound()
	if r.link != nil {
		r.sendUse(r.link) // the sessions that were closed just now come to the successor at once
	}
	r.busyAt = r.loop.Now()
	r.log.Info("leaving", "sessions", r.front.Sessions(), "open", r.core.Open())
	r.left()
}

// left ends the program once nothing has been left to hear out for a while.
func (r *node) left() {
	now := r.loop.Now()
	switch {
	case !r.successor:
		r.busyAt = now
		r.drained() // the successor ended; this is a plain end now
		return
	case r.core.Open() > 0 || r.front.Sessions() > 0 || r.flight != nil && r.flight.Active() > 0:
		r.busyAt = now
	case now-r.busyAt >= lastWords:
		if link := r.link; link != nil {
			r.dismissed = true // the link's end is this process's own doing
			if r.flight != nil {
				link.Send(handover.New(msgTickets, r.flight.ReleaseAll()))
			}
			link.Close() // once all is written; alone hears of it
		}
		r.loop.After(farewellWithin, r.end)
		return
	}
	r.loop.After(10, r.left)
}

func (r *node) end() { r.stopping.Do(func() { close(r.stop) }) }

const (
	// lastWords is how long nothing may have been open, in milliseconds: connections that were accepted last are still on
	// their way to the loop, and answers on theirs out of the poller's queues.
	lastWords = 50.0
	// farewellWithin bounds the wait for the successor to take the last message.
	farewellWithin = 300.0
)

// adopt takes the old process's BGP session over.
func (r *node) adopt(m handover.Message) {
	var h bgp.Handed
	var f *os.File
	if err := m.Read(&h); err != nil {
		r.log.Warn("a message of the other process can't be read", "kind", m.Kind, "err", err)
	}
	if len(m.Files) > 0 {
		f = m.Files[0]
	}
	if r.bgp != nil {
		r.bgp.Adopt(r.net, h, f)
	} else if f != nil {
		_ = f.Close()
	}
}

// kill passes a KILL on to the other process; false says that there is none.
func (r *node) kill(id uint32, query bool) bool {
	if r.link == nil {
		return false
	}
	r.link.Send(handover.New(msgKill, kill{id, query}))
	return true
}

// tellBan tells the other process of an operator's word, and answers the operator once it is in force there too.
func (r *node) tellBan(id brain.EngineID, exclude, known bool, answer func(bool)) {
	if r.link == nil {
		answer(known)
		return
	}
	r.banSeq++
	n := r.banSeq
	var late *router.Timer
	r.bans[n] = func(there bool) {
		delete(r.bans, n)
		late.Stop()
		answer(known || there)
	}
	late = r.loop.After(banWithin, func() { r.bans[n](false) })
	r.link.Send(handover.New(msgBan, ban{N: n, ID: id, Exclude: exclude}))
}

// claim asks the other process for a ticket; it is called in gRPC's goroutines.
func (r *node) claim(handle string) *flightsql.Ticket {
	r.claims.Lock()
	link := r.claimOn
	if link == nil {
		r.claims.Unlock()
		return nil
	}
	r.claimN++
	n, ch := r.claimN, make(chan *flightsql.Ticket, 1)
	r.claimed[n] = ch
	r.claims.Unlock()
	link.Send(handover.New(msgClaim, claim{N: n, Handle: handle}))
	select {
	case t := <-ch:
		return t
	case <-time.After(claimWithin):
		r.claims.Lock()
		delete(r.claimed, n)
		r.claims.Unlock()
		return nil
	}
}

// settleClaim hands a ticket to who asked for it, or keeps it where nobody waits any more.
func (r *node) settleClaim(c claim) {
	r.claims.Lock()
	ch := r.claimed[c.N]
	delete(r.claimed, c.N)
	r.claims.Unlock()
	if ch != nil {
		ch <- c.Ticket
	} else if c.Ticket != nil && r.flight != nil {
		r.flight.Take([]flightsql.Ticket{*c.Ticket})
	}
}

// closeUpgrade gives up what an upgrade needs; a successor's socket is left alone.
func (r *node) closeUpgrade() {
	if r.waiting != nil {
		_ = r.waiting.Close()
		if !r.older {
			_ = os.Remove(r.path)
		}
	}
	if r.link != nil {
		r.link.Close()
	}
	for _, f := range r.held {
		_ = f.Close()
	}
	if r.passed != nil {
		_ = r.passed.Close()
	}
}
