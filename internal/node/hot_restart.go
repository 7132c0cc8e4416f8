package node

import (
	"log/slog"
	"maps"
	"math"
	"os"
	"slices"

	"windflow/internal/decide/hotrestart"
	"windflow/internal/router"
)

// A hot restart is a second process of a router that is started while the first one serves. Package hotrestart
// decides how it goes; the coordinator has the sockets, files and timers that its machine wants. In the plain case:
//
//	successor:   hello     repeated until it is answered
//	predecessor: state     ids, what was learnt, and the descriptors of listeners that both need
//	successor:   ready     it has all that it takes to accept
//	predecessor: go-ahead  it accepts no more; the successor accepts, and is ready
//
// On SIGTERM the predecessor finishes what it accepted, hands over its tickets and its BGP session, and ends. Should
// the successor end first, the predecessor continues as before.

const (
	// generations is how many values a generation has; two processes that live at the same time have different ones.
	generationCount = 16
	// farewellMS is the time for the last messages of a process that ends.
	linkFlushMS = 100.0
)

// restartActions are the machine's effects on a process, beside talking to other processes, and what the coordinator
// reports.
type restartActions interface {
	// serving reports whether the router has been built.
	serving() bool
	// exportState returns the state for a successor; the coordinator closes the files.
	exportState() (stateMessage, []*os.File)
	// restoreState continues from the predecessor's state. Its files are closed when it returns.
	restoreState(from *handover)
	// takenListeners are the names of the listeners on which this process accepts in place of the other one.
	takenListeners() []string
	startAccepting()
	// stopAccepting releases the listeners that the other process has taken.
	stopAccepting(taken []string)
	leave()
	drain()
	end()
	// shareChanged applies another share of the limits.
	shareChanged()
	// partnerChanged reports the process that this one shares the router with, nil for none.
	partnerChanged(partner *peer)
	// partnerLost reports that the link to that process has ended, whether it lives or not.
	partnerLost()
	// partnerEnded reports that it lives no more.
	partnerEnded()
}

// handover is what this process has received from the other one.
type handover struct {
	state stateMessage
	files map[string]*os.File // the listeners received with the state, by name; open while it is restored
	taken []string            // the listeners that the other process has taken
}

// coordinator takes this process through hot restarts: it drives the machine of package hotrestart.
type coordinator struct {
	log        *slog.Logger
	loop       *router.Loop
	life       *lifecycle
	actions    restartActions
	machine    hotrestart.Machine
	timer      *router.Timer
	generation uint8
	links      *peerLinks
	partner    *partnerLink
	searching  bool // a search for a predecessor is under way
	received   handover
	handlers   map[string]messageHandler // of the messages that are not the machine's, by kind
}

func newCoordinator(
	log *slog.Logger, loop *router.Loop, life *lifecycle, links *peerLinks, actions restartActions,
) *coordinator {
	c := &coordinator{
		log: log, loop: loop, life: life, actions: actions, links: links, partner: &partnerLink{},
		handlers: map[string]messageHandler{msgBye: receiveBye},
	}
	links.onMessage, links.onEnd = c.receive, c.linkEnded
	return c
}

// handle adds handlers of messages, by kind.
func (c *coordinator) handle(handlers map[string]messageHandler) { maps.Copy(c.handlers, handlers) }

// start starts the machine; the caller runs the loop.
func (c *coordinator) start() {
	self := hotrestart.FirstProcess
	if c.links.slot != nil {
		self = c.links.slot.Process
	}
	c.generation = uint8(self % generationCount)
	var effects []hotrestart.Effect
	c.machine, effects = hotrestart.New(self, c.loop.Now(), hotrestart.DefaultSettings)
	for _, effect := range effects {
		c.carryOut(effect)
	}
	if c.links.slot == nil {
		c.step(hotrestart.Event{Kind: hotrestart.EventPredecessorFound})
	}
}

// step hands the machine an event and carries out what it wants.
func (c *coordinator) step(event hotrestart.Event) {
	oldPhase := c.machine.Phase()
	for _, effect := range c.machine.Step(c.loop.Now(), event) {
		c.carryOut(effect)
	}
	if newPhase := c.machine.Phase(); newPhase != oldPhase {
		c.log.Info("hot restart phase changed", "phase", newPhase.String(), "former_phase", oldPhase.String(),
			"process", uint64(c.machine.Self), "predecessor", uint64(c.machine.Predecessor()),
			"successor", uint64(c.machine.Successor()))
	}
	c.timer.Stop()
	if due := c.machine.Due(); !math.IsInf(due, 1) {
		c.timer = c.loop.At(due, func() { c.step(hotrestart.Event{Kind: hotrestart.EventTick}) })
	}
	c.updatePartner()
}

