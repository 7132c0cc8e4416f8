package configlog

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// fixDraws has rapid draw the same in every run, unless the command line says otherwise.
func fixDraws(t *testing.T, checks string) (restore func()) {
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

// step does one drawn thing.
func (w *world) step(i int) error {
	k := w.keepers[w.draw(len(w.keepers), "keeper")]
	at := w.draw(len(w.routers), "router")
	r := w.routers[at]
	switch w.draw(22, "step") {
	case 0, 1:
		w.commit(command{change: w.draw.change(fmt.Sprint("c", i), w.truth.revision())})
	case 2: // the same once more, as one does who got no answer
		if c := w.commands[w.draw(len(w.commands), "again")]; c.name == "" {
			w.commit(c)
		}
	case 3, 4:
		w.catchUp(k, 1+w.draw(4, "most"))
	case 5, 6, 7:
		w.call(at)
	case 8, 9, 10, 11:
		if len(w.mail) > 0 {
			n := w.draw(len(w.mail), "message")
			m := w.mail[n]
			if w.draw(4, "kept") != 0 { // else it comes once more
				w.mail = append(w.mail[:n], w.mail[n+1:]...)
			}
			w.deliver(m)
		}
	case 12:
		w.decide(r)
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
		before := len(w.mail)
		w.call(at)
		if len(w.mail) > before {
			w.mail = w.mail[:before+1]
			w.deliver(w.mail[before])
			w.mail = w.mail[:before]
		}
	case 19:
		w.wait([]float64{20, 400, 2000, 7000}[w.draw(4, "ms")])
	default: // a call that goes as it should
		w.exchange(at)
	}
	return nil
}

// exchange is a call and its answer at once, and what the router makes of it.
func (w *world) exchange(at int) {
	r := w.routers[at]
	w.decide(r)
	before := len(w.mail)
	w.call(at)
	for len(w.mail) > before {
		m := w.mail[before]
		w.mail = w.mail[:before]
		w.deliver(m)
	}
	w.decide(r)
}

// routerFails ends a router's life or begins its next, with and without the copy on its disk, or cuts it off and
// joins it.
func (w *world) routerFails(r *router) {
	switch what := w.draw(6, "router fails"); {
	case what == 5:
		r.cut = !r.cut
	case r.alive && what > 1:
		r.alive = false
	default: // at once after its crash, or some time after
		if what == 0 {
			r.copy = nil
		}
		if what == 1 && r.copy != nil && len(r.copy.Entries) > 0 {
			// The disk gave back something else than was written.
			s := *r.copy
			s.Entries = maps.Clone(s.Entries)
			s.Entries["/settings/damage"] = json.RawMessage("1")
			r.copy = &s
		}
		w.begin(r)
	}
}

// keeperFails crashes a keeper or starts it, cuts it from the majority or joins it, or has it write its snapshot. A
// majority stays, because without one nothing happens.
func (w *world) keeperFails(k *keeper) error {
	others := 0
	for _, o := range w.keepers {
		if o != k && o.up && !o.cut {
			others++
		}
	}
	switch what := w.draw(6, "keeper fails"); {
	case !k.up:
		return w.wake(k)
	case k.cut:
		k.cut = false
	case what == 0:
		var err error
		k.disk, err = k.log.MarshalBinary()
		k.diskAt = k.applied
		return err
	case others < 2:
	case what == 1:
		w.crash(k)
	case what < 4: // it's there again at once
		w.crash(k)
		return w.wake(k)
	default:
		k.cut = true
	}
	return nil
}

// judged asks where the latest revisions are in force, and holds the answer against what the routers have.
func (w *world) judged() error {
	last := w.truth.revision()
	for rev := last - min(last, 1); rev <= last; rev++ {
		v := w.verdict(rev)
		for _, r := range w.routers {
			if v.Converged && r.alive && r.heard && r.heardMS+leaseMS > w.nowMS && r.rev < rev {
				return &violation{notFalse, fmt.Sprintf("%s is alive at %d, said of %d: %+v", r.name, r.rev, rev, v)}
			}
		}
	}
	return nil
}

// check holds the routers and keepers against what the commands make.
func (w *world) check() error {
	for _, r := range w.routers {
		if !r.alive {
			continue
		}
		s := r.client.Saved()
		if s.Revision < r.rev {
			return &violation{noneBack, fmt.Sprintf("%s went from %d to %d", r.name, r.rev, s.Revision)}
		}
		r.rev = s.Revision
		if s.Revision > w.truth.revision() || !maps.EqualFunc(s.Entries, w.truth.contents[s.Revision], equal) || !maps.EqualFunc(r.inForce, s.Entries, equal) {
			return &violation{noMix, fmt.Sprintf("%s at %d has %v", r.name, s.Revision, s.Entries)}
		}
		for what, times := range r.refused {
			if times > 1 {
				return &violation{noLoop, fmt.Sprintf("%s was offered %s %d times", r.name, what, times)}
			}
		}
	}
	for _, k := range w.keepers {
		if rev := k.log.Revision(); rev > w.truth.revision() || !maps.EqualFunc(k.log.document.entries, w.truth.contents[rev], equal) {
			return &violation{onceOnly, fmt.Sprintf("%s at %d of %d has %v", k.name, rev, w.truth.revision(), k.log.document.entries)}
		}
	}
	return nil
}

// calm ends all faults but those of routers that are dead, and sees that everyone comes to the last revision, and
// that it's said to be in force everywhere unless a living router refuses it.
func (w *world) calm() error {
	w.mail = nil
	for _, k := range w.keepers {
		if k.cut = false; !k.up {
			if err := w.wake(k); err != nil {
				return err
			}
		}
		w.catchUp(k, len(w.commands))
	}
	for range 20 {
		for i, r := range w.routers {
			r.cut = false
			w.exchange(i)
		}
		w.wait(1000)
		if err := w.check(); err != nil {
			return err
		}
	}
	last, living, refusing := w.truth.revision(), 0, false
	for _, r := range w.routers {
		if !r.alive {
			continue
		}
		living++
		v := string(w.truth.content()["/settings/d"])
		if r.picky && (v == "1" || v == "3") {
			refusing = refusing || r.rev < last
			continue
		}
		if r.rev != last {
			return &violation{allMeet, fmt.Sprintf("%s is at %d of %d", r.name, r.rev, last)}
		}
	}
	if v := w.verdict(last); v.Converged != (living > 0 && !refusing) || len(v.Rejected) > 0 != refusing || len(v.Missing) > len(w.routers)-living {
		return &violation{allMeet, fmt.Sprintf("the leader says %+v", v)}
	}
	want, err := w.leader.MarshalBinary()
	for _, k := range w.keepers {
		w.catchUp(k, len(w.commands))
		if got, _ := k.log.MarshalBinary(); !bytes.Equal(got, want) {
			return &violation{onceOnly, k.name + " has another state than the leader"}
		}
	}
	return err
}

// play runs a world through drawn steps and then to its calm end.
func play(draw drawer, v variant, steps int) error {
	w := newWorld(draw, v)
	for i := range steps {
		if err := w.step(i); err != nil {
			return err
		}
		if err := w.check(); err != nil {
			return err
		}
		if err := w.judged(); err != nil {
			return err
		}
	}
	return w.calm()
}

// In any order of calls that are lost, doubled and late, of keepers and routers that crash, are cut off and come back
// with or without their disks, each router has one revision whole, none goes back within a life, nobody says
// 'everywhere' falsely, a repeated change is one, nothing refused is taken again, and all meet when the faults stop.
func TestRandomOrders(t *testing.T) {
	drawn(t, "200", func(t *rapid.T) {
		if err := play(byRapid(t), whole(), 120); err != nil {
			t.Fatal(err)
		}
	})
}

// byRow draws from a row of numbers that is the same each time.
func byRow(row uint64) drawer {
	r := rand.New(rand.NewPCG(row, 31))
	return func(n int, _ string) int { return r.IntN(n) }
}

// The check of TestRandomOrders sees each property broken: a variant that breaks it is caught, by that property, while
// the sound parts pass the first rows of the same draws.
func TestBrokenVariantsAreCaught(t *testing.T) {
	const sound, rows = 200, 1000
	for row := range uint64(sound) {
		if err := play(byRow(row), whole(), 120); err != nil {
			t.Fatalf("the sound parts, row %d: %v", row, err)
		}
	}
	for _, b := range broken {
		t.Run(b.name, func(t *testing.T) {
			v := whole()
			b.breaks(&v)
			seen := map[string]int{}
			for row := range uint64(rows) {
				if err := play(byRow(row), v, 120); err != nil {
					how, ok := err.(*violation)
					if !ok {
						t.Fatal(err)
					}
					if seen[how.property]++; how.property == b.property {
						t.Logf("row %d: %.300s", row, err.Error())
						return
					}
				}
			}
			t.Errorf("not caught by %q in %d rows; by others: %v", b.property, rows, seen)
		})
	}
}
