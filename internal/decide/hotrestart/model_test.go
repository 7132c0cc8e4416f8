package hotrestart

import "fmt"

// The model: up to three processes of a router, the links between them, a clock that may let any armed timer run out at
// any moment (so that every process is as slow as it likes), and an adversary with a budget of kills, broken links,
// duplicated messages, signals, one cordon, and one idempotency id of a request that clients send again and again.
//
// What the machine leaves to its caller is modelled as it is built: the folder of cordons, which each process that
// has met another one watches, and the consent that the other process has to grant before a request begins.

const modelProcesses = 3

// budget is what the adversary may do.
type budget struct{ starts, kills, linkLosses, duplicates, stops, cordons, requests int8 }

// wireMessage is a message of the model: one of the protocol, or one about the idempotency id.
type wireMessage uint8

const (
	// The low bits of claim, grant and denial say which attempt to begin the request they belong to.
	mayHaveRun   wireMessage = claimAttempts - 1 // the request may have run at the sender
	claimAttempt wireMessage = 32                // may the sender begin it?
	claimGranted wireMessage = 64
	claimDenied  wireMessage = 128
	// idInState is added to MessageState: the id is one that may have run, by the sender's snapshot.
	idInState wireMessage = 8
	// lastProtocolMessage is the greatest message of the protocol.
	lastProtocolMessage wireMessage = wireMessage(MessageHandBack)

	claimAttempts = 16
)

// messageQueue holds the messages on their way from one process to another.
type messageQueue struct {
	length   uint8
	messages [6]wireMessage
}

func (q *messageQueue) push(message wireMessage) bool {
	if int(q.length) == len(q.messages) {
		return false
	}
	q.messages[q.length] = message
	q.length++
	return true
}

func (q *messageQueue) pop() wireMessage {
	first := q.messages[0]
	copy(q.messages[:], q.messages[1:])
	q.length--
	q.messages[q.length] = 0
	return first
}

// modelProcess is one process of a world, with what its caller keeps.
type modelProcess struct {
	machine       Machine
	alive         bool
	searching     bool // it looks for its predecessor
	accepts       bool
	cordoned      bool                 // it knows of the cordon
	idConsumed    bool                 // the id may have run, as far as it knows
	linkBroken    bool                 // a link broke and was not joined again
	idInLastState bool                 // what the latest state says of the id
	attempt       uint8                // the last attempt to begin the request
	linked        [modelProcesses]bool // the link to that process is up
	linkLost      [modelProcesses]bool // the loss of that link is still to be noticed
	ended         [modelProcesses]bool // the end of that process is still to be noticed
	claims        [modelProcesses]bool // the consent of that process is requested
}

// world is one state of the model.
type modelState struct {
	processes      [modelProcesses]modelProcess
	queues         [modelProcesses][modelProcesses]messageQueue // from, to
	cordonInFolder bool
	left           budget
	runs           int8
	// knowledgeLost says that what only killed processes knew is lost with them, as in any crash; a journal on disk
	// is for that.
	idRecordLost bool
	// queueOverflowing says that the state is left out.
	queueOverflowed bool
}

// model explores worlds; ignoreSilentPredecessor brings the fault back that the machine was written against.
type model struct {
	state                   modelState
	ignoreSilentPredecessor bool
	failure                 string
}

func numberOf(i int) ProcessNumber      { return FirstProcess + ProcessNumber(i) }
func indexOf(process ProcessNumber) int { return int(process - FirstProcess) }

// step hands an event to a process's machine and carries its effects out.
func (x *model) step(i int, event Event) {
	p := &x.state.processes[i]
	now := 0.0
	if event.Kind == EventTick {
		now = p.machine.Due()
		if x.ignoreSilentPredecessor && p.machine.phase == PhaseAwaitingState { // a silent predecessor was taken for none
			p.machine.phase, p.machine.predecessor = PhaseFindingPredecessor, NoProcess
			event = Event{Kind: EventPredecessorFound}
		}
	}
	before := p.machine.phase
	for _, effect := range p.machine.Step(now, event) {
		x.carryOut(i, effect)
	}
	if before == PhaseEnded && p.machine.phase != PhaseEnded {
		x.failure = "an ended process goes on"
	}
	// Times are left out of the state: every timer that is armed may run out.
	p.machine.awaitDeadline = 0
	if p.machine.nextHelloAt > 0 {
		p.machine.nextHelloAt = 1
	}
}

func (x *model) send(i, j int, message wireMessage) {
	if !x.state.processes[i].linked[j] || !x.state.processes[j].alive {
		return
	}
	if !x.state.queues[i][j].push(message) {
		x.state.queueOverflowed = true
	}
}

func (x *model) carryOut(i int, effect Effect) {
	p := &x.state.processes[i]
	switch effect.Action {
	case ActionFindPredecessor:
		p.searching = true
	case ActionSend:
		message := wireMessage(effect.Message)
		if effect.Message == MessageState {
			p.linkBroken = false
			if p.idConsumed {
				message |= idInState
			}
		}
		x.send(i, indexOf(effect.Process), message)
	case ActionRestoreState:
		p.idConsumed = p.idConsumed || p.idInLastState
	case ActionStartAccepting:
		p.accepts = true
	case ActionStopAccepting:
		p.accepts = false
	case ActionEnd:
		x.end(i)
	case ActionFinish, ActionDrain, ActionSetShare:
	}
}

// othersLive reports whether a process other than i lives.
func (x *model) othersLive(i int) bool {
	for j := range modelProcesses {
		if j != i && x.state.processes[j].alive {
			return true
		}
	}
	return false
}

