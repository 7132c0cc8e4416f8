package configlog

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// fixRapidSeed fixes rapid's seed and number of checks, unless the command line sets them.
func fixRapidSeed(t *testing.T, checks string) (restore func()) {
	t.Helper()
	var set []string
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": checks} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := flag.Set(name, value); err != nil {
				t.Fatal(err)
			}
			set = append(set, name)
		}
	}
	return func() {
		for _, name := range set {
			_ = flag.Set(name, flag.Lookup(name).DefValue)
		}
	}
}

// step does one random action.
func (sim *simulation) step(i int) error {
	k := sim.keepers[sim.draw(len(sim.keepers), "keeper")]
	routerIndex := sim.draw(len(sim.routers), "router")
	r := sim.routers[routerIndex]
	switch sim.draw(22, "step") {
	case 0, 1:
		sim.commit(command{change: sim.draw.change(fmt.Sprint("c", i), sim.model.revision())})
	case 2: // repeats a change, as an operator does who got no answer
		if c := sim.commands[sim.draw(len(sim.commands), "repeated command")]; c.name == "" {
			sim.commit(c)
		}
	case 3, 4:
		sim.applyCommitted(k, 1+sim.draw(4, "limit"))
	case 5, 6, 7:
		sim.call(routerIndex)
	case 8, 9, 10, 11:
		if len(sim.messages) > 0 {
			n := sim.draw(len(sim.messages), "message")
			m := sim.messages[n]
			if sim.draw(4, "remove") != 0 { // otherwise it is delivered again later
				sim.messages = append(sim.messages[:n], sim.messages[n+1:]...)
			}
			sim.deliver(m)
		}
	case 12:
		sim.acceptOrReject(r)
	case 13:
		if r.alive {
			s := r.client.Saved()
			r.saved = &s
		}
	case 14, 15:
		sim.routerFails(r)
	case 16, 17:
		return sim.keeperFails(k)
	case 18: // a call that arrives, but whose answer is lost
		before := len(sim.messages)
		sim.call(routerIndex)
		if len(sim.messages) > before {
			sim.messages = sim.messages[:before+1]
			sim.deliver(sim.messages[before])
			sim.messages = sim.messages[:before]
		}
	case 19:
		sim.advance([]float64{20, 400, 2000, 7000}[sim.draw(4, "ms")])
	default: // a call without faults
		sim.exchange(routerIndex)
	}
	return nil
}

// exchange delivers a call and its answer at once; the router accepts or rejects the update.
func (sim *simulation) exchange(routerIndex int) {
	r := sim.routers[routerIndex]
	sim.acceptOrReject(r)
	before := len(sim.messages)
	sim.call(routerIndex)
	for len(sim.messages) > before {
		m := sim.messages[before]
		sim.messages = sim.messages[:before]
		sim.deliver(m)
	}
	sim.acceptOrReject(r)
}

// routerFails stops a router, starts it with a good, damaged or lost copy on its disk, or begins or ends its partition.
func (sim *simulation) routerFails(r *router) {
	switch what := sim.draw(6, "router fails"); {
	case what == 5:
		r.partitioned = !r.partitioned
	case r.alive && what > 1:
		r.alive = false
	default: // starts a new process, after a stop or instead of the running one
		if what == 0 {
			r.saved = nil
		}
		if what == 1 && r.saved != nil && len(r.saved.Entries) > 0 {
			// The disk returns other data than was written.
			s := *r.saved
			s.Entries = maps.Clone(s.Entries)
			s.Entries["/settings/damage"] = json.RawMessage("1")
			r.saved = &s
		}
		sim.startRouter(r)
	}
}

// keeperFails crashes or starts a keeper, begins or ends its partition from the majority, or makes it write its
// snapshot. A majority stays up and connected, because without one no change is committed.
func (sim *simulation) keeperFails(k *keeper) error {
	others := 0
	for _, o := range sim.keepers {
		if o != k && o.up && !o.partitioned {
			others++
		}
	}
	switch what := sim.draw(6, "keeper fails"); {
	case !k.up:
		return sim.startKeeper(k)
	case k.partitioned:
		k.partitioned = false
	case what == 0:
		var err error
		k.disk, err = k.log.MarshalBinary()
		k.diskAt = k.applied
		return err
	case others < 2:
	case what == 1:
		sim.crashKeeper(k)
	case what < 4: // it crashes and starts at once
		sim.crashKeeper(k)
		return sim.startKeeper(k)
	default:
		k.partitioned = true
	}
	return nil
}

// checkConvergence compares the convergence of the latest revisions with what the routers have in force.
func (sim *simulation) checkConvergence() error {
	last := sim.model.revision()
	for rev := last - min(last, 1); rev <= last; rev++ {
		status := sim.convergenceAt(rev)
		for _, r := range sim.routers {
			if status.Converged && r.alive && r.answered && r.answeredMS+leaseMS > sim.nowMS && r.revision < rev {
				return &violationError{
					propertyNoFalseConvergence,
					fmt.Sprintf("%s is running at revision %d, but revision %d is reported as converged: %+v", r.name, r.revision, rev, status),
				}
			}
		}
	}
	return nil
}

