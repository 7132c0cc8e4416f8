package node

import (
	"errors"
	"fmt"
	"os"

	"windflow/dispatch"
	"windflow/internal/configclient"
	"windflow/internal/decide/hotrestart"
	"windflow/internal/hotrestartipc"
	"windflow/internal/router"
)

type (
	hello struct {
		PID     int                      `json:"pid"`
		Place   hotrestart.ProcessNumber `json:"place,omitempty"` // version 2
		Version int                      `json:"version,omitempty"`
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
		// Configuration is the revision of the keepers' that is in force; the process that takes over begins with no earlier one.
		Configuration *configclient.Revision `json:"configuration,omitempty"`
	}
	ready struct {
		Took []string `json:"took"` // the listeners that the sender accepts on in the other's place
	}
	use struct {
		Module   dispatch.OtherProcessUsage `json:"module"`
		Sessions int                        `json:"sessions"`
		Conns    int                        `json:"conns"`
		Leaving  bool                       `json:"leaving"`
	}
	ban struct {
		N       int               `json:"n"`
		ID      dispatch.EngineID `json:"id"`
		Exclude bool              `json:"exclude"`
		Known   bool              `json:"known"`
		Unnoted bool              `json:"unnoted,omitempty"` // it is in no folder; version 2
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
	link    *hotrestartipc.Link
	place   hotrestart.ProcessNumber // None until it has said hello
	version int
	bye     bool // it said goodbye and lives on
}

// sharing tells the parts with whom this process shares the router.
func (r *node) sharing(link *hotrestartipc.Link) {
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
		case m.Predecessor() != hotrestart.NoProcess && m.Phase() != hotrestart.PhaseAwaitingState && m.Phase() != hotrestart.PhaseDegraded:
			p = r.links[m.Predecessor()]
		case m.Successor() != hotrestart.NoProcess:
			p = r.links[m.Successor()]
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
		r.with.link.Send(hotrestartipc.NewMessage(kind, body))
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
	r.tell(msgUse, use{Module: r.core.Usage(), Sessions: r.front.Sessions(), Conns: r.client.ConnCount(), Leaving: r.leaving})
}

// say sends a message of the machine's.
func (r *node) say(p *peer, what hotrestart.MessageKind) {
	if p == nil || p.version == 1 && (what == hotrestart.MessageWait || what == hotrestart.MessageHandBack) {
		return
	}
	var body any
	var files []*os.File
	switch what {
	case hotrestart.MessageHello:
		body = hello{PID: os.Getpid(), Place: r.machine.Self, Version: hotrestart.ProtocolVersion}
	case hotrestart.MessageWait:
		body = wait{Phase: r.machine.Phase().String(), PID: os.Getpid()}
	case hotrestart.MessageState:
		body, files = r.state()
	case hotrestart.MessageReady:
		body = ready{Took: r.took}
	}
	p.link.Send(hotrestartipc.NewMessage(what.String(), body, files...))
	for _, f := range files {
		_ = f.Close()
	}
}

// hear takes one message of another process.
func (r *node) hear(p *peer, m hotrestartipc.Message) {
	defer func() {
		for _, f := range m.Files {
			_ = f.Close()
		}
	}()
	var err error
	if kind, ok := messages[m.Kind]; ok {
		err = r.hearMachine(p, kind, &m)
	} else if p.place != hotrestart.NoProcess && r.links[p.place] == p && r.core != nil {
		err = r.hearOther(p, &m)
	}
	if err != nil {
		r.log.Warn("a message of the other process can't be read", "kind", m.Kind, "err", err)
	}
}

// hearMachine takes a message that is the machine's.
func (r *node) hearMachine(p *peer, kind hotrestart.MessageKind, m *hotrestartipc.Message) error {
	switch kind {
	case hotrestart.MessageHello:
		var h hello
		if err := m.Decode(&h); err != nil {
			return err
		}
		version, ok := hotrestart.NegotiateVersion(h.Version)
		if !ok {
			p.link.Close()
			return fmt.Errorf("process %d speaks version %d, this one %d to %d", h.PID, h.Version, hotrestart.OldestProtocolVersion, hotrestart.ProtocolVersion)
		}
		who := h.Place
		if who < hotrestart.FirstProcess {
			who = hotrestart.LegacySuccessor
		}
		if who <= r.machine.Self { // a folder that was tampered with: each asks only who was there before it
			p.link.Close()
			return fmt.Errorf("process %d has place %d, and this one %d", h.PID, who, r.machine.Self)
		}
		p.version = version
		if p.place == hotrestart.NoProcess {
			p.place = who
			if old := r.links[who]; old != nil {
				old.link.Close()
			}
			r.links[who] = p
		}
	case hotrestart.MessageState:
		s := state{Version: 1}
		if err := m.Decode(&s); err != nil {
			return err
		}
		if len(m.Files) != len(s.Listeners) {
			return errors.New("the descriptors don't match the listeners")
		}
		p.version, _ = hotrestart.NegotiateVersion(s.Version)
		if r.generation == s.Generation { // of a process of version 1, which counts by itself
			r.generation = (s.Generation + 8) % 16
		}
		r.handed, r.files = s, map[string]*os.File{}
		for i, f := range m.Files {
			r.files[s.Listeners[i]] = f
		}
		defer clear(r.files)
	case hotrestart.MessageReady:
		var now ready
		if err := m.Decode(&now); err != nil {
			return err
		}
		r.theyTook = now.Took
	}
	if r.links[p.place] == p {
		r.step(hotrestart.Event{Kind: hotrestart.EventMessageReceived, Process: p.place, Message: kind})
	}
	return nil
}

// hearOther takes what the process that this one shares the router with has to tell.
func (r *node) hearOther(p *peer, m *hotrestartipc.Message) error {
	switch m.Kind {
	case msgID:
		var n router.IDChange
		if err := m.Decode(&n); err != nil {
			return err
		}
		r.core.OtherProcessChanged(n)
	case msgClaimID:
		var c claimID
		if err := m.Decode(&c); err != nil {
			return err
		}
		c.OK = r.core.GrantClaim(c.ID)
		p.link.Send(hotrestartipc.NewMessage(msgWord, c))
	case msgWord:
		var c claimID
		if err := m.Decode(&c); err != nil {
			return err
		}
		if word := r.words[c.N]; word != nil && c.OK {
			word(router.ClaimGranted)
		} else if word != nil {
			word(router.ClaimDenied)
		}
	case msgUse:
		var u use
		if err := m.Decode(&u); err != nil {
			return err
		}
		r.peer = u
		r.core.SetOtherProcessUsage(u.Module)
		r.rebound()
	case msgBan:
		var b ban
		if err := m.Decode(&b); err != nil {
			return err
		}
		b.Known = r.core.KnowsEngine(b.ID)
		r.banThere(p, b, func() { p.link.Send(hotrestartipc.NewMessage(msgBanned, b)) })
	case msgBanned:
		var b ban
		if err := m.Decode(&b); err != nil {
			return err
		}
		if answer := r.answers[b.N]; answer != nil {
			answer(b.Known)
		}
	case msgKill:
		var k kill
		if err := m.Decode(&k); err != nil {
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

// kill passes a KILL on to the other process; false says that there is none.
func (r *node) kill(id uint32, query bool) bool {
	if r.with == nil {
		return false
	}
	r.tell(msgKill, kill{id, query})
	return true
}

// claimID asks the process that this one shares the router with before what must not run twice begins.
func (r *node) claimID(id string, then func(router.ClaimReply)) {
	ask, may := r.machine.MustAsk()
	p := r.links[ask]
	switch {
	case !may || ask != hotrestart.NoProcess && p == nil:
		r.loop.After(0, func() { then(router.ClaimTimedOut) })
		return
	case ask == hotrestart.NoProcess || p.version == 1: // which knows no such question
		then(router.ClaimGranted)
		return
	}
	r.seq++
	n := r.seq
	var late *router.Timer
	r.words[n] = func(w router.ClaimReply) {
		delete(r.words, n)
		late.Stop()
		then(w)
	}
	late = r.loop.After(wordWithin, func() { r.words[n](router.ClaimTimedOut) })
	p.link.Send(hotrestartipc.NewMessage(msgClaimID, claimID{N: n, ID: id}))
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
func (r *node) divide(b *bounds, share hotrestart.Share) {
	b.inbound /= 2
	b.mysql.MaxBuffered /= 2
	if share != hotrestart.ShareHalf {
		b.mysql.MaxSessions = min(b.mysql.MaxSessions, guardedSessions)
		b.fetch.MaxConns = min(b.fetch.MaxConns, guardedConns)
		return
	}
	b.mysql.MaxSessions = max(b.mysql.MaxSessions-r.peer.Sessions, b.mysql.MaxSessions/3)
	half := max(b.fetch.MaxConns/2-spareConns, 16)
	switch {
	case r.leaving:
		b.fetch.MaxConns = max(min(r.client.ConnCount(), half), 16)
	case r.peer.Leaving:
		b.fetch.MaxConns = max(b.fetch.MaxConns-max(r.peer.Conns, 16)-2*spareConns, half)
	default:
		b.fetch.MaxConns = half
	}
}
