package hotrestart

import (
	"fmt"
	"hash/maphash"
	"strings"
	"testing"
)

// The model: up to three processes of a router, the links between them, a clock that may let any armed timer run out at
// any moment (so that every process is as slow as it likes), and an adversary with a budget of kills, broken links,
// messages that come twice, signals, one ban by hand, and one id of a load that clients send again and again.
//
// What the machine leaves to its caller is modelled as it is built: the folder of bans, which each process that has met
// another one watches, and the word that is asked of the other process before a load begins.

const procs = 3

// budget is what the adversary may do.
type budget struct{ starts, kills, cuts, dups, stops, bans, loads int8 }

// note is what a message of the model carries: a message of the protocol, or one about the load's id.
type note uint8

const (
	about note = 16                    // the low bits say which attempt to begin the load a question or an answer belongs to
	askID note = 32                    // may I begin it?
	yesID note = 64                    //
	noID  note = 128                   //
	told  note = about - 1             // it may have run here
	asIs  note = 8                     // added to State: the sender's snapshot has the id as one that may have run
	kinds note = note(MessageHandBack) // the greatest of the protocol
)

type queue struct {
	n uint8
	m [6]note
}

func (q *queue) push(m note) bool {
	if int(q.n) == len(q.m) {
		return false
	}
	q.m[q.n] = m
	q.n++
	return true
}

func (q *queue) pop() note {
	m := q.m[0]
	copy(q.m[:], q.m[1:])
	q.n--
	q.m[q.n] = 0
	return m
}

type proc struct {
	m                    Machine
	alive, looking       bool
	accepts, ban, spent  bool
	torn                 bool // a link broke and was not joined again
	state                bool // what the state that came last says of the id
	asked, attempt       uint8
	up, cut, gone, claim [procs]bool
}

type world struct {
	p      [procs]proc
	q      [procs][procs]queue // from, to
	folder bool
	left   budget
	runs   int8
	lost   bool // what only killed processes knew is lost with them, as in any crash; a journal on disk is for that
	broken bool // a queue ran over: the state is left out
}

// model explores worlds; old brings the fault back that the machine was written against.
type model struct {
	w    world
	old  bool
	fail string
}

func peer(i int) ProcessNumber  { return FirstProcess + ProcessNumber(i) }
func index(p ProcessNumber) int { return int(p - FirstProcess) }

func (x *model) step(i int, ev Event) {
	p := &x.w.p[i]
	now := 0.0
	if ev.Kind == EventTick {
		now = p.m.Due()
		if x.old && p.m.phase == PhaseAwaitingState { // as it was: a silent elder was taken for none
			p.m.phase, p.m.predecessor = PhaseFindingPredecessor, NoProcess
			ev = Event{Kind: EventPredecessorFound}
		}
	}
	before := p.m.phase
	for _, e := range p.m.Step(now, ev) {
		x.effect(i, e)
	}
	if before == PhaseEnded && p.m.phase != PhaseEnded {
		x.fail = "an ended process goes on"
	}
	// Times are left out of the state: every timer that is armed may run out.
	p.m.awaitDeadline = 0
	if p.m.nextHelloAt > 0 {
		p.m.nextHelloAt = 1
	}
}

func (x *model) send(i, j int, m note) {
	if !x.w.p[i].up[j] || !x.w.p[j].alive {
		return
	}
	if !x.w.q[i][j].push(m) {
		x.w.broken = true
	}
}

func (x *model) effect(i int, e Effect) {
	p := &x.w.p[i]
	switch e.Action {
	case ActionFindPredecessor:
		p.looking = true
	case ActionSend:
		m := note(e.Message)
		if e.Message == MessageState {
			p.torn = false
			if p.spent {
				m |= asIs
			}
		}
		x.send(i, index(e.Process), m)
	case ActionRestoreState:
		p.spent = p.spent || p.state
	case ActionStartAccepting:
		p.accepts = true
	case ActionStopAccepting:
		p.accepts = false
	case ActionEnd:
		x.end(i)
	}
}

func (x *model) lives(but int) bool {
	for j := range procs {
		if j != but && x.w.p[j].alive {
			return true
		}
	}
	return false
}

