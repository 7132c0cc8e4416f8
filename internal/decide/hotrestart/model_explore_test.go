package hotrestart

import (
	"fmt"
	"hash/maphash"
	"strings"
	"testing"
)

var stateSeed = maphash.MakeSeed()

// arrival is how a world was reached first.
type origin struct {
	from    uint64
	change  string
	process int8
	other   int8
}

// exploration is a search, by breadth, of the worlds that a budget leads to.
type exploration struct {
	origins                 map[uint64]origin // by the hash of a world
	frontier                []pendingState
	failure                 string
	ignoreSilentPredecessor bool
}

// reached is a world that is still to be left.
type pendingState struct {
	state modelState
	hash  uint64
}

// explore visits every world within depth steps of the start. It returns the number of worlds, how depthReached it went, and
// the shortest way to the first world that breaks a rule.
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

// leave visits each world that follows, and checks the one that is left.
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

// reach checks a world that was not states before, and keeps it to be left later.
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

// history returns the changes that led to a world, a line each.
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

// Every interleaving, to the depth of the flag, keeps the rules. They are: the shares of all processes fit the limits
// at each moment; a cordon set at any process is kept by all that serve; a request runs once; a process accepts, or
// is about to.
func TestModelInvariants(t *testing.T) {
	for _, c := range []struct {
		name  string
		left  budget
		depth int
	}{
		{
			"two processes, all changes",
			budget{starts: 2, kills: 1, linkLosses: 1, duplicates: 1, stops: 2, cordons: 1, requests: 2},
			16,
		},
		{"two processes, kills and cordons", budget{starts: 2, kills: 2, stops: 1, cordons: 2}, 60},
		{"two processes, requests and lost links", budget{starts: 2, kills: 1, linkLosses: 2, stops: 1, requests: 3}, 60},
		{"three processes, kills and signals", budget{starts: 3, kills: 2, stops: 2, cordons: 1}, 60},
		{"three processes, requests", budget{starts: 3, kills: 1, stops: 1, requests: 2}, 60},
		{"three processes, lost links", budget{starts: 3, kills: 1, linkLosses: 1, stops: 1, cordons: 1}, 60},
		{
			"three processes, all changes",
			budget{starts: 3, kills: 1, linkLosses: 1, duplicates: 1, stops: 1, cordons: 1, requests: 2},
			12,
		},
	} {
		states, depthReached, failure := explore(c.left, c.depth, false)
		t.Logf("%s: %d states to depth %d (all there are: %t)", c.name, states, depthReached, depthReached < c.depth)
		if failure != "" {
			t.Errorf("%s: %s", c.name, failure)
		}
	}
}

// With the former fault brought back, a silent predecessor that is taken for none, the model finds it.
func TestModelDetectsIgnoredPredecessor(t *testing.T) {
	states, depthReached, failure := explore(budget{starts: 2, cordons: 1}, 20, true)
	if failure == "" {
		t.Fatalf("not found in %d states to depth %d", states, depthReached)
	}
	t.Logf("%d states: %s", states, failure)
}
