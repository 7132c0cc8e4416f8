package hotrestart

import (
	"fmt"
	"hash/maphash"
	"strings"
	"testing"
)

var stateSeed = maphash.MakeSeed()

// origin is the change by which a state was first reached, and the hash of the state before it.
type origin struct {
	from    uint64
	change  string
	process int8
	other   int8
}

// exploration is a breadth-first search of the states that the adversary can reach within its budget.
type exploration struct {
	origins                 map[uint64]origin // by the hash of a state
	frontier                []pendingState
	failure                 string
	ignoreSilentPredecessor bool
}

// pendingState is a state whose next states have not been visited yet.
type pendingState struct {
	state modelState
	hash  uint64
}

// explore visits every state within depth steps of the initial one. It returns the number of states, the depth that
// was reached, and the shortest sequence of changes to the first state that violates an invariant.
func explore(left budget, depth int, ignoreSilentPredecessor bool) (states, depthReached int, failure string) {
	start := modelState{left: left}
	hash := maphash.Comparable(stateSeed, start)
	e := &exploration{
		origins:                 map[uint64]origin{hash: {}},
		frontier:                []pendingState{{start, hash}},
		ignoreSilentPredecessor: ignoreSilentPredecessor,
	}
	for ; depthReached < depth && len(e.frontier) > 0; depthReached++ {
		level := e.frontier
		e.frontier = nil
		for _, current := range level {
			e.expand(current)
			if e.failure != "" {
				return len(e.origins), depthReached, e.failure
			}
		}
	}
	return len(e.origins), depthReached, ""
}

// expand visits each next state of a state, then checks the state itself.
func (e *exploration) expand(current pendingState) {
	x := &model{state: current.state, ignoreSilentPredecessor: e.ignoreSilentPredecessor}
	quiescent := true
	x.eachNextState(func(next *model, change change) {
		quiescent = quiescent && !change.guaranteed
		e.enqueue(next, current, change)
	})
	if failure := x.check(quiescent); failure != "" && e.failure == "" {
		e.failure = failure + "\n" + e.history(current.hash)
	}
}

// enqueue checks a state that has not been seen before and adds it to the frontier.
func (e *exploration) enqueue(next *model, from pendingState, change change) {
	if e.failure != "" || next.state.queueOverflowed {
		return
	}
	hash := maphash.Comparable(stateSeed, next.state)
	if _, known := e.origins[hash]; known && next.failure == "" {
		return
	}
	e.origins[hash] = origin{from.hash, change.name, int8(change.process), int8(change.other)}
	if failure := next.check(false); failure != "" {
		e.failure = failure + "\n" + e.history(hash)
		return
	}
	e.frontier = append(e.frontier, pendingState{next.state, hash})
}

// history returns the changes that led to a state, one per line.
func (e *exploration) history(hash uint64) string {
	var lines []string
	for len(lines) < 100 {
		first := e.origins[hash]
		if first.change == "" {
			break
		}
		lines = append(lines, fmt.Sprintf("  %d %s %d", first.process, first.change, first.other))
		hash = first.from
	}
	var text strings.Builder
	for i := len(lines) - 1; i >= 0; i-- {
		fmt.Fprintln(&text, lines[i])
	}
	return text.String()
}

// Checks the invariants in every interleaving up to the depth of each case: the shares of all processes stay within
// the limits at each moment; a cordon set at one process is kept by all processes that serve; a request runs at most
// once; some process accepts clients or is about to. Guards against orders of events that break one of them, such as a
// crash or a lost link in the middle of a hot restart.
func TestModelInvariants(t *testing.T) {
	for _, c := range []struct {
		name  string
		left  budget
		depth int
	}{
		{
			"two processes, all kinds of change",
			budget{starts: 2, kills: 1, linkLosses: 1, duplicates: 1, stops: 2, cordons: 1, requests: 2},
			16,
		},
		{"two processes, kills and cordons", budget{starts: 2, kills: 2, stops: 1, cordons: 2}, 60},
		{"two processes, requests, lost links", budget{starts: 2, kills: 1, linkLosses: 2, stops: 1, requests: 3}, 60},
		{"three processes, kills and stop requests", budget{starts: 3, kills: 2, stops: 2, cordons: 1}, 60},
		{"three processes, requests", budget{starts: 3, kills: 1, stops: 1, requests: 2}, 60},
		{"three processes, lost links", budget{starts: 3, kills: 1, linkLosses: 1, stops: 1, cordons: 1}, 60},
		{
			"three processes, all kinds of change",
			budget{starts: 3, kills: 1, linkLosses: 1, duplicates: 1, stops: 1, cordons: 1, requests: 2},
			12,
		},
	} {
		states, depthReached, failure := explore(c.left, c.depth, false)
		t.Logf("%s: %d states to depth %d (complete: %t)", c.name, states, depthReached, depthReached < c.depth)
		if failure != "" {
			t.Errorf("%s: %s", c.name, failure)
		}
	}
}

// Checks that the model finds a known fault: a process that treats a silent predecessor as if there were none may
// serve without the cordons, and use more than the limits. Guards against a model that no longer detects violations.
func TestModelDetectsIgnoredPredecessor(t *testing.T) {
	states, depthReached, failure := explore(budget{starts: 2, cordons: 1}, 20, true)
	if failure == "" {
		t.Fatalf("no violation found in %d states up to depth %d", states, depthReached)
	}
	t.Logf("%d states: %s", states, failure)
}
