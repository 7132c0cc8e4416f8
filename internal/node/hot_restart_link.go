package node

import (
	"errors"
	"maps"
	"net"
	"os"
	"slices"
	"time"

	"windflow/internal/decide/hotrestart"
	"windflow/internal/hotrestartipc"
)

const (
	// aliveIntervalMS is how often a process whose link has ended is looked at.
	aliveIntervalMS = 25.0
	// acceptRetryInterval is the pause after a failed accept.
	acceptRetryInterval = 50 * time.Millisecond
)

// peer is a link to another process of this router, and who that is.
type peer struct {
	link    *hotrestartipc.Link
	process hotrestart.ProcessNumber // None until it has said hello
	version int
	bye     bool // it said goodbye and lives on
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

// findPredecessor finds the newest living process before this one, and links up with it.
func (c *coordinator) findPredecessor() {
	if c.slot == nil || c.searching {
		return
	}
	c.searching = true
	linked := slices.Collect(maps.Keys(c.links))
	go func() { // ends with the search, which has timeouts of its own
		found := c.slot.Predecessor()
		var conn *net.UnixConn
		if found != hotrestart.NoProcess && !slices.Contains(linked, found) {
			conn, _ = c.slot.Connect(found) // a predecessor that can't be reached is one that is silent
		}
		c.loop.Post(func() { c.predecessorFound(found, conn) })
	}()
}

// predecessorFound goes on after a search; conn is nil where there is no new link.
func (c *coordinator) predecessorFound(found hotrestart.ProcessNumber, conn *net.UnixConn) {
	c.searching = false
	if conn != nil {
		p := &peer{process: found, version: hotrestart.ProtocolVersion}
		c.links[found] = p
		c.connect(p, conn)
	}
	known := c.machine.Predecessor()
	if known != hotrestart.NoProcess && known != found && c.links[known] == nil && !c.slot.Alive(known) {
		c.processEnded(known) // there was no link to it whose end would show its own
	}
	c.step(hotrestart.Event{Kind: hotrestart.EventPredecessorFound, Process: found})
}

// connect runs a link.
func (c *coordinator) connect(p *peer, conn *net.UnixConn) {
	started := make(chan struct{})
	p.link = hotrestartipc.StartLink(conn, func(m hotrestartipc.Message) {
		<-started
		c.loop.Post(func() { c.receive(p, m) })
	}, func(err error) {
		<-started
		c.loop.Post(func() { c.linkEnded(p, err) })
	})
	close(started)
}

// awaitSuccessors accepts the links of the next processes of this router, until the slot is closed.
func (c *coordinator) awaitSuccessors() {
	for {
		conn, err := c.slot.Listener.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // short of descriptors: a successor must find this process all the same
			c.log.Warn("hot restart link accept failed", "error", err)
			time.Sleep(acceptRetryInterval)
			continue
		}
		c.loop.Post(func() { c.connect(&peer{}, conn) })
	}
}

// linkEnded goes on after a link that ended; the process at its other end may live.
func (c *coordinator) linkEnded(ended *peer, err error) {
	if ended.process == hotrestart.NoProcess || c.links[ended.process] != ended {
		return
	}
	delete(c.links, ended.process)
	if c.partner.peer == ended {
		c.actions.partnerLost()
	}
	if ended.bye || ended.process != hotrestart.LegacySuccessor && c.slot.Alive(ended.process) {
		c.log.Info("process link closed", "process", uint64(ended.process), "error", err)
		c.step(hotrestart.Event{Kind: hotrestart.EventLinkLost, Process: ended.process})
		if !ended.bye {
			c.watchProcess(ended.process)
		}
		return
	}
	c.processEnded(ended.process)
}

// watchProcess waits for the end of a process to which the link has ended.
func (c *coordinator) watchProcess(process hotrestart.ProcessNumber) {
	c.loop.After(aliveIntervalMS, func() {
		switch {
		case c.links[process] != nil:
		case c.slot.Alive(process):
			c.watchProcess(process)
		default:
			c.processEnded(process)
		}
	})
}