// end has a process end; what it has sent still arrives, and then its end does.
func (x *model) end(i int) {
	w := &x.w
	if p := &w.p[i]; p.torn || p.m.successor == NoProcess && p.m.predecessor == NoProcess {
		w.lost = true // a plain end: who starts after it starts from nothing; so it is where a link broke and was not joined again
	}
	for j := range procs {
		if q := &w.p[j]; q.alive && (q.up[i] || q.m.predecessor == peer(i) || q.m.successor == peer(i)) {
			q.gone[i] = true
		}
		w.q[j][i] = queue{}
	}
	w.p[i] = proc{m: Machine{Self: peer(i), phase: PhaseEnded}}
	known := false
	for j := range procs {
		known = known || w.p[j].alive && w.p[j].spent
		for k := range procs {
			for _, m := range w.q[k][j].m[:w.q[k][j].n] {
				known = known || m == told || m == note(MessageState)|asIs || m&askID != 0
			}
		}
	}
	if w.lost && !known {
		w.runs = 0
	}
}

// deliver hands the next message of i to j.
func (x *model) deliver(i, j int) {
	m := x.w.q[i][j].pop()
	p := &x.w.p[j]
	switch {
	case m == told:
		p.spent = true
	case m&askID != 0:
		answer := yesID | m&^askID
		switch {
		case p.spent, p.claim[i]: // where both ask at once neither begins
			answer = noID | m&^askID
		default:
			p.spent = true
		}
		x.send(j, i, answer)
	case m&yesID != 0:
		if p.claim[i] && uint8(m&^yesID) == p.attempt {
			p.claim[i] = false
			p.spent = true
			x.run()
		}
	case m&noID != 0:
		if p.claim[i] && uint8(m&^noID) == p.attempt {
			p.claim[i], p.spent = false, true
		}
	default:
		if m&^asIs == note(MessageState) {
			p.state = m&asIs != 0
		}
		x.step(j, Event{Kind: EventMessageReceived, Process: peer(i), Message: MessageKind(m &^ asIs)})
	}
}

func (x *model) run() {
	if x.w.runs++; x.w.runs > 1 {
		x.fail = "a load ran twice"
	}
}

// submit has a client send the load to a process.
func (x *model) submit(i int) {
	p := &x.w.p[i]
	ask, may := p.m.MustAsk()
	if !may || p.spent {
		return
	}
	if ask != NoProcess {
		j := index(ask)
		for k := range procs {
			if p.claim[k] {
				return // one at a time
			}
		}
		if !p.up[j] || !x.w.p[j].alive {
			return // refused: there is nobody to ask, and the end of that process has not been heard of
		}
		p.attempt++
		p.claim[j] = true
		x.send(i, j, askID|note(p.attempt))
		return
	}
	p.spent = true
	x.run()
	if n := p.m.successor; n != NoProcess {
		x.send(i, index(n), told)
	}
}