// check compares the routers and keepers with the model.
func (sim *simulation) check() error {
	for _, r := range sim.routers {
		if !r.alive {
			continue
		}
		s := r.client.Saved()
		if s.Revision < r.revision {
			return &violationError{
				propertyRevisionNeverDecreases,
				fmt.Sprintf("%s went from revision %d to %d", r.name, r.revision, s.Revision),
			}
		}
		r.revision = s.Revision
		if s.Revision > sim.model.revision() || !maps.EqualFunc(s.Entries, sim.model.contents[s.Revision], equal) ||
			!maps.EqualFunc(r.inForce, s.Entries, equal) {
			return &violationError{propertyNoMixedRevisions, fmt.Sprintf("%s at revision %d has %v", r.name, s.Revision, s.Entries)}
		}
		for what, times := range r.rejections {
			if times > 1 {
				return &violationError{
					propertyNoRepeatedRejection,
					fmt.Sprintf("%s was offered %s %d times", r.name, what, times),
				}
			}
		}
	}
	for _, k := range sim.keepers {
		if rev := k.log.Revision(); rev > sim.model.revision() ||
			!maps.EqualFunc(k.log.document.entries, sim.model.contents[rev], equal) {
			return &violationError{
				propertyAppliedOnce,
				fmt.Sprintf("%s at revision %d of %d has %v", k.name, rev, sim.model.revision(), k.log.document.entries),
			}
		}
	}
	return nil
}

// checkSettled ends all faults, but does not start stopped routers. It then checks that the last revision converges
// unless a running router rejects it, and that all keepers have the leader's state.
func (sim *simulation) checkSettled() error {
	sim.messages = nil
	for _, k := range sim.keepers {
		if k.partitioned = false; !k.up {
			if err := sim.startKeeper(k); err != nil {
				return err
			}
		}
		sim.applyCommitted(k, len(sim.commands))
	}
	for range 20 {
		for i, r := range sim.routers {
			r.partitioned = false
			sim.exchange(i)
		}
		sim.advance(1000)
		if err := sim.check(); err != nil {
			return err
		}
	}
	if err := sim.checkLastRevision(); err != nil {
		return err
	}
	want, err := sim.leader.MarshalBinary()
	for _, k := range sim.keepers {
		sim.applyCommitted(k, len(sim.commands))
		if got, _ := k.log.MarshalBinary(); !bytes.Equal(got, want) {
			return &violationError{propertyAppliedOnce, k.name + " has a state that differs from the leader's"}
		}
	}
	return err
}

// checkLastRevision checks that each running router has the last revision or rejects it, and that the leader reports
// the same.
func (sim *simulation) checkLastRevision() error {
	last, running, rejecting := sim.model.revision(), 0, false
	for _, r := range sim.routers {
		if !r.alive {
			continue
		}
		running++
		v := string(sim.model.content()["/settings/d"])
		if r.rejectsOddValues && (v == "1" || v == "3") {
			rejecting = rejecting || r.revision < last
			continue
		}
		if r.revision != last {
			return &violationError{
				propertyEventualConvergence,
				fmt.Sprintf("%s is at revision %d of %d", r.name, r.revision, last),
			}
		}
	}
	v := sim.convergenceAt(last)
	if v.Converged != (running > 0 && !rejecting) || len(v.Rejected) > 0 != rejecting ||
		len(v.Missing) > len(sim.routers)-running {
		return &violationError{propertyEventualConvergence, fmt.Sprintf("the leader reports %+v", v)}
	}
	return nil
}

// simulate runs a simulation for a number of random steps, checks all properties after each, and checks the state after
// all faults have ended.
func simulate(draw drawFunc, impl implementation, steps int) error {
	sim := newSimulation(draw, impl)
	for i := range steps {
		if err := sim.step(i); err != nil {
			return err
		}
		if err := sim.check(); err != nil {
			return err
		}
		if err := sim.checkConvergence(); err != nil {
			return err
		}
	}
	return sim.checkSettled()
}

// The package keeps all properties of the simulation although calls are lost, duplicated and delayed, and keepers and
// routers crash, are partitioned and restart with or without their disks.
func TestRandomFaultSimulation(t *testing.T) {
	checkProperty(t, "200", func(t *rapid.T) {
		if err := simulate(drawFromRapid(t), packageImplementation(), 120); err != nil {
			t.Fatal(err)
		}
	})
}

// drawFromSeed draws the same numbers for a seed each time.
func drawFromSeed(seed uint64) drawFunc {
	r := rand.New(rand.NewPCG(seed, 31))
	return func(n int, _ string) int { return r.IntN(n) }
}

// The simulation of TestRandomFaultSimulation detects each mutant as a violation of the expected property. The
// unmodified package passes with the first of the same seeds.
func TestMutantsAreDetected(t *testing.T) {
	const unmodifiedSeeds, mutantSeeds = 200, 1000
	for seed := range uint64(unmodifiedSeeds) {
		if err := simulate(drawFromSeed(seed), packageImplementation(), 120); err != nil {
			t.Fatalf("unmodified package, seed %d: %v", seed, err)
		}
	}
	for _, mutant := range mutants {
		t.Run(mutant.name, func(t *testing.T) {
			impl := packageImplementation()
			mutant.breaks(&impl)
			violations := map[string]int{}
			for seed := range uint64(mutantSeeds) {
				if err := simulate(drawFromSeed(seed), impl, 120); err != nil {
					var violation *violationError
					if !errors.As(err, &violation) {
						t.Fatal(err)
					}
					if violations[violation.property]++; violation.property == mutant.property {
						t.Logf("seed %d: %.300s", seed, err.Error())
						return
					}
				}
			}
			t.Errorf("no violation of %q in %d seeds; violations of other properties: %v", mutant.property, mutantSeeds, violations)
		})
	}
}
