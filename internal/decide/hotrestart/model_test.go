package hotrestart

import "fmt"

// The model consists of up to three processes of a router, the links between them, and a clock that may let any armed
// timer expire at any moment, so that every process may be arbitrarily slow. An adversary has a budget of kills,
// broken links, duplicate messages, stop requests, one cordon, and one idempotency id of a request that clients send
// repeatedly.
//
// What the machine leaves to its caller is modeled as it is implemented: the folder of cordons, which each process
// that has met another one watches, and the consent of the other process before a request starts.

const modelProcesses = 3

// budget is how many actions of each kind the adversary may take.
type budget struct{ starts, kills, linkLosses, duplicates, stops, cordons, requests int8 }

// wireMessage is a message of the model: a message of the protocol, or one about the idempotency id.
type wireMessage uint8

const (
	// The low bits of a claim, grant or denial hold the number of the attempt to start the request.
	mayHaveRun   wireMessage = claimAttempts - 1 // the request may have run at the sender
	claimAttempt wireMessage = 32                // asks whether the sender may start the request
	claimGranted wireMessage = 64
	claimDenied  wireMessage = 128
	// idInState is added to MessageState when the id may have run according to the sender's state.
	idInState wireMessage = 8
	// lastProtocolMessage is the highest message of the protocol.
	lastProtocolMessage wireMessage = wireMessage(MessageHandBack)

	claimAttempts = 16
)

// messageQueue holds the messages in flight from one process to another.
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

// modelProcess is one process of the model and the state that its caller keeps.
type modelProcess struct {
	machine       Machine
	alive         bool
	searching     bool // is looking for its predecessor
	accepts       bool
	cordoned      bool                 // knows of the cordon
	idConsumed    bool                 // knows that the id may have run
	linkBroken    bool                 // a link broke and has not been established again
	idInLastState bool                 // whether the latest received state contains the id
	attempt       uint8                // number of the last attempt to start the request
	linked        [modelProcesses]bool // the link to that process is up
	linkLost      [modelProcesses]bool // the loss of that link has not been noticed yet
	ended         [modelProcesses]bool // the end of that process has not been noticed yet
	claims        [modelProcesses]bool // the consent of that process has been requested
}

// modelState is one state of the model.
type modelState struct {
	processes      [modelProcesses]modelProcess
	queues         [modelProcesses][modelProcesses]messageQueue // from, to
	cordonInFolder bool
	left           budget // what the adversary may still do
	runs           int8
	// idRecordLost is set when the only record of the id may have been lost with a killed process, as in any crash;
	// only a journal on disk would prevent that.
	idRecordLost bool
	// queueOverflowed is set when a queue was full; the search skips such states.
	queueOverflowed bool
}

// model computes the next states of a state. ignoreSilentPredecessor reintroduces a fault that the machine prevents: a
// silent predecessor is treated as if there were none.
type model struct {
	state                   modelState
	ignoreSilentPredecessor bool
	failure                 string
}

func numberOf(i int) ProcessNumber      { return FirstProcess + ProcessNumber(i) }
func indexOf(process ProcessNumber) int { return int(process - FirstProcess) }

// step passes an event to the machine of a process and carries out its effects.
func (x *model) step(i int, event Event) {
	p := &x.state.processes[i]
	now := 0.0
	if event.Kind == EventTick {
		now = p.machine.Due()
		if x.ignoreSilentPredecessor && p.machine.phase == PhaseAwaitingState { // the reintroduced fault
			p.machine.phase, p.machine.predecessor = PhaseFindingPredecessor, NoProcess
			event = Event{Kind: EventPredecessorFound}
		}
	}
	before := p.machine.phase
	for _, effect := range p.machine.Step(now, event) {
		x.carryOut(i, effect)
	}
	if before == PhaseEnded && p.machine.phase != PhaseEnded {
		x.failure = "a process left the phase ended"
	}
	// Times are not part of the state, since any armed timer may expire.
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

// othersLive reports whether a process other than i is alive.
func (x *model) othersLive(i int) bool {
	for j := range modelProcesses {
		if j != i && x.state.processes[j].alive {
			return true
		}
	}
	return false
}

// end ends a process. What it has sent still arrives; after that its end is noticed.
func (x *model) end(i int) {
	s := &x.state
	p := &s.processes[i]
	if p.linkBroken || p.machine.successor == NoProcess && p.machine.predecessor == NoProcess {
		// A process that ends without a predecessor or a successor passes nothing on to a process that starts later.
		// Neither does one whose link broke for good.
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

// idKnown reports whether a living process knows that the id may have run, or a message that says so is in flight to
// one.
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

// deliver passes the next message from process i to process j.
func (x *model) deliver(i, j int) {
	message := x.state.queues[i][j].pop()
	p := &x.state.processes[j]
	switch {
	case message == mayHaveRun:
		p.idConsumed = true
	case message&claimAttempt != 0:
		answer := claimGranted
		if p.idConsumed || p.claims[i] { // when both claim at once, neither starts the request
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

// claim requests the consent of process j for process i, unless process i has an open claim.
func (x *model) claim(i, j int) {
	p := &x.state.processes[i]
	if p.claims != [modelProcesses]bool{} {
		return
	}
	if !p.linked[j] || !x.state.processes[j].alive {
		return // rejected: the link or the other process is gone, and its end has not been noticed yet
	}
	p.attempt++
	p.claims[j] = true
	x.send(i, j, claimAttempt|wireMessage(p.attempt))
}

// shareParts is how much of the platform's limit each share allows.
var shareParts = [...]int{ShareNone: 1, ShareReserve: 4, ShareHalf: 40, ShareFull: 80}

// partsLimit is the platform's limit for all processes of a router together.
const partsLimit = 90

// check returns the invariant that the state violates, or "". quiescent means that no guaranteed change is left.
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
		return fmt.Sprintf("the shares add up to %d, which exceeds the limit of %d", sum, partsLimit)
	}
	if quiescent && living > 0 && accepting+starting == 0 {
		return "no process accepts clients or is about to"
	}
	return ""
}

// isStarting reports whether a process is about to accept clients.
func (p *modelProcess) isStarting() bool {
	return p.machine.phase == PhaseFindingPredecessor || p.awaits()
}

// awaits reports whether a process waits for its predecessor; this wait has a deadline.
func (p *modelProcess) awaits() bool {
	return p.machine.phase == PhaseAwaitingState || p.machine.phase == PhaseAwaitingGoAhead
}

func (x *model) checkProcess(i int, quiescent bool) string {
	p := &x.state.processes[i]
	if p.accepts != p.machine.Accepts() {
		return fmt.Sprintf("process %d accepts clients: %t, its machine reports: %t", i, p.accepts, p.machine.Accepts())
	}
	if quiescent && p.cordoned != x.state.cordonInFolder && p.machine.hasAccepted {
		return fmt.Sprintf("process %d applies the cordon: %t, it is set: %t", i, p.cordoned, x.state.cordonInFolder)
	}
	return ""
}
