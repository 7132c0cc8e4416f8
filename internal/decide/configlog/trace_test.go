package configlog

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"windflow/internal/tracetest"
)

// The results of the log, the leases, the convergence and the followers are those recorded in testdata/traces.txt. This
// detects refactorings that change decisions by mistake.
func TestTraces(t *testing.T) {
	var all []tracetest.Scenario
	for seed := range uint64(4) {
		all = append(
			all,
			tracetest.Scenario{Name: fmt.Sprint("world/", seed), Run: func(t *testing.T, h *tracetest.Hash) {
				t.Helper()
				traceSimulation(t, h, seed)
			}},
		)
	}
	for _, k := range []struct {
		name      string
		retention Retention
	}{
		{"log/by-revisions", Retention{Revisions: 5}},
		{"log/by-bytes", Retention{Bytes: 2500}},
		{"log/defaults", Retention{}},
	} {
		all = append(all, tracetest.Scenario{Name: k.name, Run: func(t *testing.T, h *tracetest.Hash) {
			t.Helper()
			traceLog(t, h, k.retention)
		}})
	}
	all = append(
		all,
		tracetest.Scenario{Name: "log/many-ids", Run: traceIDs},
		tracetest.Scenario{Name: "document", Run: traceDocument},
		tracetest.Scenario{Name: "follower", Run: traceFollower},
		tracetest.Scenario{
			Name: "refusals",
			Run:  traceRejections,
		},
		tracetest.Scenario{Name: "courier", Run: traceKeeperSelection},
	)
	tracetest.Check(t, all)
}

// drawFromTraceSeed draws the same numbers for a seed each time.
func drawFromTraceSeed(seed uint64) drawFunc {
	rng := rand.New(rand.NewPCG(seed, 2026))
	return func(n int, _ string) int { return rng.IntN(n) }
}

// traceSimulation runs simulations with all faults and traces the calls of the package with their results.
func traceSimulation(t *testing.T, h *tracetest.Hash, seed uint64) {
	t.Helper()
	for round := range uint64(30) {
		sim := newSimulation(drawFromTraceSeed(seed*1000+round), tracedImplementation(h))
		for i := range 250 {
			if err := sim.step(i); err != nil {
				t.Fatal(err)
			}
			if i%10 == 9 {
				sim.convergenceAt(sim.model.revision() - min(sim.model.revision(), uint64(i%3)))
			}
		}
		if err := sim.checkSettled(); err != nil {
			t.Fatal(err)
		}
	}
}

// tracedImplementation returns the functions of the package, wrapped so that their results are traced.
func tracedImplementation(h *tracetest.Hash) implementation {
	original := packageImplementation()
	return implementation{
		follower: func(f *Follower) client { return &tracedFollower{Follower: f, h: h} },
		apply: func(l *Log, c Change) Result {
			r := original.apply(l, c)
			traceResult(h, r)
			traceInForce(h, l)
			return r
		},
		convergence: func(l *Log, rev uint64, leases []Lease, unreached []string) ConvergenceStatus {
			traceLeases(h, leases)
			status := original.convergence(l, rev, leases, unreached)
			traceConvergence(h, status)
			return status
		},
		isComplete: func(l *Leases, nowMS float64) bool {
			complete := original.isComplete(l, nowMS)
			h.Step(stepComplete)
			h.Bool(complete)
			return complete
		},
	}
}

// tracedFollower traces the calls of a follower with their results.
type tracedFollower struct {
	*Follower
	h *tracetest.Hash
}

func (f *tracedFollower) Status() FollowerStatus {
	status := f.Follower.Status()
	traceStatus(f.h, status)
	return status
}

func (f *tracedFollower) Offer(u Update) (map[string]json.RawMessage, bool, error) {
	traceUpdate(f.h, u)
	content, ok, err := f.Follower.Offer(u)
	traceOffered(f.h, content, ok, err)
	keeperRevision, behind := f.KeepersAreBehind()
	f.h.Uint(keeperRevision)
	f.h.Bool(behind)
	return content, ok, err
}

func (f *tracedFollower) Restore(s SavedRevision) (map[string]json.RawMessage, bool, error) {
	traceSaved(f.h, s)
	content, ok, err := f.Follower.Restore(s)
	traceOffered(f.h, content, ok, err)
	return content, ok, err
}

func (f *tracedFollower) Saved() SavedRevision {
	s := f.Follower.Saved()
	traceSaved(f.h, s)
	return s
}

func (f *tracedFollower) SelectKeeper(n int) int {
	keeper := f.Follower.SelectKeeper(n)
	f.h.Step(stepKeeper)
	f.h.Int(int64(keeper))
	return keeper
}

func (f *tracedFollower) CallFailed(nowMS, jitter float64) float64 {
	waitMS := f.Follower.CallFailed(nowMS, jitter)
	f.h.Step(stepCallFailed)
	f.h.Float(waitMS)
	return waitMS
}

