package node

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
	"strconv"
	"syscall"
	"time"

	"windflow/brain"
	"windflow/internal/board"
	"windflow/internal/decide/takeover"
	"windflow/internal/handover"
	"windflow/internal/netio"
	"windflow/internal/router"
	"windflow/internal/settings"
)

// An upgrade is a second process of a router that is started while the first one serves. Package takeover decides how it
// goes; this file has the sockets, files and timers that its machine wants, and what the processes tell each other while
// both live: bans, ids, kills, tickets, what either has running. In the plain case:
//
//	new: hello     asked again until it is answered
//	old: state     ids, warmth, and the descriptors of listeners that both need
//	new: ready     it has all that it takes to accept
//	old: go-ahead  it accepts no more; the new one accepts, and says yes to an operator who asks whether it is ready
//
// On SIGTERM the old one hears out what it accepted, gives its tickets and its BGP session up, and ends. Should the new
// one end first, the old one goes on as before.
const (
	msgID      = "id"     // router.IDChange
	msgClaimID = "may"    // claimID; version 2
	msgWord    = "word"   // claimID; version 2
	msgUse     = "use"    // use
	msgBan     = "ban"    // ban
	msgBanned  = "banned" // ban
	msgKill    = "kill"   // kill
	msgBye     = "bye"    // of version 1: the process ends the link and goes on; a further one takes over from it
)

// messages are those that the machine knows.
var messages = map[string]takeover.Kind{"hello": takeover.Hello, "wait": takeover.Wait, "state": takeover.State,
	"ready": takeover.Ready, "go-ahead": takeover.GoAhead, "back": takeover.Back}

const (
	// useEvery is how often either process tells what it has running; while the other one does not read, it is left out.
	useEvery  = 50.0
	useBehind = 8
	// banWithin bounds the wait for the other process's word on a ban, in milliseconds; an operator is answered then.
	banWithin = 300.0
	// wordWithin bounds the wait for the other process's word on an id, in milliseconds.
	wordWithin = 400.0
	// bansEvery is how often the folder of bans is read. The rule on bans leaves a second.
	bansEvery = 250 * time.Millisecond
	// livesEvery is how often a process whose link has ended is looked at, in milliseconds.
	livesEvery = 25.0
	// bindEvery is how often an address is tried that a process which hangs has not given up, in milliseconds.
	bindEvery = 250.0
	// spareConns of either process's connections to engines are left out while there are two: its listeners, log, poller
	// and link come twice too.
	spareConns = 16
	// guardedSessions and guardedConns fit what every process leaves for a successor (starting), with what it takes to run.
	guardedSessions = 12
	guardedConns    = 12
	passedEnv       = "PROXY_PASSED_SOCKET"
)

type (
	hello struct {
		PID     int           `json:"pid"`
		Place   takeover.Peer `json:"place,omitempty"` // version 2
		Version int           `json:"version,omitempty"`
	}
	wait struct {
		Phase string `json:"phase"`
		PID   int    `json:"pid"`
	}
	state struct {
		Version    int               `json:"version,omitempty"`
		Generation uint8             `json:"generation"`
		Core       router.State      `json:"core"`
		Listeners  []string          `json:"listeners"` // of the descriptors, in their order
		At         map[string]string `json:"at"`        // their addresses
		Parts      []string          `json:"parts"`
	}
	ready struct {
		Took []string `json:"took"` // the listeners that the sender accepts on in the other's place
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
		Unnoted bool           `json:"unnoted,omitempty"` // it is in no folder; version 2
	}
	kill struct {
		ID    uint32 `json:"id"`
		Query bool   `json:"query"`
	}
	claimID struct {
		N  int    `json:"n"`
		ID string `json:"id"`
		OK bool   `json:"ok"`
	}
)

// peer is a link to another process, and who that is.
type peer struct {
	link    *handover.Link
	place   takeover.Peer // None until it has said hello
	version int
	bye     bool // it said goodbye and lives on
}

