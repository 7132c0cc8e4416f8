package node

import (
	"errors"
	"log/slog"
	"maps"
	"net"
	"os"
	"slices"
	"time"

	"windflow/internal/decide/hotrestart"
	"windflow/internal/hotrestartipc"
	"windflow/internal/router"
	"windflow/internal/settings"
)

const (
	// aliveIntervalMS is how often a process whose link has ended is looked at.
	livenessPollMS = 25.0
	// acceptRetryInterval is the pause after a failed accept.
	acceptRetryInterval = 50 * time.Millisecond
)

// peer is a link to another process of this router, and who that is.
type peer struct {
	link    *hotrestartipc.Link
	process hotrestart.ProcessNumber // None until it has said hello
	version int
	saidBye bool // it said goodbye and lives on
}

// send queues a message; its files stay the caller's, who may close them at once.
func (p *peer) send(kind string, body any, files ...*os.File) {
	p.link.Send(hotrestartipc.NewMessage(kind, body, files...))
}

// partnerLink leads to the process that this one shares the router with, while there is one.
type partnerLink struct {
	peer *peer // nil for none
}

func (l *partnerLink) connected() bool { return l.peer != nil }

// send queues a message to the other process, if there is one.
func (l *partnerLink) send(kind string, body any) {
	if l.peer != nil {
		l.peer.send(kind, body)
	}
}

// peerLinks are the process slot and the links to other processes of this router.
type peerLinks struct {
	log       *slog.Logger
	loop      *router.Loop
	slot      *hotrestartipc.ProcessSlot // nil where none could be had
	byProcess map[hotrestart.ProcessNumber]*peer
	onMessage func(*peer, hotrestartipc.Message) // called in the loop
	onEnd     func(*peer, error)                 // called in the loop, once a link
}

func newPeerLinks(log *slog.Logger, loop *router.Loop) *peerLinks {
	return &peerLinks{log: log, loop: loop, byProcess: map[hotrestart.ProcessNumber]*peer{}}
}

// slotName is the name under which the processes of a router find each other.
func slotName(cfg *settings.Node) string { return cfg.Name + " " + cfg.Listen }

// acquireSlot takes a process slot among the processes of this router. Without one the process serves, but can't be
// restarted hot.
func (l *peerLinks) acquireSlot(cfg *settings.Node) {
	slot, err := hotrestartipc.AcquireSlot(os.TempDir(), slotName(cfg))
	if err != nil {
		l.log.Warn("process slot unavailable, hot restart disabled", "error", err)
		return
	}
	l.slot = slot
}

// connect runs a link.
func (l *peerLinks) connect(p *peer, conn *net.UnixConn) {
	started := make(chan struct{})
	p.link = hotrestartipc.StartLink(conn, func(m hotrestartipc.Message) {
		<-started
		l.loop.Post(func() { l.onMessage(p, m) })
	}, func(err error) {
		<-started
		l.loop.Post(func() { l.onEnd(p, err) })
	})
	close(started)
}

// awaitSuccessors accepts the links of the next processes of this router, until the slot is closed.
func (l *peerLinks) awaitSuccessors() {
	for {
		conn, err := l.slot.Listener.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // short of descriptors: a successor must find this process all the same
			l.log.Warn("hot restart link accept failed", "error", err)
			time.Sleep(acceptRetryInterval)
			continue
		}
		l.loop.Post(func() { l.connect(&peer{}, conn) })
	}
}

// publish has processes of version 1 find this one.
func (l *peerLinks) publish() {
	if l.slot == nil {
		return
	}
	if err := l.slot.PublishToLegacy(); err != nil {
		l.log.Warn("process slot publication failed", "error", err)
	}
}

// closeAll ends the links and forgets them, so that their ends report nothing; false says that there are none.
func (l *peerLinks) closeAll() bool {
	for _, p := range l.byProcess {
		p.link.Close()
	}
	open := len(l.byProcess) > 0
	clear(l.byProcess)
	return open
}

// close releases the slot and closes the links.
func (l *peerLinks) close() {
	if l.slot != nil {
		l.slot.Close()
	}
	l.closeAll()
}

// findPredecessor finds the newest living process before this one, and links up with it.
func (c *coordinator) findPredecessor() {
	if c.links.slot == nil || c.searching {
		return
	}
	c.searching = true
	linked := slices.Collect(maps.Keys(c.links.byProcess))
	go func() { // ends with the search, which has timeouts of its own
		found := c.links.slot.Predecessor()
		var conn *net.UnixConn
		if found != hotrestart.NoProcess && !slices.Contains(linked, found) {
			conn, _ = c.links.slot.Connect(found) // a predecessor that can't be reached is one that is silent
		}
		c.loop.Post(func() { c.predecessorFound(found, conn) })
	}()
}

// predecessorFound continues after a search; conn is nil where there is no new link.
func (c *coordinator) predecessorFound(found hotrestart.ProcessNumber, conn *net.UnixConn) {
	c.searching = false
	if conn != nil {
		p := &peer{process: found, version: hotrestart.ProtocolVersion}
		c.links.byProcess[found] = p
		c.links.connect(p, conn)
	}
	known := c.machine.Predecessor()
	if known != hotrestart.NoProcess && known != found && c.links.byProcess[known] == nil && !c.links.slot.Alive(known) {
		c.processEnded(known) // there was no link to it whose end would show its own
	}
	c.step(hotrestart.Event{Kind: hotrestart.EventPredecessorFound, Process: found})
}

// linkEnded continues after a link that ended; the process at its other end may live.
func (c *coordinator) linkEnded(link *peer, err error) {
	if link.process == hotrestart.NoProcess || c.links.byProcess[link.process] != link {
		return
	}
	delete(c.links.byProcess, link.process)
	if c.partner.peer == link {
		c.actions.partnerLost()
	}
	if link.saidBye || link.process != hotrestart.LegacySuccessor && c.links.slot.Alive(link.process) {
		c.log.Info("process link closed", "process", uint64(link.process), "error", err)
		c.step(hotrestart.Event{Kind: hotrestart.EventLinkLost, Process: link.process})
		if !link.saidBye {
			c.watchProcess(link.process)
		}
		return
	}
	c.processEnded(link.process)
}

// watchProcess waits for the end of a process to which the link has ended.
func (c *coordinator) watchProcess(process hotrestart.ProcessNumber) {
	c.loop.After(livenessPollMS, func() {
		switch {
		case c.links.byProcess[process] != nil:
		case c.links.slot.Alive(process):
			c.watchProcess(process)
		default:
			c.processEnded(process)
		}
	})
}
