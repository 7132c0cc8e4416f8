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
func (w *simulation) step(i int) error {
	k := w.keepers[w.draw(len(w.keepers), "keeper")]
	at := w.draw(len(w.routers), "router")
	r := w.routers[at]
	switch w.draw(22, "step") {
	case 0, 1:
		w.commit(command{change: w.draw.change(fmt.Sprint("c", i), w.model.revision())})
	case 2: // the same once more, as one does who got no answer
		if c := w.commands[w.draw(len(w.commands), "again")]; c.name == "" {
			w.commit(c)
		}
	case 3, 4:
		w.applyCommitted(k, 1+w.draw(4, "most"))
	case 5, 6, 7:
		w.call(at)
	case 8, 9, 10, 11:
		if len(w.messages) > 0 {
			n := w.draw(len(w.messages), "message")
			m := w.messages[n]
			if w.draw(4, "kept") != 0 { // else it is delivered once more
				w.messages = append(w.messages[:n], w.messages[n+1:]...)
			}
			w.deliver(m)
		}
	case 12:
		w.acceptOrReject(r)
	case 13:
		if r.alive {
			s := r.client.Saved()
			r.copy = &s
		}
	case 14, 15:
		w.routerFails(r)
	case 16, 17:
		return w.keeperFails(k)
	case 18: // a call whose answer is lost
		before := len(w.messages)
		w.call(at)
		if len(w.messages) > before {
			w.messages = w.messages[:before+1]
			w.deliver(w.messages[before])
			w.messages = w.messages[:before]
		}
	case 19:
		w.advance([]float64{20, 400, 2000, 7000}[w.draw(4, "ms")])
	default: // a call that goes as it should
		w.exchange(at)
	}
	return nil
}

// exchange is a call and its answer at once, and what the router makes of it.
func (w *simulation) exchange(at int) {
	r := w.routers[at]
	w.acceptOrReject(r)
	before := len(w.messages)
	w.call(at)
	for len(w.messages) > before {
		m := w.messages[before]
		w.messages = w.messages[:before]
		w.deliver(m)
	}
	w.acceptOrReject(r)
}

// routerFails stops or starts a router, with and without the copy on its disk, or begins or ends a partition.
func (w *simulation) routerFails(r *router) {
	switch what := w.draw(6, "router fails"); {
	case what == 5:
		r.partitioned = !r.partitioned
	case r.alive && what > 1:
		r.alive = false
	default: // at once after its crash, or some time after
		if what == 0 {
			r.copy = nil
		}
		if what == 1 && r.copy != nil && len(r.copy.Entries) > 0 {
			// The disk returned something else than was written.
			s := *r.copy
			s.Entries = maps.Clone(s.Entries)
			s.Entries["/settings/damage"] = json.RawMessage("1")
			r.copy = &s
		}
		w.startRouter(r)
	}
}

// keeperFails crashes or starts a keeper, begins or ends its partition from the majority, or makes it write its
// snapshot. A majority stays, because without one nothing happens.
func (w *simulation) keeperFails(k *keeper) error {
	others := 0
	for _, o := range w.keepers {
		if o != k && o.up && !o.partitioned {
			others++
		}
	}
	switch what := w.draw(6, "keeper fails"); {
	case !k.up:
		return w.startKeeper(k)
	case k.partitioned:
		k.partitioned = false
	case what == 0:
		var err error
		k.disk, err = k.log.MarshalBinary()
		k.diskAt = k.applied
		return err
	case others < 2:
	case what == 1:
		w.crashKeeper(k)
	case what < 4: // it's there again at once
		w.crashKeeper(k)
		return w.startKeeper(k)
	default:
		k.partitioned = true
	}
	return nil
}

// checkConvergence compares the convergence of the latest revisions with what the routers have in force.
func (w *simulation) checkConvergence() error {
	last := w.model.revision()
	for rev := last - min(last, 1); rev <= last; rev++ {
		v := w.convergenceAt(rev)
		for _, r := range w.routers {
			if v.Converged && r.alive && r.answered && r.answeredMS+leaseMS > w.nowMS && r.revision < rev {
				return &violationError{
					propertyNoFalseConvergence,
					fmt.Sprintf("%s is alive at %d, said of %d: %+v", r.name, r.revision, rev, v),
				}
			}
		}
	}
	return nil
}