// upgrade is what a router keeps for being upgraded; it belongs to the loop's goroutine.
type upgrade struct {
	machine    takeover.Machine
	tick       *router.Timer
	place      *handover.Place // nil where none could be had
	generation uint8
	links      map[takeover.Peer]*peer
	with       *peer                     // the process that this one shares the router with
	peer       use                       // what that one has
	looking    bool                      // a look for an elder is under way
	idle       map[string]net.Listener   // listeners that this process does not accept on
	missing    []string                  // listeners whose address is not to be had yet
	handed     state                     // what the elder gave
	files      map[string]*os.File       // the listeners that came with it
	took       []string                  // what is said with ready
	theyTook   []string                  // what the other one said
	leaving    bool                      // this one hears out what it accepted, and ends
	closing    bool                      // requests have been told when this process ends
	answers    map[int]func(bool)        // answers to operators that wait for the other process, by number
	words      map[int]func(router.Word) // claims that do
	seq        int                       // of both
	out        map[brain.EngineID]bool   // bans by hand, as the folder has them
	unnoted    bool                      // the folder of bans can't be written: bans go by messages alone
	io         chan func()               // work with the folder, in order
	passed     *os.File                  // the clients' socket, where the platform holds it
}

// meeting is where the processes of a router find each other.
func meeting(cfg *settings.Node) string { return cfg.Name + " " + cfg.Listen }

// begin takes a place among the processes of this router, where it is to have one, and starts the machine; the caller
// runs the loop.
func (r *node) begin(placed bool) {
	r.links, r.idle = map[takeover.Peer]*peer{}, map[string]net.Listener{}
	r.answers, r.words = map[int]func(bool){}, map[int]func(router.Word){}
	r.out = map[brain.EngineID]bool{}
	r.io = make(chan func(), 64)
	r.beat()
	go r.watchLoop()
	self := takeover.First
	if placed {
		var err error
		if r.place, err = handover.TakePlace(os.TempDir(), meeting(r.cfg)); err != nil {
			r.log.Warn("no upgrades", "err", err)
		} else {
			self = r.place.Peer
			r.readBans()
			go r.awaitSuccessors()
		}
	}
	go r.work() // it reads the place
	r.generation = uint8(self % 16)
	var effects []takeover.Effect
	r.machine, effects = takeover.New(self, r.loop.Now(), takeover.Defaults)
	for _, e := range effects {
		r.carryOut(e)
	}
	if r.place == nil {
		r.step(takeover.Event{Kind: takeover.Looked})
	}
}

// work does what waits for files, so that the loop does not.
func (r *node) work() {
	beat := time.NewTicker(bansEvery)
	defer beat.Stop()
	for {
		select {
		case f := <-r.io:
			f()
		case <-beat.C:
			if r.place != nil {
				r.readBans()
			}
		case <-r.stop:
			return
		}
	}
}

// inOrder has work done with the folder, after what was asked for before; where that does not come to an end, it calls
// full instead.
func (r *node) inOrder(do, full func()) {
	select {
	case r.io <- do:
	default:
		full()
	}
}

// step hands the machine an event and carries out what it wants.
func (r *node) step(ev takeover.Event) {
	before := r.machine.Phase()
	for _, e := range r.machine.Step(r.loop.Now(), ev) {
		r.carryOut(e)
	}
	if now := r.machine.Phase(); now != before {
		r.log.Info("takeover", "phase", now.String(), "was", before.String(), "place", uint64(r.machine.Self),
			"elder", uint64(r.machine.Elder()), "newer", uint64(r.machine.Newer()))
	}
	r.tick.Stop()
	if due := r.machine.Due(); due < 1e300 {
		r.tick = r.loop.At(due, func() { r.step(takeover.Event{}) })
	}
	r.share()
}

func (r *node) carryOut(e takeover.Effect) {
	if r.failed != nil {
		return
	}
	switch e.Do {
	case takeover.Look:
		r.look()
	case takeover.Send:
		r.say(r.links[e.Peer], e.Message)
	case takeover.TakeState:
		r.takeState()
	case takeover.Accept:
		r.accept()
	case takeover.Yield:
		r.yield()
	case takeover.Leave:
		r.leave()
	case takeover.Drain:
		r.drain()
	case takeover.End:
		r.end()
	case takeover.Bound:
		if r.core != nil {
			r.rebound()
			r.limit()
		}
	}
}