// traceLog applies valid and invalid changes to a log and traces the results of all its methods.
func traceLog(t *testing.T, h *tracetest.Hash, retention Retention) {
	t.Helper()
	for seed := range uint64(40) {
		draw := drawFromTraceSeed(seed)
		l := NewLog(retention)
		for i := range 60 {
			id := fmt.Sprint("c", i-draw(8, "reuse id")/7*draw(i+1, "earlier id"))
			c := draw.change(id, l.Revision())
			c.Note = []string{"", "why"}[draw(2, "note")]
			if draw(12, "invalid") == 0 {
				makeInvalid(draw, &c)
			}
			preview, rejected := l.Preview(c)
			traceError(h, rejected)
			traceEntries(h, preview)
			traceResult(h, l.Apply(c))
			traceInForce(h, l)
			traceMembers(h, draw, l)
			traceAnswers(h, draw, l)
		}
		l = roundTrip(t, l)
		traceInForce(h, l)
		traceHistory(h, l.History(0, 1000))
	}
}

// makeInvalid modifies a change so that it is rejected in most cases.
func makeInvalid(draw drawFunc, c *Change) {
	switch draw(10, "fault") {
	case 0:
		c.ID = ""
	case 1:
		c.Put = map[string]json.RawMessage{"/settings/me": json.RawMessage("1")}
	case 2:
		c.Put = map[string]json.RawMessage{"/settings/d": json.RawMessage("{")}
	case 3:
		c.Put, c.Remove = nil, nil
	case 4:
		c.Remove = append(c.Remove, "/settings/none", "/settings/none")
	case 5:
		c.AtMS = -1
	case 6:
		c.Note = strings.Repeat("n", 1024+draw(2, "longer"))
	case 7:
		c.RevertTo, c.Remove = revisionPtr(0), []string{"/board"}
	case 8:
		c.Put, c.Remove = map[string]json.RawMessage{"/board": json.RawMessage(`"b:1"`)}, []string{"/board"}
	case 9:
		c.Put = map[string]json.RawMessage{"/settings/d": json.RawMessage(`{"b": 1.50, "a": [null, "\u0041"]}`)}
	}
}

// traceMembers adds or removes a random member and traces the results and all members.
func traceMembers(h *tracetest.Hash, draw drawFunc, l *Log) {
	name, instance := fmt.Sprint("r", draw(4, "name")), fmt.Sprint("i", draw(9, "instance"))
	h.Step(stepMembers)
	switch draw(6, "member operation") {
	case 0:
		h.Bool(l.RemoveMember(name))
	case 1:
		h.Bool(l.AddMember("", instance))
	default:
		h.Bool(l.AddMember(name, instance))
	}
	h.Bool(l.HasMember(name, instance))
	for _, name := range l.Members() {
		h.String(name)
	}
}

// traceAnswers traces the contents and updates of random revisions, the convergence of one, and part of the history.
func traceAnswers(h *tracetest.Hash, draw drawFunc, l *Log) {
	var leases []Lease
	for range draw(5, "leases") {
		rev := uint64(draw(int(l.Revision())+3, "revision"))
		content, rejected := l.EntriesAt(rev)
		traceError(h, rejected)
		traceEntries(h, content)
		status := FollowerStatus{
			Name:     fmt.Sprint("r", draw(4, "name")),
			Instance: fmt.Sprint("i", draw(9, "instance")),
			Revision: rev,
			Hash:     HashEntries(content),
		}
		if draw(3, "rejects") == 0 {
			status.Rejected = &Rejection{Revision: l.Revision(), Hash: l.Hash(), Pointer: "/settings/d", Reason: "odd"}
		}
		traceUpdate(h, l.UpdateSince(rev, status.Hash))
		traceUpdate(h, l.NextUpdate(status))
		leases = append(leases, Lease{FollowerStatus: status, UntilMS: float64(draw(1000, "until"))})
	}
	unreached := [][]string{nil, {"k2"}, {"k3", "k1"}}[draw(3, "unreached")]
	traceConvergence(h, l.Convergence(uint64(draw(int(l.Revision())+2, "converged revision")), leases, unreached))
	traceHistory(h, l.History(uint64(draw(int(l.Revision())+2, "from")), 3))
}

// roundTrip encodes a log and returns the decoded one.
func roundTrip(t *testing.T, l *Log) *Log {
	t.Helper()
	state, err := l.MarshalBinary()
	decoded := NewLog(Retention{})
	if err := errors.Join(err, decoded.UnmarshalBinary(state)); err != nil {
		t.Fatal(err)
	}
	return decoded
}

// traceKeeperSelection traces the selected keepers and the waits of followers after successful and failed calls.
func traceKeeperSelection(t *testing.T, h *tracetest.Hash) {
	t.Helper()
	for seed := range uint64(100) {
		draw := drawFromTraceSeed(seed)
		f := &tracedFollower{Follower: NewFollower("r", NewInstanceID(int64(seed)*1000, seed)), h: h}
		nowMS := 0.0
		for range 60 {
			nowMS += float64(draw(1500, "wait"))
			f.SelectKeeper(draw(6, "keepers"))
			switch draw(5, "outcome") {
			case 0:
				f.CallSucceeded()
			case 1:
				_, _, _ = f.Offer(Update{From: 3, To: 2, KeeperBehind: true})
			default:
				f.CallFailed(nowMS, float64(draw(120, "jitter")-10)/100)
			}
		}
	}
}

// sortedKeys returns the sorted pointers of a content.
func sortedKeys(content map[string]json.RawMessage) []string {
	return slices.Sorted(maps.Keys(content))
}