// each calls f with every world that may follow, and a name for what happened; prompt tells what must happen soon by
// itself.
func (x *model) each(f func(next *model, prompt bool, name string, i, j int)) {
	w := x.w
	try := func(prompt bool, name string, i, j int, do func(y *model)) {
		y := &model{w: w, old: x.old}
		do(y)
		f(y, prompt, name, i, j)
	}
	for i := range procs {
		p := &w.p[i]
		if !p.alive {
			if w.left.starts > 0 && p.m.Self == NoProcess && (i == 0 || w.p[i-1].m.Self != NoProcess) {
				try(false, "start", i, 0, func(y *model) {
					y.w.left.starts--
					var effects []Effect
					q := &y.w.p[i]
					q.alive = true
					for j := range procs {
						if j != i && w.p[j].alive {
							q.ban = w.folder
						}
					}
					if !q.ban { // the folder of a router that nobody stands for is cleared as the place is taken
						y.w.folder = y.w.folder && y.lives(i)
					}
					q.m, effects = New(peer(i), 0, DefaultSettings)
					q.m.awaitDeadline = 0
					for _, e := range effects {
						y.effect(i, e)
					}
				})
			}
			continue
		}
		if p.looking {
			try(true, "looks", i, 0, func(y *model) {
				y.w.p[i].looking = false
				found := NoProcess
				for j := i - 1; j >= 0 && found == NoProcess; j-- {
					if w.p[j].alive {
						found = peer(j)
						if !w.p[i].up[j] {
							y.w.p[i].up[j], y.w.p[j].up[i] = true, true
							y.w.p[i].torn = false
						}
					}
				}
				y.step(i, Event{Kind: EventPredecessorFound, Process: found}) // an end that it shows is heard of as well: gone
			})
		}
		if p.ban != w.folder {
			try(true, "sees the folder", i, 0, func(y *model) { y.w.p[i].ban = w.folder })
		}
		for j := range procs {
			if w.q[j][i].n > 0 && p.up[j] {
				try(true, "hears", i, j, func(y *model) { y.deliver(j, i) })
				if m := w.q[j][i].m[0]; w.left.dups > 0 && m&^asIs <= kinds {
					try(false, "hears twice", i, j, func(y *model) {
						y.w.left.dups--
						y.deliver(j, i)
						if y.w.p[i].alive && y.w.p[j].alive {
							y.w.q[j][i].push(m) // late as well: it comes after all that was sent since
						}
					})
				}
			} else if p.gone[j] {
				try(true, "hears of the end of", i, j, func(y *model) {
					q := &y.w.p[i]
					q.gone[j], q.up[j], q.cut[j], q.claim[j] = false, false, false, false
					y.step(i, Event{Kind: EventProcessEnded, Process: peer(j)})
				})
			} else if p.cut[j] {
				try(true, "hears of the broken link to", i, j, func(y *model) {
					y.w.p[i].cut[j], y.w.p[i].claim[j] = false, false
					y.step(i, Event{Kind: EventLinkLost, Process: peer(j)})
				})
			}
			if p.claim[j] {
				try(false, "waits no longer for the word of", i, j, func(y *model) { y.w.p[i].claim[j] = false })
			}
			if j < i && p.up[j] && w.p[j].alive && w.left.cuts > 0 {
				try(false, "loses the link to", i, j, func(y *model) {
					y.w.left.cuts--
					y.w.q[i][j], y.w.q[j][i] = queue{}, queue{}
					y.w.p[i].up[j], y.w.p[j].up[i] = false, false
					y.w.p[i].cut[j], y.w.p[j].cut[i] = true, true
					y.w.p[i].torn, y.w.p[j].torn = true, true
				})
			}
		}
		// A process asks again and again; it is enough to have it ask when nothing of that is under way.
		idle := true
		if e := p.m.predecessor; e != NoProcess {
			idle = w.q[i][index(e)].n == 0 && w.q[index(e)][i].n == 0
		}
		if due := p.m.Due(); !p.looking && (p.m.phase == PhaseAwaitingState || p.m.phase == PhaseAwaitingGoAhead || due < 1e300 && idle) {
			if p.m.nextHelloAt > 0 && idle {
				try(false, "asks again", i, 0, func(y *model) {
					q := &y.w.p[i]
					q.m.awaitDeadline = 1e6 // this time only the other timer runs out
					y.step(i, Event{Kind: EventTick})
				})
			}
			if p.m.phase == PhaseAwaitingState || p.m.phase == PhaseAwaitingGoAhead {
				try(false, "has waited long", i, 0, func(y *model) {
					q := &y.w.p[i]
					again := q.m.nextHelloAt
					q.m.nextHelloAt, q.m.awaitDeadline = 0, 1
					y.step(i, Event{Kind: EventTick})
					if q.alive && q.m.nextHelloAt == 0 {
						q.m.nextHelloAt = again
					}
				})
			}
		}
		if w.left.kills > 0 {
			try(false, "is killed", i, 0, func(y *model) { y.w.left.kills--; y.w.lost = true; y.end(i) })
		}
		if w.left.stops > 0 && !p.m.stopRequested {
			try(false, "is told to end", i, 0, func(y *model) { y.w.left.stops--; y.step(i, Event{Kind: EventStopRequested}) })
		}
		if p.m.phase == PhaseFinishing || p.m.phase == PhaseDraining {
			try(false, "has nothing open", i, 0, func(y *model) { y.step(i, Event{Kind: EventIdle}) })
		}
		if w.left.bans > 0 && p.accepts {
			try(false, "is told of a ban", i, 0, func(y *model) {
				y.w.left.bans--
				y.w.folder, y.w.p[i].ban = true, true
			})
		}
		if w.left.loads > 0 && (p.accepts || p.m.phase == PhaseSuperseded || p.m.phase == PhaseFinishing) {
			try(false, "gets the load", i, 0, func(y *model) { y.w.left.loads--; y.submit(i) })
		}
	}
}

var parts = [...]int{ShareNone: 1, ShareReserve: 4, ShareHalf: 40, ShareFull: 80}

// limit is that of the platform for all processes of a router together, in the parts' unit.
const limit = 90