// fail ends a process that can't serve.
func (r *node) fail(err error) {
	r.failed = err
	r.halt()
}

// look finds the newest living process before this one, and links up with it.
func (r *node) look() {
	if r.place == nil || r.looking {
		return
	}
	r.looking = true
	linked := slices.Collect(maps.Keys(r.links))
	go func() {
		found := r.place.Elder()
		var conn *net.UnixConn
		if found != takeover.None && !slices.Contains(linked, found) {
			conn, _ = r.place.Call(found) // an elder that can't be reached is one that is silent
		}
		r.loop.Post(func() {
			r.looking = false
			if conn != nil {
				p := &peer{place: found, version: takeover.Version}
				r.links[found] = p
				r.connect(p, conn)
			}
			if e := r.machine.Elder(); e != takeover.None && e != found && r.links[e] == nil && !r.place.Lives(e) {
				r.gone(e) // it could not be linked up with, so that no link's end tells of its own
			}
			r.step(takeover.Event{Kind: takeover.Looked, Peer: found})
		})
	}()
}

// connect runs a link.
func (r *node) connect(p *peer, conn *net.UnixConn) {
	started := make(chan struct{})
	p.link = handover.Start(conn, func(m handover.Message) {
		<-started
		r.loop.Post(func() { r.hear(p, m) })
	}, func(err error) {
		<-started
		r.loop.Post(func() { r.ended(p, err) })
	}, r.log)
	close(started)
}

// awaitSuccessors has the next processes of this router find this one.
func (r *node) awaitSuccessors() {
	for {
		conn, err := r.place.Listener.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // short of descriptors: a successor must find this process all the same
			r.log.Warn("accept failed", "err", err)
			time.Sleep(pause)
			continue
		}
		r.loop.Post(func() { r.connect(&peer{}, conn) })
	}
}

// ended goes on after a link that ended; what lives at its other end may not have.
func (r *node) ended(p *peer, err error) {
	if p.place == takeover.None || r.links[p.place] != p {
		return
	}
	delete(r.links, p.place)
	if r.with == p {
		r.settleAnswers()
	}
	if p.bye || p.place != takeover.Stranger && r.place.Lives(p.place) {
		r.log.Info("link ended", "place", uint64(p.place), "why", err)
		r.step(takeover.Event{Kind: takeover.Cut, Peer: p.place})
		if !p.bye {
			r.watch(p.place)
		}
		return
	}
	r.gone(p.place)
}

// watch waits for the end of a process to which the link has ended.
func (r *node) watch(who takeover.Peer) {
	r.loop.After(livesEvery, func() {
		switch {
		case r.links[who] != nil:
		case r.place.Lives(who):
			r.watch(who)
		default:
			r.gone(who)
		}
	})
}

// gone goes on without a process that has ended.
func (r *node) gone(who takeover.Peer) {
	shared := who == r.machine.Elder() && r.machine.Phase() != takeover.Asking || who == r.machine.Newer()
	r.step(takeover.Event{Kind: takeover.Gone, Peer: who})
	if !shared || r.core == nil || r.failed != nil {
		return
	}
	r.peer = use{}
	r.core.Alone()
	r.rebound()
	r.limit()
	r.log.Info("alone", "phase", r.machine.Phase().String())
	for _, p := range r.parts {
		if p.alone != nil {
			p.alone()
		}
	}
}

// settleAnswers ends what waits for the other process's word.
func (r *node) settleAnswers() {
	for _, answer := range r.answers {
		answer(false)
	}
	for _, word := range r.words {
		word(router.Silent)
	}
	r.sharing(nil)
}

// sharing tells the parts with whom this process shares the router.
func (r *node) sharing(link *handover.Link) {
	for _, p := range r.parts {
		if p.sharing != nil {
			p.sharing(link)
		}
	}
}

