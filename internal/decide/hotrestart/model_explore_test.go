package hotrestart

import (
	"fmt"
	"hash/maphash"
	"strings"
	"testing"
)

var worldSeed = maphash.MakeSeed()

// arrival is how a world was reached first.
type arrival struct {
	from    uint64
	by      string
	process int8
	other   int8
}

// exploration is a search, by breadth, of the worlds that a budget leads to.
type exploration struct {
	arrivals    map[uint64]arrival // by the hash of a world
	next        []reached
	failure     string
	formerFault bool
}

// reached is a world that is still to be left.
type reached struct {
	world world
	hash  uint64
}

// explore visits every world within depth steps of the start. It returns the number of worlds, how deep it went, and
// the shortest way to the first world that breaks a rule.
func explore(left budget, depth int, formerFault bool) (seen, deep int, failure string) {
	start := world{left: left}
	hash := maphash.Comparable(worldSeed, start)
	e := &exploration{
		arrivals:    map[uint64]arrival{hash: {}},
		next:        []reached{{start, hash}},
		formerFault: formerFault,
	}
	for ; deep < depth && len(e.next) > 0; deep++ {
		now := e.next
		e.next = nil
		for _, here := range now {
			e.leave(here)
			if e.failure != "" {
				return len(e.arrivals), deep, e.failure
			}
		}
	}
	return len(e.arrivals), deep, ""
}

// leave visits each world that follows, and checks the one that is left.
func (e *exploration) leave(here reached) {
	x := &model{world: here.world, formerFault: e.formerFault}
	settled := true
	x.each(func(next *model, change change) {
		settled = settled && !change.prompt
		e.reach(next, here, change)
	})
	if failure := x.check(settled); failure != "" && e.failure == "" {
		e.failure = failure + "\n" + e.history(here.hash)
	}
}

// reach checks a world that was not seen before, and keeps it to be left later.
func (e *exploration) reach(next *model, from reached, change change) {
	if e.failure != "" || next.world.queueOverflowing {
		return
	}
	hash := maphash.Comparable(worldSeed, next.world)
	if _, known := e.arrivals[hash]; known && next.failure == "" {
		return
	}
	e.arrivals[hash] = arrival{from.hash, change.name, int8(change.process), int8(change.other)}
	if failure := next.check(false); failure != "" {
		e.failure = failure + "\n" + e.history(hash)
		return
	}
	e.next = append(e.next, reached{next.world, hash})
}

// history returns the changes that led to a world, a line each.
func (e *exploration) history(hash uint64) string {
	var lines []string
	for len(lines) < 100 {
		arrival := e.arrivals[hash]
		if arrival.by == "" {
			break
		}
		lines = append(lines, fmt.Sprintf("  %d %s %d", arrival.process, arrival.by, arrival.other))
		hash = arrival.from
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
func TestModel(t *testing.T) {
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
		seen, deep, failure := explore(c.left, c.depth, false)
		t.Logf("%s: %d states to depth %d (all there are: %t)", c.name, seen, deep, deep < c.depth)
		if failure != "" {
			t.Errorf("%s: %s", c.name, failure)
		}
	}
}

// With the former fault brought back, a silent predecessor that is taken for none, the model finds it.
func TestModelFindsTheFormerFault(t *testing.T) {
	seen, deep, failure := explore(budget{starts: 2, cordons: 1}, 20, true)
	if failure == "" {
		t.Fatalf("not found in %d states to depth %d", seen, deep)
	}
	t.Logf("%d states: %s", seen, failure)
}
