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
	// livenessPollMS is how often a process whose link has ended is checked for being alive.
	livenessPollMS = 25.0
	// acceptRetryInterval is the pause after a failed accept.
	acceptRetryInterval = 50 * time.Millisecond
)

// peer is a link to another process of this router, with what is known of that process.
type peer struct {
	link    *hotrestartipc.Link
	process hotrestart.ProcessNumber // NoProcess until its hello has arrived
	version int                      // of the protocol
	saidBye bool                     // it announced that it closes the link and continues to run
}

// send queues a message. The caller keeps the files and may close them as soon as send returns.
func (p *peer) send(kind string, body any, files ...*os.File) {
	p.link.Send(hotrestartipc.NewMessage(kind, body, files...))
}

// partnerLink holds the link to the process that this one shares the router with, while there is one.
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

// peerLinks holds the process slot and the links to other processes of this router.
type peerLinks struct {
	log       *slog.Logger
	loop      *router.Loop
	slot      *hotrestartipc.ProcessSlot // nil if none could be acquired
	byProcess map[hotrestart.ProcessNumber]*peer
	onMessage func(*peer, hotrestartipc.Message) // called in the loop
	onEnd     func(*peer, error)                 // called in the loop, once for each link
}

func newPeerLinks(log *slog.Logger, loop *router.Loop) *peerLinks {
	return &peerLinks{log: log, loop: loop, byProcess: map[hotrestart.ProcessNumber]*peer{}}
}

// slotName returns the name under which the processes of a router find each other: its name and its listen address.
func slotName(cfg *settings.Node) string { return cfg.Name + " " + cfg.Listen }

// acquireSlot acquires a slot for this process among the processes of this router. If that fails, the process serves
// without hot restart.
func (l *peerLinks) acquireSlot(cfg *settings.Node) {
	slot, err := hotrestartipc.AcquireSlot(os.TempDir(), slotName(cfg))
	if err != nil {
		l.log.Warn("process slot unavailable, hot restart disabled", "error", err)
		return
	}
	l.slot = slot
}

// connect starts a link on a connection. Its messages and its end are handled in the event loop.
func (l *peerLinks) connect(p *peer, conn *net.UnixConn) {
	started := make(chan struct{}) // closed when p.link is set; no callback may use p before that
	p.link = hotrestartipc.StartLink(conn, func(m hotrestartipc.Message) {
		<-started
		l.loop.Post(func() { l.onMessage(p, m) })
	}, func(err error) {
		<-started
		l.loop.Post(func() { l.onEnd(p, err) })
	})
	close(started)
}

// awaitSuccessors accepts links from later processes of this router until the slot is closed. It runs in a goroutine of
// its own.
func (l *peerLinks) awaitSuccessors() {
	for {
		conn, err := l.slot.Listener.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // e.g. out of descriptors; keep trying, since a successor must still find this process
			l.log.Warn("hot restart link accept failed", "error", err)
			time.Sleep(acceptRetryInterval)
			continue
		}
		l.loop.Post(func() { l.connect(&peer{}, conn) })
	}
}

// publish makes this process discoverable for processes of protocol version 1.
func (l *peerLinks) publish() {
	if l.slot == nil {
		return
	}
	if err := l.slot.PublishToLegacy(); err != nil {
		l.log.Warn("process slot publication failed", "error", err)
	}
}

// closeAll closes and removes all links, and reports whether there were any. The end of a removed link is not reported.
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

// findPredecessor searches for the newest running process that was started before this one, and connects to it.
func (c *coordinator) findPredecessor() {
	if c.links.slot == nil || c.searching {
		return
	}
	c.searching = true
	linked := slices.Collect(maps.Keys(c.links.byProcess))
	go func() { // ends with the search, which has its own timeouts
		found := c.links.slot.Predecessor()
		var conn *net.UnixConn
		if found != hotrestart.NoProcess && !slices.Contains(linked, found) {
			conn, _ = c.links.slot.Connect(found) // an unreachable predecessor is treated as one that does not reply
		}
		c.loop.Post(func() { c.predecessorFound(found, conn) })
	}()
}

// predecessorFound handles the result of a search for a predecessor. conn is nil if there is no new connection to it.
func (c *coordinator) predecessorFound(found hotrestart.ProcessNumber, conn *net.UnixConn) {
	c.searching = false
	if conn != nil {
		p := &peer{process: found, version: hotrestart.ProtocolVersion}
		c.links.byProcess[found] = p
		c.links.connect(p, conn)
	}
	known := c.machine.Predecessor()
	if known != hotrestart.NoProcess && known != found && c.links.byProcess[known] == nil && !c.links.slot.Alive(known) {
		c.processEnded(known) // without a link, nothing else reports its end
	}
	c.step(hotrestart.Event{Kind: hotrestart.EventPredecessorFound, Process: found})
}

// linkEnded handles the end of a link. The process at the other end may still be running.
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

// watchProcess polls a process whose link has ended until the process ends or a new link to it exists.
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