// share begins the exchange with the process that this one shares the router with, or ends it.
func (r *node) share() {
	var p *peer
	if r.core != nil {
		switch m := &r.machine; {
		case m.Elder() != takeover.None && m.Phase() != takeover.Asking && m.Phase() != takeover.Guarded:
			p = r.links[m.Elder()]
		case m.Newer() != takeover.None:
			p = r.links[m.Newer()]
		}
	}
	if p == r.with {
		return
	}
	r.with = p
	if p == nil {
		r.sharing(nil)
		return
	}
	r.sharing(p.link)
	r.tellUse(p)
}

// tell sends the other process a message, if there is one.
func (r *node) tell(kind string, body any) {
	if r.with != nil {
		r.with.link.Send(handover.New(kind, body))
	}
}

// tellUse tells the other process what this one has running, now and again.
func (r *node) tellUse(p *peer) {
	if r.with != p {
		return
	}
	if p.link.Pending() < useBehind {
		r.sendUse()
	}
	r.loop.After(useEvery, func() { r.tellUse(p) })
}

func (r *node) sendUse() {
	r.tell(msgUse, use{Module: r.core.Use(), Sessions: r.front.Sessions(), Conns: r.client.Conns(), Leaving: r.leaving})
}

// say sends a message of the machine's.
func (r *node) say(p *peer, what takeover.Kind) {
	if p == nil || p.version == 1 && (what == takeover.Wait || what == takeover.Back) {
		return
	}
	var body any
	var files []*os.File
	switch what {
	case takeover.Hello:
		body = hello{PID: os.Getpid(), Place: r.machine.Self, Version: takeover.Version}
	case takeover.Wait:
		body = wait{Phase: r.machine.Phase().String(), PID: os.Getpid()}
	case takeover.State:
		body, files = r.state()
	case takeover.Ready:
		body = ready{Took: r.took}
	}
	p.link.Send(handover.New(what.String(), body, files...))
	for _, f := range files {
		_ = f.Close()
	}
}

// state gives a newer process of this router what it needs to go on in this one's place.
func (r *node) state() (state, []*os.File) {
	s := state{Version: takeover.Version, Generation: r.generation, Core: r.core.State(), At: map[string]string{}}
	var files []*os.File
	for _, l := range r.listeners() {
		if l.name == listenClients && r.passed != nil {
			continue
		}
		f, err := r.listenerFile(l)
		if err != nil {
			r.log.Warn("a listener can't be handed over", "listener", l.name, "err", err)
			continue
		}
		files, s.Listeners, s.At[l.name] = append(files, f), append(s.Listeners, l.name), l.addr
	}
	for _, p := range r.parts {
		if p.handsOver {
			s.Parts = append(s.Parts, p.name)
		}
	}
	r.log.Info("a successor has come", "open", r.core.Open())
	return s, files
}

// takeState goes on from the elder's state.
func (r *node) takeState() {
	if r.core == nil {
		if err := r.build(); err != nil {
			r.fail(err)
			return
		}
	} else {
		r.openMissing() // with the elder's listeners
		for _, p := range r.parts {
			if p.handsOver && !slices.Contains(r.handed.Parts, p.name) {
				p.alone() // the elder has nothing to give
			}
		}
	}
	r.core.TakeOver(r.handed.Core)
	r.log.Info("taking over", "engines", len(r.handed.Core.Module.Engines), "open", len(r.handed.Core.Open),
		"excluded", len(r.handed.Core.Module.Excluded), "spent", len(r.handed.Core.Spent))
}

// accept has clients come in, for the first time or again.
func (r *node) accept() {
	if r.core == nil {
		if err := r.build(); err != nil {
			r.fail(err)
			return
		}
	}
	for which := range r.idle {
		if !slices.Contains(r.took, which) {
			r.took = append(r.took, which)
		}
	}
	r.openIdle()
	if r.place != nil {
		if err := r.place.Publish(); err != nil {
			r.log.Warn("a process of version 1 would not find this one", "err", err)
		}
	}
	if len(r.missing) == 0 {
		r.log.Info("ready", "listen", r.clientsAt, "engines", r.core.Listed(), "phase", r.machine.Phase().String())
	} else {
		r.log.Warn("addresses are held by a process that does not answer", "listeners", r.missing)
		r.loop.After(bindEvery, r.bindAgain)
	}
}