// end ends a process; what it has sent still arrives, and then its end is noticed.
func (x *model) end(i int) {
	s := &x.state
	p := &s.processes[i]
	if p.linkBroken || p.machine.successor == NoProcess && p.machine.predecessor == NoProcess {
		// A plain end: a process that starts after it starts from nothing. So it is where a link broke for good.
		s.idRecordLost = true
	}
	for j := range modelProcesses {
		other := &s.processes[j]
		concerned := other.linked[i] || other.machine.predecessor == numberOf(i) || other.machine.successor == numberOf(i)
		if other.alive && concerned {
			other.ended[i] = true
		}
		s.queues[j][i] = messageQueue{}
	}
	s.processes[i] = modelProcess{machine: Machine{Self: numberOf(i), phase: PhaseEnded}}
	if s.idRecordLost && !s.idKnown() {
		s.runs = 0
	}
}

// idKnown reports whether a living process knows that the id may have run, or is about to receive that it may.
func (s *modelState) idKnown() bool {
	for j := range modelProcesses {
		if s.processes[j].alive && s.processes[j].idConsumed {
			return true
		}
		for k := range modelProcesses {
			queue := &s.queues[k][j]
			for _, message := range queue.messages[:queue.length] {
				if message == mayHaveRun || message == wireMessage(MessageState)|idInState || message&claimAttempt != 0 {
					return true
				}
			}
		}
	}
	return false
}

// deliver hands the next message of i to j.
func (x *model) deliver(i, j int) {
	message := x.state.queues[i][j].pop()
	p := &x.state.processes[j]
	switch {
	case message == mayHaveRun:
		p.idConsumed = true
	case message&claimAttempt != 0:
		answer := claimGranted
		if p.idConsumed || p.claims[i] { // where both claim at once neither begins
			answer = claimDenied
		}
		p.idConsumed = p.idConsumed || answer == claimGranted
		x.send(j, i, answer|message&^claimAttempt)
	case message&claimGranted != 0:
		if p.claims[i] && uint8(message&^claimGranted) == p.attempt {
			p.claims[i], p.idConsumed = false, true
			x.run()
		}
	case message&claimDenied != 0:
		if p.claims[i] && uint8(message&^claimDenied) == p.attempt {
			p.claims[i], p.idConsumed = false, true
		}
	default:
		if message&^idInState == wireMessage(MessageState) {
			p.idInLastState = message&idInState != 0
		}
		kind := MessageKind(message &^ idInState)
		x.step(j, Event{Kind: EventMessageReceived, Process: numberOf(i), Message: kind})
	}
}

func (x *model) run() {
	if x.state.runs++; x.state.runs > 1 {
		x.failure = "a request ran twice"
	}
}

// submit sends a client's request to a process.
func (x *model) submit(i int) {
	p := &x.state.processes[i]
	granter, allowed := p.machine.IDGranter()
	if !allowed || p.idConsumed {
		return
	}
	if granter != NoProcess {
		x.claim(i, indexOf(granter))
		return
	}
	p.idConsumed = true
	x.run()
	if successor := p.machine.successor; successor != NoProcess {
		x.send(i, indexOf(successor), mayHaveRun)
	}
}

// claim requests process j's consent for process i, unless a claim is open already.
func (x *model) claim(i, j int) {
	p := &x.state.processes[i]
	if p.claims != [modelProcesses]bool{} {
		return
	}
	if !p.linked[j] || !x.state.processes[j].alive {
		return // rejected: there is no process to claim from, and the end of that process has not been noticed
	}
	p.attempt++
	p.claims[j] = true
	x.send(i, j, claimAttempt|wireMessage(p.attempt))
}

// shareParts are the parts of the platform's limit that the shares allow.
var shareParts = [...]int{ShareNone: 1, ShareReserve: 4, ShareHalf: 40, ShareFull: 80}

// partsLimit is the platform's limit for all processes of a router together.
const partsLimit = 90

// check returns which rule a world breaks, or nothing; quiescent says that nothing is under way.
func (x *model) check(quiescent bool) string {
	if x.failure != "" {
		return x.failure
	}
	sum, living, accepting, starting := 0, 0, 0, 0
	for i := range modelProcesses {
		p := &x.state.processes[i]
		if !p.alive {
			continue
		}
		sum += shareParts[p.machine.share]
		if !p.machine.stopRequested {
			living++
		}
		if p.accepts {
			accepting++
		}
		if p.isStarting() {
			starting++
		}
		if failure := x.checkProcess(i, quiescent); failure != "" {
			return failure
		}
	}
	if sum > partsLimit {
		return fmt.Sprintf("shares of %d where %d is the limit", sum, partsLimit)
	}
	if quiescent && living > 0 && accepting+starting == 0 {
		return "no process accepts, or is about to"
	}
	return ""
}

// isComing reports whether a process is about to accept.
func (p *modelProcess) isStarting() bool {
	return p.machine.phase == PhaseFindingPredecessor || p.awaits()
}

// awaits reports whether a process waits for its predecessor, for a limited time.
func (p *modelProcess) awaits() bool {
	return p.machine.phase == PhaseAwaitingState || p.machine.phase == PhaseAwaitingGoAhead
}

func (x *model) checkProcess(i int, quiescent bool) string {
	p := &x.state.processes[i]
	if p.accepts != p.machine.Accepts() {
		return fmt.Sprintf("process %d accepts: %t, and the machine says %t", i, p.accepts, p.machine.Accepts())
	}
	if quiescent && p.cordoned != x.state.cordonInFolder && p.machine.hasAccepted {
		return fmt.Sprintf("process %d keeps the cordon: %t, and it is in force: %t", i, p.cordoned, x.state.cordonInFolder)
	}
	return ""
}
