package node

import (
	"errors"
	"maps"
	"net"
	"os"
	"slices"
	"time"

	"windflow/dispatch"
	"windflow/internal/decide/hotrestart"
	"windflow/internal/hotrestartipc"
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
var messages = map[string]hotrestart.MessageKind{
	"hello": hotrestart.MessageHello, "wait": hotrestart.MessageWait, "state": hotrestart.MessageState,

	"ready": hotrestart.MessageReady, "go-ahead": hotrestart.MessageGoAhead, "back": hotrestart.MessageHandBack,
}

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
	// guardedSessions and guardedConns fit what every process leaves for a successor (validate.Starting), with what it takes to run.
	guardedSessions = 12
	guardedConns    = 12
	passedEnv       = "PROXY_PASSED_SOCKET"
)

// upgrade is what a router keeps for being upgraded; it belongs to the loop's goroutine.
type upgrade struct {
	machine    hotrestart.Machine
	tick       *router.Timer
	place      *hotrestartipc.ProcessSlot // nil where none could be had
	generation uint8
	links      map[hotrestart.ProcessNumber]*peer
	with       *peer                           // the process that this one shares the router with
	peer       use                             // what that one has
	looking    bool                            // a look for an elder is under way
	idle       map[string]net.Listener         // listeners that this process does not accept on
	missing    []string                        // listeners whose address is not to be had yet
	handed     state                           // what the elder gave
	files      map[string]*os.File             // the listeners that came with it
	took       []string                        // what is said with ready
	theyTook   []string                        // what the other one said
	leaving    bool                            // this one hears out what it accepted, and ends
	closing    bool                            // requests have been told when this process ends
	answers    map[int]func(bool)              // answers to operators that wait for the other process, by number
	words      map[int]func(router.ClaimReply) // claims that do
	seq        int                             // of both
	out        map[dispatch.EngineID]bool      // bans by hand, as the folder has them
	unnoted    bool                            // the folder of bans can't be written: bans go by messages alone
	io         chan func()                     // work with the folder, in order
	passed     *os.File                        // the clients' socket, where the platform holds it
}

// meeting is where the processes of a router find each other.
func meeting(cfg *settings.Node) string { return cfg.Name + " " + cfg.Listen }