// bindAgain tries for the addresses that a process which hangs has not given up.
func (r *node) bindAgain() {
	if len(r.missing) == 0 || r.failed != nil {
		return
	}
	if r.openMissing(); len(r.missing) > 0 {
		r.loop.After(bindEvery, r.bindAgain)
		return
	}
	r.log.Info("ready", "listen", r.clientsAt, "phase", r.machine.Phase().String())
}

func (r *node) openMissing() {
	missing := r.missing
	r.missing = nil
	for _, l := range r.listeners() {
		if !slices.Contains(missing, l.name) {
			continue
		}
		if err := r.provide(l); err != nil {
			r.fail(err)
			return
		}
	}
	if r.machine.Accepts() {
		r.openIdle()
	}
}

// openIdle accepts on all listeners that it has.
func (r *node) openIdle() {
	for _, l := range r.listeners() {
		if lis := r.idle[l.name]; lis != nil {
			l.accept(lis)
		}
	}
	clear(r.idle)
}

// listenerFile gives a copy of a listener's descriptor.
func (r *node) listenerFile(l listening) (*os.File, error) {
	if lis := r.idle[l.name]; lis != nil {
		return netio.Copy(lis)
	}
	return l.file()
}

// yield stops accepting where the other process does. What it takes to accept again is kept, in case that ends first.
func (r *node) yield() {
	for _, l := range r.listeners() {
		if r.idle[l.name] != nil || !slices.Contains(r.theyTook, l.name) {
			continue
		}
		f, err := r.listenerFile(l)
		if err == nil {
			r.idle[l.name], err = netio.Inherit(f)
			_ = f.Close()
		}
		if err != nil {
			delete(r.idle, l.name)
			r.log.Warn("a listener can't be kept", "listener", l.name, "err", err)
		}
		l.pause()
	}
	r.log.Info("the other process accepts", "listeners", r.theyTook, "sessions", r.front.Sessions(), "open", r.core.Open())
}

// hear takes one message of another process.
func (r *node) hear(p *peer, m handover.Message) {
	defer func() {
		for _, f := range m.Files {
			_ = f.Close()
		}
	}()
	var err error
	if kind, ok := messages[m.Kind]; ok {
		err = r.hearMachine(p, kind, &m)
	} else if p.place != takeover.None && r.links[p.place] == p && r.core != nil {
		err = r.hearOther(p, &m)
	}
	if err != nil {
		r.log.Warn("a message of the other process can't be read", "kind", m.Kind, "err", err)
	}
}

// hearMachine takes a message that is the machine's.
func (r *node) hearMachine(p *peer, kind takeover.Kind, m *handover.Message) error {
	switch kind {
	case takeover.Hello:
		var h hello
		if err := m.Read(&h); err != nil {
			return err
		}
		version, ok := takeover.Agree(h.Version)
		if !ok {
			p.link.Close()
			return fmt.Errorf("process %d speaks version %d, this one %d to %d", h.PID, h.Version, takeover.Oldest, takeover.Version)
		}
		who := h.Place
		if who < takeover.First {
			who = takeover.Stranger
		}
		if who <= r.machine.Self { // a folder that was tampered with: each asks only who was there before it
			p.link.Close()
			return fmt.Errorf("process %d has place %d, and this one %d", h.PID, who, r.machine.Self)
		}
		p.version = version
		if p.place == takeover.None {
			p.place = who
			if old := r.links[who]; old != nil {
				old.link.Close()
			}
			r.links[who] = p
		}
	case takeover.State:
		s := state{Version: 1}
		if err := m.Read(&s); err != nil {
			return err
		}
		if len(m.Files) != len(s.Listeners) {
			return errors.New("the descriptors don't match the listeners")
		}
		p.version, _ = takeover.Agree(s.Version)
		if r.generation == s.Generation { // of a process of version 1, which counts by itself
			r.generation = (s.Generation + 8) % 16
		}
		r.handed, r.files = s, map[string]*os.File{}
		for i, f := range m.Files {
			r.files[s.Listeners[i]] = f
		}
		defer clear(r.files)
	case takeover.Ready:
		var now ready
		if err := m.Read(&now); err != nil {
			return err
		}
		r.theyTook = now.Took
	}
	if r.links[p.place] == p {
		r.step(takeover.Event{Kind: takeover.Received, Peer: p.place, Message: kind})
	}
	return nil
}