func (c *coordinator) carryOut(effect hotrestart.Effect) {
	if c.life.failed() {
		return
	}
	switch effect.Action {
	case hotrestart.ActionFindPredecessor:
		c.findPredecessor()
	case hotrestart.ActionSend:
		c.send(c.links.byProcess[effect.Process], effect.Message)
	case hotrestart.ActionRestoreState:
		c.actions.restoreState(&c.received)
	case hotrestart.ActionStartAccepting:
		c.actions.startAccepting()
	case hotrestart.ActionStopAccepting:
		c.actions.stopAccepting(c.received.taken)
	case hotrestart.ActionFinish:
		c.actions.leave()
	case hotrestart.ActionDrain:
		c.actions.drain()
	case hotrestart.ActionEnd:
		c.actions.end()
	case hotrestart.ActionSetShare:
		c.actions.shareChanged()
	}
}

// stopRequested tells the machine that the process was requested to end.
func (c *coordinator) stopRequested() { c.step(hotrestart.Event{Kind: hotrestart.EventStopRequested}) }

// quiet tells the machine that nothing has been open for a while.
func (c *coordinator) reportIdle() { c.step(hotrestart.Event{Kind: hotrestart.EventIdle}) }

func (c *coordinator) phase() hotrestart.Phase { return c.machine.Phase() }
func (c *coordinator) share() hotrestart.Share { return c.machine.Share() }

// processNumber is this process's number in the order of starts.
func (c *coordinator) processNumber() uint64 { return uint64(c.machine.Self) }

// predecessorHandsOver reports whether the predecessor's state names a part that has something to hand over.
func (c *coordinator) predecessorHandsOver(part string) bool {
	return slices.Contains(c.received.state.Parts, part)
}

// hasPredecessor reports whether a process that was there before lives.
func (c *coordinator) hasPredecessor() bool { return c.machine.Predecessor() != hotrestart.NoProcess }

// hasOther reports whether another process takes part in a hot restart with this one.
func (c *coordinator) hasOtherProcess() bool {
	return c.hasPredecessor() || c.machine.Successor() != hotrestart.NoProcess
}

// idGrantor returns the process whose grant a claim of an idempotency id needs, nil for none; false says that no claim
// can be granted now.
func (c *coordinator) idGrantor() (grantor *peer, possible bool) {
	process, allowed := c.machine.IDGranter()
	if !allowed {
		return nil, false
	}
	if process == hotrestart.NoProcess {
		return nil, true
	}
	grantor = c.links.byProcess[process]
	return grantor, grantor != nil
}

// partnerPeer is the process that this one shares the router with, nil for none.
func (c *coordinator) partnerPeer() *peer { return c.partner.peer }

// updatePartner begins the exchange with the process that this one shares the router with, or ends it.
func (c *coordinator) updatePartner() {
	var partner *peer
	if c.actions.serving() {
		partner = c.sharingPeer()
	}
	if partner == c.partner.peer {
		return
	}
	c.partner.peer = partner
	c.actions.partnerChanged(partner)
}

// sharingPeer is the process that shares the router with this one by the machine's state.
func (c *coordinator) sharingPeer() *peer {
	phase := c.machine.Phase()
	switch {
	case c.hasPredecessor() && phase != hotrestart.PhaseAwaitingState && phase != hotrestart.PhaseDegraded:
		return c.links.byProcess[c.machine.Predecessor()]
	case c.machine.Successor() != hotrestart.NoProcess:
		return c.links.byProcess[c.machine.Successor()]
	}
	return nil
}

// processEnded continues without a process that has ended.
func (c *coordinator) processEnded(process hotrestart.ProcessNumber) {
	shared := process == c.machine.Predecessor() && c.machine.Phase() != hotrestart.PhaseAwaitingState ||
		process == c.machine.Successor()
	c.step(hotrestart.Event{Kind: hotrestart.EventProcessEnded, Process: process})
	if shared && c.actions.serving() && !c.life.failed() {
		c.actions.partnerEnded()
	}
}

// end ends the links, then the process once what it sent to others is written, or its time is up.
func (c *coordinator) end() {
	if !c.links.closeAll() {
		c.life.stop()
		return
	}
	c.loop.After(linkFlushMS, c.life.stop)
}