// begin takes a place among the processes of this router, where it is to have one, and starts the machine; the caller
// runs the loop.
func (r *node) begin(placed bool) {
	r.links, r.idle = map[hotrestart.ProcessNumber]*peer{}, map[string]net.Listener{}
	r.answers, r.words = map[int]func(bool){}, map[int]func(router.ClaimReply){}
	r.out = map[dispatch.EngineID]bool{}
	r.io = make(chan func(), 64)
	r.beat()
	go r.watchLoop()
	self := hotrestart.FirstProcess
	if placed {
		var err error
		if r.place, err = hotrestartipc.AcquireSlot(os.TempDir(), meeting(r.cfg)); err != nil {
			r.log.Warn("no upgrades", "err", err)
		} else {
			self = r.place.Process
			r.readBans()
			go r.awaitSuccessors()
		}
	}
	go r.work() // it reads the place
	r.generation = uint8(self % 16)
	var effects []hotrestart.Effect
	r.machine, effects = hotrestart.New(self, r.loop.Now(), hotrestart.DefaultSettings)
	for _, e := range effects {
		r.carryOut(e)
	}
	if r.place == nil {
		r.step(hotrestart.Event{Kind: hotrestart.EventPredecessorFound})
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
func (r *node) step(ev hotrestart.Event) {
	before := r.machine.Phase()
	for _, e := range r.machine.Step(r.loop.Now(), ev) {
		r.carryOut(e)
	}
	if now := r.machine.Phase(); now != before {
		r.log.Info("takeover", "phase", now.String(), "was", before.String(), "place", uint64(r.machine.Self),
			"elder", uint64(r.machine.Predecessor()), "newer", uint64(r.machine.Successor()))
	}
	r.tick.Stop()
	if due := r.machine.Due(); due < 1e300 {
		r.tick = r.loop.At(due, func() { r.step(hotrestart.Event{}) })
	}
	r.share()
}

func (r *node) carryOut(e hotrestart.Effect) {
	if r.failed != nil {
		return
	}
	switch e.Action {
	case hotrestart.ActionFindPredecessor:
		r.look()
	case hotrestart.ActionSend:
		r.say(r.links[e.Process], e.Message)
	case hotrestart.ActionRestoreState:
		r.takeState()
	case hotrestart.ActionStartAccepting:
		r.accept()
	case hotrestart.ActionStopAccepting:
		r.yield()
	case hotrestart.ActionFinish:
		r.leave()
	case hotrestart.ActionDrain:
		r.drain()
	case hotrestart.ActionEnd:
		r.end()
	case hotrestart.ActionSetShare:
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
		found := r.place.Predecessor()
		var conn *net.UnixConn
		if found != hotrestart.NoProcess && !slices.Contains(linked, found) {
			conn, _ = r.place.Connect(found) // an elder that can't be reached is one that is silent
		}
		r.loop.Post(func() {
			r.looking = false
			if conn != nil {
				p := &peer{place: found, version: hotrestart.ProtocolVersion}
				r.links[found] = p
				r.connect(p, conn)
			}
			if e := r.machine.Predecessor(); e != hotrestart.NoProcess && e != found && r.links[e] == nil && !r.place.Alive(e) {
				r.gone(e) // it could not be linked up with, so that no link's end tells of its own
			}
			r.step(hotrestart.Event{Kind: hotrestart.EventPredecessorFound, Process: found})
		})
	}()
}

// connect runs a link.
func (r *node) connect(p *peer, conn *net.UnixConn) {
	started := make(chan struct{})
	p.link = hotrestartipc.StartLink(conn, func(m hotrestartipc.Message) {
		<-started
		r.loop.Post(func() { r.hear(p, m) })
	}, func(err error) {
		<-started
		r.loop.Post(func() { r.ended(p, err) })
	})
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
	if p.place == hotrestart.NoProcess || r.links[p.place] != p {
		return
	}
	delete(r.links, p.place)
	if r.with == p {
		r.settleAnswers()
	}
	if p.bye || p.place != hotrestart.LegacySuccessor && r.place.Alive(p.place) {
		r.log.Info("link ended", "place", uint64(p.place), "why", err)
		r.step(hotrestart.Event{Kind: hotrestart.EventLinkLost, Process: p.place})
		if !p.bye {
			r.watch(p.place)
		}
		return
	}
	r.gone(p.place)
}

// watch waits for the end of a process to which the link has ended.
func (r *node) watch(who hotrestart.ProcessNumber) {
	r.loop.After(livesEvery, func() {
		switch {
		case r.links[who] != nil:
		case r.place.Alive(who):
			r.watch(who)
		default:
			r.gone(who)
		}
	})
}

// gone goes on without a process that has ended.
func (r *node) gone(who hotrestart.ProcessNumber) {
	shared := who == r.machine.Predecessor() && r.machine.Phase() != hotrestart.PhaseAwaitingState || who == r.machine.Successor()
	r.step(hotrestart.Event{Kind: hotrestart.EventProcessEnded, Process: who})
	if !shared || r.core == nil || r.failed != nil {
		return
	}
	r.peer = use{}
	r.core.OtherProcessEnded()
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
		word(router.ClaimTimedOut)
	}
	r.sharing(nil)
}

// state gives a newer process of this router what it needs to go on in this one's place.
func (r *node) state() (state, []*os.File) {
	s := state{Version: hotrestart.ProtocolVersion, Generation: r.generation, Core: r.core.State(), At: map[string]string{}}
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
	if r.keepers != nil && r.keepers.now.Revision > 0 {
		s.Configuration = &r.keepers.now
	}
	r.log.Info("a successor has come", "open", r.core.OpenRequests())
	return s, files
}

// takeState goes on from the elder's state.
func (r *node) takeState() {
	if s := r.handed.Configuration; s != nil && r.keepers != nil {
		r.keepers.adopt(*s) // before it is built, and may accept
	}
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
	r.core.RestoreState(r.handed.Core)
	r.log.Info("taking over", "engines", len(r.handed.Core.Dispatch.Engines), "open", len(r.handed.Core.OpenIDs),
		"excluded", len(r.handed.Core.Dispatch.Cordoned), "spent", len(r.handed.Core.ConsumedIDs))
}