// hearOther takes what the process that this one shares the router with has to tell.
func (r *node) hearOther(p *peer, m *handover.Message) error {
	switch m.Kind {
	case msgID:
		var n router.IDChange
		if err := m.Read(&n); err != nil {
			return err
		}
		r.core.Elsewhere(n)
	case msgClaimID:
		var c claimID
		if err := m.Read(&c); err != nil {
			return err
		}
		c.OK = r.core.Grant(c.ID)
		p.link.Send(handover.New(msgWord, c))
	case msgWord:
		var c claimID
		if err := m.Read(&c); err != nil {
			return err
		}
		if word := r.words[c.N]; word != nil && c.OK {
			word(router.Granted)
		} else if word != nil {
			word(router.Denied)
		}
	case msgUse:
		var u use
		if err := m.Read(&u); err != nil {
			return err
		}
		r.peer = u
		r.core.PeerUse(u.Module)
		r.rebound()
	case msgBan:
		var b ban
		if err := m.Read(&b); err != nil {
			return err
		}
		b.Known = r.core.Knows(b.ID)
		r.banThere(p, b, func() { p.link.Send(handover.New(msgBanned, b)) })
	case msgBanned:
		var b ban
		if err := m.Read(&b); err != nil {
			return err
		}
		if answer := r.answers[b.N]; answer != nil {
			answer(b.Known)
		}
	case msgKill:
		var k kill
		if err := m.Read(&k); err != nil {
			return err
		}
		r.front.Kill(k.ID, k.Query)
	case msgBye:
		p.bye = true
	default:
		for _, part := range r.parts {
			if hear := part.hear[m.Kind]; hear != nil {
				return hear(p.link, m)
			}
		}
	}
	return nil
}

// leave hears out what this process accepted and ends as soon as nothing is left: the other one has the rest.
func (r *node) leave() {
	r.leaving = true
	r.closeBy(patienceUpgrade)
	r.front.Leave()
	for _, part := range r.parts {
		if part.leave != nil && r.with != nil {
			part.leave(r.with.link)
		}
	}
	r.rebound()
	r.sendUse() // the sessions that were closed just now come to the other process at once
	r.busyAt = r.loop.Now()
	r.log.Info("leaving", "sessions", r.front.Sessions(), "open", r.core.Open())
	r.left()
}

// left ends the process once nothing has been left to hear out for a while.
func (r *node) left() {
	now := r.loop.Now()
	switch {
	case r.machine.Phase() == takeover.Draining:
		return // the other process ended; this is a plain end now
	case r.busy() || r.front.Sessions() > 0:
		r.busyAt = now
	case now-r.busyAt >= lastWords:
		for _, part := range r.parts {
			if part.farewell != nil && r.with != nil {
				part.farewell(r.with.link)
			}
		}
		r.step(takeover.Event{Kind: takeover.Quiet})
		return
	}
	r.loop.After(10, r.left)
}

// end ends the process once what it sent to others is written, or its time is up.
func (r *node) end() {
	for _, part := range r.parts {
		if part.end != nil && !r.leaving {
			part.end()
		}
	}
	for _, p := range r.links {
		p.link.Close()
	}
	if len(r.links) == 0 {
		r.halt()
		return
	}
	clear(r.links) // their ends are this process's own doing
	r.loop.After(farewellWithin, r.halt)
}