// check compares the routers and keepers with the model.
func (w *simulation) check() error {
	for _, r := range w.routers {
		if !r.alive {
			continue
		}
		s := r.client.Saved()
		if s.Revision < r.revision {
			return &violationError{
				propertyNeverBack,
				fmt.Sprintf("%s went from %d to %d", r.name, r.revision, s.Revision),
			}
		}
		r.revision = s.Revision
		if s.Revision > w.model.revision() || !maps.EqualFunc(s.Entries, w.model.contents[s.Revision], equal) ||
			!maps.EqualFunc(r.inForce, s.Entries, equal) {
			return &violationError{propertyNoMix, fmt.Sprintf("%s at %d has %v", r.name, s.Revision, s.Entries)}
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
	for _, k := range w.keepers {
		if rev := k.log.Revision(); rev > w.model.revision() ||
			!maps.EqualFunc(k.log.document.entries, w.model.contents[rev], equal) {
			return &violationError{
				propertyAppliedOnce,
				fmt.Sprintf("%s at %d of %d has %v", k.name, rev, w.model.revision(), k.log.document.entries),
			}
		}
	}
	return nil
}

// checkSettled ends all faults except stopped routers, and checks that the last revision converges unless a running
// router rejects it.
func (w *simulation) checkSettled() error {
	w.messages = nil
	for _, k := range w.keepers {
		if k.partitioned = false; !k.up {
			if err := w.startKeeper(k); err != nil {
				return err
			}
		}
		w.applyCommitted(k, len(w.commands))
	}
	for range 20 {
		for i, r := range w.routers {
			r.partitioned = false
			w.exchange(i)
		}
		w.advance(1000)
		if err := w.check(); err != nil {
			return err
		}
	}
	if err := w.checkLastRevision(); err != nil {
		return err
	}
	want, err := w.leader.MarshalBinary()
	for _, k := range w.keepers {
		w.applyCommitted(k, len(w.commands))
		if got, _ := k.log.MarshalBinary(); !bytes.Equal(got, want) {
			return &violationError{propertyAppliedOnce, k.name + " has another state than the leader"}
		}
	}
	return err
}

// checkLastRevision checks that each running router has the last revision, or rejects it, and that the leader says so.
func (w *simulation) checkLastRevision() error {
	last, running, rejecting := w.model.revision(), 0, false
	for _, r := range w.routers {
		if !r.alive {
			continue
		}
		running++
		v := string(w.model.content()["/settings/d"])
		if r.rejectsOdd && (v == "1" || v == "3") {
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
	v := w.convergenceAt(last)
	if v.Converged != (running > 0 && !rejecting) || len(v.Rejected) > 0 != rejecting ||
		len(v.Missing) > len(w.routers)-running {
		return &violationError{propertyEventualConvergence, fmt.Sprintf("the leader says %+v", v)}
	}
	return nil
}

// simulate runs a simulation through random steps, and then until it has settled.
func simulate(draw drawer, v parts, steps int) error {
	w := newSimulation(draw, v)
	for i := range steps {
		if err := w.step(i); err != nil {
			return err
		}
		if err := w.check(); err != nil {
			return err
		}
		if err := w.checkConvergence(); err != nil {
			return err
		}
	}
	return w.checkSettled()
}

// In any order of calls that are lost, duplicated and late, of keepers and routers that crash, are partitioned and
// come back with or without their disks, each router has exactly one revision in force, none goes back within a
// process, no revision converges falsely, a repeated change is applied once, nothing rejected is offered again, and
// all have the last revision once the faults end.
func TestRandomSimulations(t *testing.T) {
	checkProperty(t, "200", func(t *rapid.T) {
		if err := simulate(drawFromRapid(t), soundParts(), 120); err != nil {
			t.Fatal(err)
		}
	})
}

// drawFromSeed draws the same numbers for a seed each time.
func drawFromSeed(seed uint64) drawer {
	r := rand.New(rand.NewPCG(seed, 31))
	return func(n int, _ string) int { return r.IntN(n) }
}

// The check of TestRandomOrders sees each property broken: a variant that breaks it is caught, by that property, while
// the sound parts pass the first seeds of the same draws.
func TestMutantsAreDetected(t *testing.T) {
	const sound, seeds = 200, 1000
	for seed := range uint64(sound) {
		if err := simulate(drawFromSeed(seed), soundParts(), 120); err != nil {
			t.Fatalf("the sound parts, seed %d: %v", seed, err)
		}
	}
	for _, b := range mutants {
		t.Run(b.name, func(t *testing.T) {
			v := soundParts()
			b.breaks(&v)
			seen := map[string]int{}
			for seed := range uint64(seeds) {
				if err := simulate(drawFromSeed(seed), v, 120); err != nil {
					var how *violationError
					if !errors.As(err, &how) {
						t.Fatal(err)
					}
					if seen[how.property]++; how.property == b.property {
						t.Logf("seed %d: %.300s", seed, err.Error())
						return
					}
				}
			}
			t.Errorf("not caught by %q in %d seeds; by others: %v", b.property, seeds, seen)
		})
	}
}
