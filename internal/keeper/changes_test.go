package keeper_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"windflow/internal/decide/configlog"
)

func uint64Pointer(n uint64) *uint64 { return &n }

// operatorCall is a call to a keeper and the expected response.
type operatorCall struct {
	name, path string
	body       any
	status     int
	// parts are the expected parts of the response's kind, pointer, reason, revision and repeated, separated by spaces.
	parts string
}

func operatorCalls() []operatorCall {
	return []operatorCall{
		{"repeated change", "/v1/changes", put("c1", "/settings/over-share-worth", "1"), 200, "2 true"},
		{"id of another change", "/v1/changes", put("c1", "/settings/over-share-worth", "7"), 409, "reused 2"},
		{"outdated expect", "/v1/changes", withExpect(put("x", "/settings/over-share-worth", "9"), 2), 409, "conflict 3"},
		{
			"rejected by the check", "/v1/changes", put("y", rejectedPointer, "-1"), 422,
			"invalid " + rejectedPointer + " below zero",
		},
		{"pointer that cannot be changed", "/v1/changes", put("z", "/listen", `"x"`), 422, "invalid /listen"},
		{"missing id", "/v1/changes", put("", "/settings/over-share-worth", "1"), 400, "malformed field id"},
		{"unknown field", "/v1/changes", `{"id":"a","putt":{}}`, 400, "malformed field putt"},
		{"id of wrong type", "/v1/changes", `{"id":5}`, 400, "malformed field id"},
		{"truncated JSON", "/v1/changes", `{"id":`, 400, "malformed"},
		{"two JSON values", "/v1/changes", `{"id":"a"} {}`, 400, "malformed after"},
		{"body too large", "/v1/changes", `{"id":"` + strings.Repeat("a", 5<<20) + `"}`, 413, "malformed bytes"},
		{"missing to", "/v1/revert", `{"id":"r"}`, 400, "malformed field to"},
		{"revert to a future revision", "/v1/revert", `{"id":"r","to":99}`, 422, "invalid revert_to"},
		{"revert", "/v1/revert", `{"id":"r","to":1,"expect":3,"note":"back"}`, 200, "4 false"},
		{"repeated revert", "/v1/revert", `{"id":"r","to":1,"expect":3,"note":"back"}`, 200, "4 true"},
	}
}

func withExpect(change configlog.Change, revision uint64) configlog.Change {
	change.Expect = &revision
	return change
}

// check makes the call at keeper i and checks the status and that the response contains wantParts.
func (c operatorCall) check(g *group, i int, wantParts string) {
	g.t.Helper()
	var r reply
	if code := g.post(i, c.path, c.body, &r); code != c.status {
		g.t.Errorf("%s at keeper %d: status %d, want %d: %+v", c.name, i, code, c.status, r)
	}
	text := fmt.Sprint(r.Kind, " ", r.Pointer, " ", r.Reason, " ", r.Revision, " ", r.Repeated)
	for part := range strings.FieldsSeq(wantParts) {
		if !strings.Contains(text, part) {
			g.t.Errorf("%s at keeper %d: %q is not in %q", c.name, i, part, text)
		}
	}
}

// All keepers give the same response to an operator's call, whether they lead or not, and also to invalid calls.
func TestOperatorCalls(t *testing.T) {
	g := startGroup(t, 3, nil)
	leader := g.leader()
	other := (leader + 1) % 3
	for i := range 3 {
		if rev := g.change(i, put(fmt.Sprint("c", i), "/settings/over-share-worth", fmt.Sprint(i))); rev != uint64(i+1) {
			t.Errorf("change %d got revision %d, want %d", i, rev, i+1)
		}
	}
	for _, c := range operatorCalls() {
		c.check(g, leader, c.parts)
		if c.name == "revert" {
			c.parts = strings.ReplaceAll(c.parts, "false", "true") // the previous call committed it
		}
		c.check(g, other, c.parts)
	}
	var r reply
	g.checkEqualState(4)
	if c := g.waitForRevision(other, 4); string(c.Entries["/settings/over-share-worth"]) != "0" {
		t.Errorf("entries after the revert: %s, want over-share-worth 0", c.Entries)
	}
	if c := g.waitForRevision(other, 3); string(c.Entries["/settings/over-share-worth"]) != "2" {
		t.Errorf("entries of revision 3: %s, want over-share-worth 2", c.Entries)
	}
	var history struct {
		Oldest    uint64               `json:"oldest"`
		Revisions []configlog.Revision `json:"revisions"`
	}
	if code := g.get(other, "/v1/revisions?from=2&most=2", &history); code != 200 ||
		len(history.Revisions) != 2 || history.Revisions[0].ID != "c1" || history.Revisions[0].AtMS == 0 {
		t.Errorf("revisions: status %d, %+v; want status 200, two revisions from c1 on with a time", code, history)
	}
	if code := g.get(other, "/v1/config?revision=9", &r); code != 404 {
		t.Errorf("a revision that does not exist: status %d, want 404", code)
	}
	if code := g.get(other, "/v1/config?revision=x", &r); code != 400 || !strings.Contains(r.Reason, "revision") {
		t.Errorf("revision=x: status %d, want 400: %+v", code, r)
	}
}

// A call that one keeper has forwarded is not forwarded again: keepers that disagree about the leader would pass it
// around endlessly.
func TestForwardedCallIsNotForwardedAgain(t *testing.T) {
	g := startGroup(t, 3, nil)
	other := (g.leader() + 1) % 3
	request, err := http.NewRequest(http.MethodPost, "http://"+g.members[other].options.HTTPAddr+"/v1/changes",
		strings.NewReader(`{"id":"a","put":{"/settings/over-share-worth":1}}`))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Windflow-Keeper", "k9")
	answer, err := client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = answer.Body.Close()
	if answer.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("forwarded call: %s, want status 503", answer.Status)
	}
	if s := g.status(other); s.Counters["passed_on"] != 0 || s.Revision != 0 {
		t.Errorf("the keeper forwarded the call again or applied it: %+v", s)
	}
}

// If two operators change the same revision concurrently, exactly one change becomes the next revision. The other
// operator receives a conflict that names this revision.
func TestConcurrentChangesOfOneRevision(t *testing.T) {
	g := startGroup(t, 3, nil)
	for round := range uint64(20) {
		var replies [2]reply
		var codes [2]int
		var calls sync.WaitGroup
		for i := range 2 {
			calls.Go(func() {
				c := put(fmt.Sprint(round, "-", i), "/settings/over-share-worth", fmt.Sprint(i))
				c.Expect = uint64Pointer(round)
				var err error
				codes[i], err = sendCall("http://"+g.members[i].options.HTTPAddr, http.MethodPost, "/v1/changes", c, &replies[i])
				if err != nil {
					t.Error(err)
				}
			})
		}
		calls.Wait()
		accepted, rejected := 0, 1
		if codes[0] != 200 {
			accepted, rejected = 1, 0
		}
		if codes[accepted] != 200 || replies[accepted].Revision != round+1 ||
			codes[rejected] != 409 || replies[rejected].Kind != "conflict" || replies[rejected].Revision != round+1 {
			t.Fatalf("round %d: statuses %v, replies %+v; want one status 200, one conflict, both with revision %d", round,
				codes, replies, round+1)
		}
	}
	g.checkEqualState(20)
}