func (r *node) halt() { r.stopping.Do(func() { close(r.stop) }) }

const (
	// lastWords is how long nothing may have been open, in milliseconds: connections that were accepted last are still on
	// their way to the loop, and answers on theirs out of the poller's queues.
	lastWords = 50.0
	// farewellWithin is the time for the last messages.
	farewellWithin = 100.0
)

// kill passes a KILL on to the other process; false says that there is none.
func (r *node) kill(id uint32, query bool) bool {
	if r.with == nil {
		return false
	}
	r.tell(msgKill, kill{id, query})
	return true
}

// claimID asks the process that this one shares the router with before what must not run twice begins.
func (r *node) claimID(id string, then func(router.Word)) {
	ask, may := r.machine.Peers()
	p := r.links[ask]
	switch {
	case !may || ask != takeover.None && p == nil:
		r.loop.After(0, func() { then(router.Silent) })
		return
	case ask == takeover.None || p.version == 1: // which knows no such question
		then(router.Granted)
		return
	}
	r.seq++
	n := r.seq
	var late *router.Timer
	r.words[n] = func(w router.Word) {
		delete(r.words, n)
		late.Stop()
		then(w)
	}
	late = r.loop.After(wordWithin, func() { r.words[n](router.Silent) })
	p.link.Send(handover.New(msgClaimID, claimID{N: n, ID: id}))
}

// order carries out an operator's word on an engine, and answers once it is in force in all processes of this router.
func (r *node) order(engine string, exclude bool, answer func(bool)) {
	id, err := board.ParseID(engine)
	if err != nil {
		answer(false)
		return
	}
	known := r.core.Knows(id)
	r.ban(id, exclude, known, func() { r.tellBan(id, exclude, known, answer) })
}

// ban notes a ban, or its end, where all processes of this router see it, then carries it out here, then goes on.
func (r *node) ban(id brain.EngineID, exclude, known bool, then func()) {
	apply := func() {
		if known {
			if exclude {
				r.core.Exclude(id)
				r.out[id] = true
			} else {
				r.core.Include(id)
				delete(r.out, id)
			}
		}
		then()
	}
	if r.place == nil || !known {
		apply()
		return
	}
	engine := board.FormatID(id)
	cant := func(err error) {
		r.log.Warn("bans can't be noted for other processes of this router", "engine", engine, "err", err)
		r.unnoted = true // the folder would undo it
		apply()
	}
	r.inOrder(func() {
		err := r.place.Ban(engine, exclude)
		r.loop.Post(func() {
			if err != nil {
				cant(err)
				return
			}
			apply()
		})
	}, func() { cant(errors.New("the disk does not answer")) })
}

// banThere carries out a ban that the other process was told. One of version 2 has noted it, and must not be overtaken by
// a second note of this one's; what is read of the folder from now on has it.
func (r *node) banThere(p *peer, b ban, then func()) {
	if p.version < 2 || b.Unnoted || r.unnoted {
		r.unnoted = r.unnoted || b.Unnoted
		r.ban(b.ID, b.Exclude, b.Known, then)
		return
	}
	r.inOrder(func() {
		r.readBans()
		r.loop.Post(then)
	}, then)
}

// readBans has the loop go by the bans that are noted. It is called where files may be waited for.
func (r *node) readBans() {
	names, err := r.place.Banned()
	if err != nil {
		return
	}
	now := map[brain.EngineID]bool{}
	for _, name := range names {
		if id, err := board.ParseID(name); err == nil {
			now[id] = true
		}
	}
	r.loop.Post(func() { r.goBy(now) })
}

// goBy carries out the bans that other processes of this router were told.
func (r *node) goBy(now map[brain.EngineID]bool) {
	if r.unnoted || maps.Equal(now, r.out) {
		return
	}
	old := r.out
	r.out = now
	if r.core == nil {
		return // build goes by them
	}
	for id := range old {
		if !now[id] {
			r.core.Include(id)
		}
	}
	r.core.Adopt(slices.Sorted(maps.Keys(now)))
	r.log.Info("bans", "excluded", len(now))
}