// check gives what is wrong with a world; settled says that nothing is under way.
func (x *model) check(settled bool) string {
	if x.fail != "" {
		return x.fail
	}
	sum, living, accepting, coming := 0, 0, 0, 0
	for i := range procs {
		p := &x.w.p[i]
		if !p.alive {
			continue
		}
		sum += parts[p.m.share]
		if !p.m.stopRequested {
			living++
		}
		if p.accepts {
			accepting++
		}
		if p.accepts != p.m.Accepts() {
			return fmt.Sprintf("process %d accepts: %t, and the machine says %t", i, p.accepts, p.m.Accepts())
		}
		if p.m.phase == PhaseFindingPredecessor || p.m.phase == PhaseAwaitingState || p.m.phase == PhaseAwaitingGoAhead {
			coming++
		}
		if settled && p.ban != x.w.folder && p.m.hasAccepted {
			return fmt.Sprintf("process %d keeps the ban: %t, and it is in force: %t", i, p.ban, x.w.folder)
		}
	}
	if sum > limit {
		return fmt.Sprintf("bounds of %d where %d is the limit", sum, limit)
	}
	if settled && living > 0 && accepting+coming == 0 {
		return "nobody accepts, or is about to"
	}
	return ""
}

var seed = maphash.MakeSeed()

type came struct {
	from uint64
	by   string
	i, j int8
}

// explore visits every world within depth steps of the start; it gives the number of worlds and the shortest way to the
// first that is wrong.
func explore(left budget, depth int, old bool) (seen int, deep int, wrong string) {
	start := &model{w: world{left: left}, old: old}
	at := maphash.Comparable(seed, start.w)
	ways := map[uint64]came{at: {}}
	type item struct {
		w  world
		at uint64
	}
	next := []item{{start.w, at}}
	for ; deep < depth && len(next) > 0; deep++ {
		now := next
		next = nil
		for _, here := range now {
			x := &model{w: here.w, old: old}
			settled := true
			x.each(func(y *model, prompt bool, name string, i, j int) {
				settled = settled && !prompt
				if wrong != "" || y.w.broken {
					return
				}
				to := maphash.Comparable(seed, y.w)
				if _, known := ways[to]; known && y.fail == "" {
					return
				}
				ways[to] = came{here.at, name, int8(i), int8(j)}
				if bad := y.check(false); bad != "" {
					wrong = bad + "\n" + history(ways, to)
					return
				}
				next = append(next, item{y.w, to})
			})
			if bad := x.check(settled); bad != "" && wrong == "" {
				wrong = bad + "\n" + history(ways, here.at)
			}
			if wrong != "" {
				return len(ways), deep, wrong
			}
		}
	}
	return len(ways), deep, ""
}

func history(ways map[uint64]came, at uint64) string {
	var lines []string
	for len(lines) < 100 {
		way := ways[at]
		if way.by == "" {
			break
		}
		lines = append(lines, fmt.Sprintf("  %d %s %d", way.i, way.by, way.j))
		at = way.from
	}
	var b strings.Builder
	for i := len(lines) - 1; i >= 0; i-- {
		fmt.Fprintln(&b, lines[i])
	}
	return b.String()
}

// Every interleaving, to the depth given, keeps the rules. They are: the bounds of all processes fit the limits at each
// moment; a ban told to any is kept by all that serve; a load runs once; somebody accepts, or is about to.
func TestModel(t *testing.T) {
	for _, c := range []struct {
		name  string
		left  budget
		depth int
	}{
		{"two processes, all there is to happen", budget{starts: 2, kills: 1, cuts: 1, dups: 1, stops: 2, bans: 1, loads: 2}, 16},
		{"two processes, kills and bans", budget{starts: 2, kills: 2, stops: 1, bans: 2}, 60},
		{"two processes, loads and broken links", budget{starts: 2, kills: 1, cuts: 2, stops: 1, loads: 3}, 60},
		{"three processes, kills and signals", budget{starts: 3, kills: 2, stops: 2, bans: 1}, 60},
		{"three processes, loads", budget{starts: 3, kills: 1, stops: 1, loads: 2}, 60},
		{"three processes, broken links", budget{starts: 3, kills: 1, cuts: 1, stops: 1, bans: 1}, 60},
		{"three processes, all there is to happen", budget{starts: 3, kills: 1, cuts: 1, dups: 1, stops: 1, bans: 1, loads: 2}, 12},
	} {
		seen, deep, wrong := explore(c.left, c.depth, false)
		t.Logf("%s: %d states to depth %d (all there are: %t)", c.name, seen, deep, deep < c.depth)
		if wrong != "" {
			t.Errorf("%s: %s", c.name, wrong)
		}
	}
}

// With the mend taken out the model finds the fault: a silent elder that is taken for none.
func TestModelFindsTheOldFault(t *testing.T) {
	seen, deep, wrong := explore(budget{starts: 2, bans: 1}, 20, true)
	if wrong == "" {
		t.Fatalf("not found in %d states to depth %d", seen, deep)
	}
	t.Logf("%d states: %s", seen, wrong)
}
