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

// In a hot restart a second process of a router is started while the first one serves. The state machine of package
// hotrestart decides on each step; the coordinator carries the steps out with sockets, files and timers. Without faults
// the processes exchange these messages:
//
//	successor:   hello     repeated until it is answered
//	predecessor: state     idempotency ids, learnt estimates, and the descriptors of listeners that both need
//	successor:   ready     it has everything that it needs to accept
//	predecessor: go-ahead  it no longer accepts; the successor accepts, and is ready
//
// On SIGTERM the predecessor finishes what it accepted, hands over its tickets and its BGP session, and exits. If the
// successor exits first, the predecessor continues as before.

const (
	// generationCount is how many different generations there are. Two processes that run at the same time have different
	// generations.
	generationCount = 16
	// linkFlushMS is how long a process that exits waits for its last messages to be written to its links.
	linkFlushMS = 100.0
)

// restartActions are the effects of the state machine on the router, and the events that the coordinator reports to it.
// Messages to other processes are not among them: the coordinator sends those itself.
type restartActions interface {
	// serving reports whether the router's services have been built.
	serving() bool
	// exportState returns the state for a successor and the descriptors to pass with it. The coordinator closes the
	// files.
	exportState() (stateMessage, []*os.File)
	// restoreState continues from the predecessor's state. The coordinator closes the received files afterwards.
	restoreState(from *handover)
	// takenListeners returns the names of the listeners on which this process accepts in place of the other one.
	takenListeners() []string
	startAccepting()
	// stopAccepting stops accepting on the listeners that the other process has taken.
	stopAccepting(taken []string)
	// leave finishes what this process accepted, while the other process accepts.
	leave()
	// drain shuts the process down without a successor.
	drain()
	// end ends the process.
	end()
	// shareChanged applies the limits again after this process's share of them has changed.
	shareChanged()
	// partnerChanged reports the process that this one shares the router with, nil for none.
	partnerChanged(partner *peer)
	// partnerLost reports that the link to that process has ended, whether it still runs or not.
	partnerLost()
	// partnerEnded reports that that process has ended.
	partnerEnded()
}

// handover holds what this process has received from the other one.
type handover struct {
	state stateMessage
	files map[string]*os.File // the listeners received with the state, by name; open until it is restored
	taken []string            // the listeners that the other process has taken
}

// coordinator takes this process through hot restarts: it drives the state machine of package hotrestart.
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
	searching  bool // a search for a predecessor is running
	received   handover
	handlers   map[string]messageHandler // for messages that the state machine does not handle, by kind
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

// handle adds message handlers, by kind of message.
func (c *coordinator) handle(handlers map[string]messageHandler) { maps.Copy(c.handlers, handlers) }

// start starts the state machine. The caller runs the event loop.
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

// step passes an event to the state machine and carries out the resulting effects.
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

// stopRequested tells the state machine that a signal requested the process to end.
func (c *coordinator) stopRequested() { c.step(hotrestart.Event{Kind: hotrestart.EventStopRequested}) }

// reportIdle tells the state machine that the process has had nothing open for the required time.
func (c *coordinator) reportIdle() { c.step(hotrestart.Event{Kind: hotrestart.EventIdle}) }

func (c *coordinator) phase() hotrestart.Phase { return c.machine.Phase() }
func (c *coordinator) share() hotrestart.Share { return c.machine.Share() }

// processNumber returns the number of this process, which counts the starts of this router's processes.
func (c *coordinator) processNumber() uint64 { return uint64(c.machine.Self) }

// predecessorHandsOver reports whether the predecessor's state announces a handover for a part.
func (c *coordinator) predecessorHandsOver(part string) bool {
	return slices.Contains(c.received.state.Parts, part)
}

// hasPredecessor reports whether a process that was started before this one is running.
func (c *coordinator) hasPredecessor() bool { return c.machine.Predecessor() != hotrestart.NoProcess }

// hasOtherProcess reports whether this process has a predecessor or a successor.
func (c *coordinator) hasOtherProcess() bool {
	return c.hasPredecessor() || c.machine.Successor() != hotrestart.NoProcess
}

// idGrantor returns the process that has to grant this process's claims of idempotency ids, or nil if none has to.
// possible is false if no claim can be granted at present.
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

// partnerPeer returns the link to the process that this one shares the router with, or nil if there is none.
func (c *coordinator) partnerPeer() *peer { return c.partner.peer }

// updatePartner starts or ends the exchange with the process that this one shares the router with, according to the
// state machine.
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

// sharingPeer returns the link to the process that shares the router with this one according to the state machine, or
// nil if there is none.
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

// processEnded handles the end of another process of this router.
func (c *coordinator) processEnded(process hotrestart.ProcessNumber) {
	shared := process == c.machine.Predecessor() && c.machine.Phase() != hotrestart.PhaseAwaitingState ||
		process == c.machine.Successor()
	c.step(hotrestart.Event{Kind: hotrestart.EventProcessEnded, Process: process})
	if shared && c.actions.serving() && !c.life.failed() {
		c.actions.partnerEnded()
	}
}

// end closes the links and ends the process, after linkFlushMS if there are links: their last messages have that time
// to be written.
func (c *coordinator) end() {
	if !c.links.closeAll() {
		c.life.stop()
		return
	}
	c.loop.After(linkFlushMS, c.life.stop)
}