// tellBan tells the other process of an operator's word, and answers the operator once it is in force there too.
func (r *node) tellBan(id brain.EngineID, exclude, known bool, answer func(bool)) {
	if r.with == nil {
		answer(known)
		return
	}
	r.seq++
	n := r.seq
	var late *router.Timer
	r.answers[n] = func(there bool) {
		delete(r.answers, n)
		late.Stop()
		answer(known || there)
	}
	late = r.loop.After(banWithin, func() { r.answers[n](false) })
	r.tell(msgBan, ban{N: n, ID: id, Exclude: exclude, Unnoted: r.unnoted})
}

// rebound goes by the bounds of the configuration, or by this process's part of them.
func (r *node) rebound() {
	if b, err := r.bounds(r.cfg); err == nil {
		r.apply(b)
	}
}

// divide takes the other process's part off the bounds. Sessions are divided as they stand: the old process accepts no
// more, and what it closes comes to the new one. Connections to engines are halved, until the old one leaves. A process
// beside one that hangs keeps to what every process leaves for a successor.
func (r *node) divide(b *bounds, share takeover.Share) {
	b.inbound /= 2
	b.mysql.MaxBuffered /= 2
	if share != takeover.Half {
		b.mysql.MaxSessions = min(b.mysql.MaxSessions, guardedSessions)
		b.fetch.MaxConns = min(b.fetch.MaxConns, guardedConns)
		return
	}
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

// closeUpgrade gives up what an upgrade needs.
func (r *node) closeUpgrade() {
	if r.place != nil {
		r.place.Close()
	}
	for _, p := range r.links {
		p.link.Close()
	}
	for _, lis := range r.idle {
		_ = lis.Close()
	}
	if r.passed != nil {
		_ = r.passed.Close()
	}
}

// provide gets a listener: the socket that the platform passed on, for clients; else the one of the process that this one
// takes over from, where the address is the same; else one of its own.
func (r *node) provide(l listening) error {
	lis, shared, err := r.listener(l)
	if errors.Is(err, syscall.EADDRINUSE) && r.machine.Phase() == takeover.Guarded {
		r.missing = append(r.missing, l.name)
		return nil
	}
	if err != nil {
		return err
	}
	if shared {
		r.took = append(r.took, l.name)
	}
	switch l.name {
	case listenDoor: // heard at once: an operator may ask whether it is ready
		l.accept(lis)
		return nil
	case listenClients:
		r.clientsAt = lis.Addr().String()
	}
	r.idle[l.name] = lis
	return nil
}

// listener gives where to accept, and whether another process accepts there too.
func (r *node) listener(l listening) (lis net.Listener, shared bool, err error) {
	if fd := os.Getenv(passedEnv); fd != "" && l.name == listenClients {
		n, err := strconv.Atoi(fd)
		if err != nil || n < 3 {
			return nil, false, fmt.Errorf("%s: %q is no descriptor", passedEnv, fd)
		}
		syscall.CloseOnExec(n)
		r.passed = os.NewFile(uintptr(n), "passed socket")
		if lis, err = netio.Inherit(r.passed); err != nil {
			return nil, false, fmt.Errorf("%s: descriptor %d: %w", passedEnv, n, err)
		}
		return lis, true, nil
	}
	if f := r.files[l.name]; f != nil && r.handed.At[l.name] == l.addr {
		if lis, err = netio.Inherit(f); err == nil {
			return lis, true, nil
		}
		r.log.Warn("a listener that was handed over can't be used", "field", l.field, "err", err)
	}
	bind := func() (err error) {
		lis, err = netio.Listen(l.addr)
		return err
	}
	if r.machine.Phase() == takeover.Guarded { // its holder hangs, and the loop has requests to serve
		err = bind()
	} else {
		err = retry(bind)
	}
	if err != nil {
		return nil, false, fmt.Errorf("field %s: %w", l.field, err)
	}
	return lis, false, nil
}
