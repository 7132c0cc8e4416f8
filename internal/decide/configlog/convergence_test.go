package configlog

import (
	"encoding/json"
	"reflect"
	"testing"
)

// joinNames returns the names of the processes, each followed by its instance, as one string.
func joinNames(processes []FollowerProcess) string {
	names := ""
	for _, process := range processes {
		names += process.Name + process.Instance
	}
	return names
}

// A lease expires after its length unless it is renewed. Renew reports a first call for a new process and again after
// the lease has expired.
func TestLeases(t *testing.T) {
	l := NewLeases(6000)
	a, b := FollowerStatus{Name: "a", Instance: "1", Revision: 3}, FollowerStatus{Name: "a", Instance: "2"}
	if !l.Renew(1000, b) || !l.Renew(1000, a) || l.Renew(3000, a) {
		t.Error("Renew must return true for the first call of each process only")
	}
	live := l.Live(6999)
	if len(live) != 2 || live[0].Instance != "1" || live[0].UntilMS != 9000 || live[1].UntilMS != 7000 {
		t.Errorf("unexpected leases before the expiry: %+v", live)
	}
	if live := l.Live(7000); len(live) != 1 || live[0].Revision != 3 {
		t.Errorf("unexpected leases at the expiry of one: %+v", live)
	}
	if l.Renew(8999, a) || !l.Renew(15_000, a) || !l.Renew(15_000, b) {
		t.Error("Renew must return true for the first call after a lease has expired")
	}
}

// Leases are complete once the keeper has run for the length of a lease without a gap of more than half of that length.
func TestLeasesComplete(t *testing.T) {
	l := NewLeases(6000)
	for ms := 100.0; ms < 6100; ms += 1000 {
		if l.IsComplete(ms) {
			t.Fatalf("the leases are complete at %v ms already", ms)
		}
	}
	if !l.IsComplete(6100) || !l.IsComplete(9100) {
		t.Error("the leases are not complete after the length of a lease")
	}
	if l.IsComplete(12_101) { // after a gap of more than half of a lease
		t.Error("the leases are complete directly after a gap")
	}
	for ms := 12_101.0; ms < 18_101; ms += 1500 {
		l.Tick(ms)
		if l.IsComplete(ms) {
			t.Fatalf("the leases are complete at %v ms already", ms)
		}
	}
	if !l.IsComplete(18_101) {
		t.Error("the leases are not complete one length after the gap")
	}
}

// newLogWithLeases returns a log with revisions 1 to 6 and the given members, and a function that returns a lease of a
// process that has one of these revisions in force.
func newLogWithLeases(
	t *testing.T,
	members ...string,
) (*Log, func(name, instance string, rev uint64, untilMS float64) Lease) {
	t.Helper()
	l := NewLog(Retention{})
	hashes := []Hash{{}}
	for i := range 6 {
		l.mustApply(t, put(string(rune('a'+i)), "/settings/a", string(rune('1'+i))))
		hashes = append(hashes, l.Hash())
	}
	for _, n := range members {
		l.AddMember(n, "1")
	}
	return l, func(name, instance string, rev uint64, untilMS float64) Lease {
		return Lease{
			FollowerStatus: FollowerStatus{Name: name, Instance: instance, Revision: rev, Hash: hashes[rev]},
			UntilMS:        untilMS,
		}
	}
}

