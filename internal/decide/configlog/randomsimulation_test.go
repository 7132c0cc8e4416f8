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

// fixRapidSeed makes rapid draw the same in every run, unless the command line says otherwise.
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
	case 2: // the same once more, as one does who got no answer
		if c := sim.commands[sim.draw(len(sim.commands), "again")]; c.name == "" {
			sim.commit(c)
		}
	case 3, 4:
		sim.applyCommitted(k, 1+sim.draw(4, "most"))
	case 5, 6, 7:
		sim.call(routerIndex)
	case 8, 9, 10, 11:
		if len(sim.messages) > 0 {
			n := sim.draw(len(sim.messages), "message")
			m := sim.messages[n]
			if sim.draw(4, "kept") != 0 { // else it is delivered once more
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
	case 18: // a call whose answer is lost
		before := len(sim.messages)
		sim.call(routerIndex)
		if len(sim.messages) > before {
			sim.messages = sim.messages[:before+1]
			sim.deliver(sim.messages[before])
			sim.messages = sim.messages[:before]
		}
	case 19:
		sim.advance([]float64{20, 400, 2000, 7000}[sim.draw(4, "ms")])
	default: // a call that goes as it should
		sim.exchange(routerIndex)
	}
	return nil
}

// exchange is a call and its answer at once, and what the router makes of it.
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

// routerFails stops or starts a router, with and without the copy on its disk, or begins or ends a partition.
func (sim *simulation) routerFails(r *router) {
	switch what := sim.draw(6, "router fails"); {
	case what == 5:
		r.partitioned = !r.partitioned
	case r.alive && what > 1:
		r.alive = false
	default: // at once after its crash, or some time after
		if what == 0 {
			r.saved = nil
		}
		if what == 1 && r.saved != nil && len(r.saved.Entries) > 0 {
			// The disk returned something else than was written.
			s := *r.saved
			s.Entries = maps.Clone(s.Entries)
			s.Entries["/settings/damage"] = json.RawMessage("1")
			r.saved = &s
		}
		sim.startRouter(r)
	}
}

// keeperFails crashes or starts a keeper, begins or ends its partition from the majority, or makes it write its
// snapshot. A majority stays, because without one nothing happens.
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
	case what < 4: // it's there again at once
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
					fmt.Sprintf("%s is alive at %d, said of %d: %+v", r.name, r.revision, rev, status),
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
				fmt.Sprintf("%s went from %d to %d", r.name, r.revision, s.Revision),
			}
		}
		r.revision = s.Revision
		if s.Revision > sim.model.revision() || !maps.EqualFunc(s.Entries, sim.model.contents[s.Revision], equal) ||
			!maps.EqualFunc(r.inForce, s.Entries, equal) {
			return &violationError{propertyNoMixedRevisions, fmt.Sprintf("%s at %d has %v", r.name, s.Revision, s.Entries)}
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
				fmt.Sprintf("%s at %d of %d has %v", k.name, rev, sim.model.revision(), k.log.document.entries),
			}
		}
	}
	return nil
}

// checkSettled ends all faults except stopped routers, and checks that the last revision converges unless a running
// router rejects it.
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
			return &violationError{propertyAppliedOnce, k.name + " has another state than the leader"}
		}
	}
	return err
}

// checkLastRevision checks that each running router has the last revision, or rejects it, and that the leader says so.
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
				fmt.Sprintf("%s is at %d of %d", r.name, r.revision, last),
			}
		}
	}
	v := sim.convergenceAt(last)
	if v.Converged != (running > 0 && !rejecting) || len(v.Rejected) > 0 != rejecting ||
		len(v.Missing) > len(sim.routers)-running {
		return &violationError{propertyEventualConvergence, fmt.Sprintf("the leader says %+v", v)}
	}
	return nil
}

// simulate runs a simulation through random steps, and then until it has settled.
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

// In any order of calls that are lost, duplicated and late, of keepers and routers that crash, are partitioned and
// come back with or without their disks, each router has exactly one revision in force, none goes back within a
// process, no revision converges falsely, a repeated change is applied once, nothing rejected is offered again, and
// all have the last revision once the faults end.
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

// The check of TestRandomFaultSimulation sees each property broken: a variant that breaks it is caught, by that property, while
// the sound parts pass the first seeds of the same draws.
func TestMutantsAreDetected(t *testing.T) {
	const unmodifiedSeeds, mutantSeeds = 200, 1000
	for seed := range uint64(unmodifiedSeeds) {
		if err := simulate(drawFromSeed(seed), packageImplementation(), 120); err != nil {
			t.Fatalf("the sound parts, seed %d: %v", seed, err)
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
			t.Errorf("not caught by %q in %d seeds; by others: %v", mutant.property, mutantSeeds, violations)
		})
	}
}