// Convergence lists processes as in force, behind or rejecting. Members without a lease are listed as missing; they
// prevent convergence only if a keeper is unreached.
func TestConvergence(t *testing.T) {
	l, lease := newLogWithLeases(t, "z", "a", "b", "c", "d")
	rejects := lease("c", "1", 4, 0)
	rejects.Rejected = &Rejection{Revision: 5, Pointer: "/settings/a", Reason: "no"}
	rejectedBefore := lease("d", "1", 4, 0)
	rejectedBefore.Rejected = &Rejection{Revision: 4}
	status := l.Convergence(
		5,
		[]Lease{lease("b", "1", 4, 0), lease("a", "1", 6, 0), rejects, rejectedBefore, lease("n", "1", 5, 0)},
		nil,
	)
	if joinNames(status.InForce) != "a1n1" || joinNames(status.Behind) != "b1d1" || joinNames(status.Rejected) != "c1" ||
		status.Rejected[0].Rejected.Pointer != "/settings/a" ||
		!reflect.DeepEqual(status.Missing, []string{"z"}) ||
		status.Converged ||
		status.Revision != 5 {
		t.Errorf("unexpected convergence status: %+v", status)
	}
	l, lease = newLogWithLeases(t, "a", "b")
	a, b := lease("a", "1", 5, 0), lease("b", "1", 5, 0)
	rejectsLater := lease("a", "1", 5, 0)
	rejectsLater.Rejected = &Rejection{Revision: 6}
	for name, test := range map[string]struct {
		leases    []Lease
		unreached []string
		want      bool
	}{
		"all in force":                           {[]Lease{a, b}, nil, true},
		"one member missing":                     {[]Lease{a}, nil, true},
		"no process":                             {nil, nil, false},
		"one process behind":                     {[]Lease{a, lease("b", "1", 4, 0)}, nil, false},
		"an earlier process behind":              {[]Lease{lease("a", "0", 4, 0), a, b}, nil, false},
		"all in force, a keeper unreached":       {[]Lease{a, b}, []string{"k"}, true},
		"one member missing, a keeper unreached": {[]Lease{a}, []string{"k"}, false},
		"a lease of an earlier process only, a keeper unreached": {[]Lease{a, lease("b", "0", 5, 0)}, []string{"k"}, false},
		"leases of one process at two keepers":                   {[]Lease{lease("a", "1", 4, 9), lease("a", "1", 5, 5), b}, nil, true},
		"a later revision rejected":                              {[]Lease{rejectsLater}, nil, true},
	} {
		if status := l.Convergence(5, test.leases, test.unreached); status.Converged != test.want {
			t.Errorf("%s: converged: %v, want %v; status %+v", name, status.Converged, test.want, status)
		}
	}
	text, err := json.Marshal(NewLog(Retention{}).Convergence(1, nil, nil))
	const want = `{"revision":1,"in_force":[],"behind":[],"refused":[],"foreign":[],"gone":[],` +
		`"unreached":[],"everywhere":false}`
	if err != nil || string(text) != want {
		t.Errorf("the status of an empty log is encoded as %s, error %v, want %s", text, err, want)
	}
}

// A process whose content differs from that of its revision in the log is diverged and prevents convergence. So is one
// whose revision the log does not have.
func TestConvergenceByContent(t *testing.T) {
	l := newLogWithFiller(t, Retention{Revisions: 2})
	l.AddMember("a", "1")
	l.mustApply(t, put("a", "/settings/a", "1"))
	at := func(rev uint64, h Hash) []Lease {
		return []Lease{{FollowerStatus: FollowerStatus{Name: "a", Instance: "1", Revision: rev, Hash: h}}}
	}
	if status := l.Convergence(2, at(2, l.Hash()), nil); !status.Converged || joinNames(status.InForce) != "a1" {
		t.Errorf("same content: %+v", status)
	}
	if status := l.Convergence(2, at(2, Hash{}), nil); status.Converged || joinNames(status.Diverged) != "a1" {
		t.Errorf("other content at the revision: %+v", status)
	}
	if status := l.Convergence(2, at(7, l.Hash()), nil); status.Converged || joinNames(status.Diverged) != "a1" {
		t.Errorf("a revision after that of the log: %+v", status)
	}
	if status := l.Convergence(3, at(3, l.Hash()), nil); status.Converged { // there is no revision 3
		t.Errorf("a revision that does not exist is reported as converged: %+v", status)
	}
	h := l.Hash()
	for _, id := range []string{"b", "c", "d"} {
		l.mustApply(t, put(id, "/settings/a", `"`+id+`"`))
	}
	if status := l.Convergence(1, at(2, h), nil); status.Converged { // compacted: revision 2 has no content to compare with
		t.Errorf("a compacted revision counts as in force: %+v", status)
	}
}
