package configlog

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"windflow/internal/decide/configerror"
)

// model is a simple reference implementation of a log. It stores the complete content of each revision and limits only
// the number of revisions.
type model struct {
	contents  []map[string]json.RawMessage
	retention int
	ids       map[string]string // encoded change by ID
	revisions map[string]uint64 // revision by change ID
}

func newModel(retention int) *model {
	return &model{
		contents:  []map[string]json.RawMessage{{}},
		retention: retention,
		ids:       map[string]string{},
		revisions: map[string]uint64{},
	}
}

func (m *model) revision() uint64                    { return uint64(len(m.contents) - 1) }
func (m *model) oldest() uint64                      { return uint64(max(0, len(m.contents)-1-m.retention)) }
func (m *model) content() map[string]json.RawMessage { return m.contents[len(m.contents)-1] }

// apply applies a change and returns the kind of rejection, "repeated" or "", and the revision. The values of the
// change must be canonical and its pointers valid.
func (m *model) apply(c Change) (string, uint64) {
	c.AtMS = 0
	c.Remove = slices.Sorted(slices.Values(c.Remove))
	text, _ := json.Marshal(c)
	if encoded, ok := m.ids[c.ID]; ok {
		if encoded != string(text) {
			return string(configerror.IDReused), m.revisions[c.ID]
		}
		return "repeated", m.revisions[c.ID]
	}
	if c.Expect != nil && *c.Expect != m.revision() {
		return string(configerror.Conflict), m.revision()
	}
	next := maps.Clone(m.content())
	if c.RevertTo != nil {
		switch {
		case *c.RevertTo > m.revision():
			return string(configerror.Invalid), m.revision()
		case *c.RevertTo < m.oldest():
			return string(configerror.Compacted), m.revision()
		}
		next = maps.Clone(m.contents[*c.RevertTo])
	}
	for _, p := range c.Remove {
		if _, ok := next[p]; !ok {
			return string(configerror.Invalid), m.revision()
		}
		delete(next, p)
	}
	maps.Copy(next, c.Put)
	for p := range next {
		for q := range next {
			if strings.HasPrefix(q, p+"/") {
				return string(configerror.Invalid), m.revision()
			}
		}
	}
	m.contents = append(m.contents, next)
	m.ids[c.ID], m.revisions[c.ID] = string(text), m.revision()
	return "", m.revision()
}

// drawFunc draws a number from 0 to n-1, either from rapid or, to test mutants, from a seeded generator.
type drawFunc func(n int, what string) int

func drawFromRapid(t *rapid.T) drawFunc {
	return func(n int, what string) int { return rapid.IntRange(0, n-1).Draw(t, what) }
}

var samplePointers = []string{
	"/board",
	"/settings/a",
	"/settings/a/b",
	"/settings/a/b/c",
	"/settings/d",
	"/settings/parties/p",
	"/settings/parties/q",
}

// change draws a change, which is often invalid. The filler makes the document larger than most deltas.
func (draw drawFunc) change(id string, now uint64) Change {
	c := Change{ID: id, AtMS: int64(draw(3, "at"))}
	if draw(4, "has expect") == 0 {
		c.Expect = revisionPtr(now + uint64(draw(2, "expect offset")))
	}
	if draw(4, "revert") == 0 {
		c.RevertTo = revisionPtr(now - min(now, uint64(draw(8, "revisions back")/2)))
		return c
	}
	c.Put = map[string]json.RawMessage{}
	for range 1 + draw(2, "puts") {
		p := samplePointers[draw(len(samplePointers), "pointer")]
		v := fmt.Sprint(draw(4, "value"))
		switch {
		case p == "/board":
			v = `"b:` + v + `"`
		case strings.HasPrefix(p, tenantsPath):
			v = `{"share":` + v + `}`
		}
		c.Put[p] = json.RawMessage(v)
	}
	if draw(6, "has filler") == 0 {
		c.Put["/settings/filler"] = json.RawMessage(`"` + strings.Repeat("x", 50+100*draw(3, "filler size")) + `"`)
	}
	for range draw(3, "removes") {
		if p := samplePointers[draw(len(samplePointers), "pointer")]; c.Put[p] == nil && !slices.Contains(c.Remove, p) {
			c.Remove = append(c.Remove, p)
		}
	}
	return c
}

// checkProperty checks a property with a fixed seed and number of checks, unless the command line sets them.
func checkProperty(t *testing.T, checks string, prop func(*rapid.T)) {
	t.Helper()
	restore := fixRapidSeed(t, checks)
	defer restore()
	rapid.Check(t, prop)
}

// A log and the model agree on the results of random changes and on the contents of all retained revisions. The update
// from any revision leads to the content in force, and a decoded state equals the encoded one.
func TestLogMatchesModel(t *testing.T) {
	checkProperty(t, "200", func(t *rapid.T) {
		draw := drawFromRapid(t)
		l, m := NewLog(Retention{Revisions: 5}), newModel(5)
		for i := range 40 {
			id := fmt.Sprint(i)
			if draw(8, "reuse id") == 0 {
				id = fmt.Sprint(draw(i+1, "id"))
			}
			c := draw.change(id, m.revision())
			preview, rejected := l.Preview(c)
			kind, rev := m.apply(c)
			r := l.Apply(c)
			switch {
			case r.Err != nil && (string(r.Err.Kind) != kind || !reflect.DeepEqual(rejected, r.Err)):
				t.Fatalf("%+v: rejected with %v, by Preview with %v, want kind %q", c, r.Err, rejected, kind)
			case r.Err == nil &&
				(r.Revision != rev || r.Repeated != (kind == "repeated") || kind != "" && kind != "repeated" || rejected != nil):
				t.Fatalf("%+v: result %+v, want kind %q and revision %d; Preview rejects with %v", c, r, kind, rev, rejected)
			case r.Err == nil && !maps.EqualFunc(preview, m.content(), equal):
				t.Fatalf("%+v: Preview returns %v, want %v", c, preview, m.content())
			}
			m.compare(t, l)
		}
		state, _ := l.MarshalBinary()
		decoded := NewLog(Retention{})
		if err := decoded.UnmarshalBinary(state); err != nil || !reflect.DeepEqual(l, decoded) {
			t.Fatal("the decoded state differs from the encoded one:", err)
		}
	})
}

// compare checks that a log has the revisions, contents and updates that follow from the model.
func (m *model) compare(t *rapid.T, l *Log) {
	if l.Revision() != m.revision() || l.OldestRevision() != m.oldest() ||
		!maps.EqualFunc(l.Entries(), m.content(), equal) ||
		l.Hash() != HashEntries(m.content()) {
		t.Fatalf(
			"revision %d, oldest %d, content %v; want revision %d, oldest %d, content %v",
			l.Revision(),
			l.OldestRevision(),
			l.Entries(),
			m.revision(),
			m.oldest(),
			m.content(),
		)
	}
	for rev, want := range m.contents {
		got, rejected := l.EntriesAt(uint64(rev))
		if uint64(rev) < m.oldest() {
			if rejected == nil || rejected.Kind != configerror.Compacted || rejected.Revision != m.oldest() {
				t.Fatalf("compacted revision %d: content %v, error %v", rev, got, rejected)
			}
		} else if rejected != nil || !maps.EqualFunc(got, want, equal) {
			t.Fatalf("revision %d: content %v, error %v, want %v", rev, got, rejected, want)
		}
		u := l.UpdateSince(uint64(rev), HashEntries(want))
		to := maps.Clone(want)
		if u.Snapshot {
			to = u.Put
		} else {
			for _, p := range u.Remove {
				if to[p] == nil {
					t.Fatalf("the update from revision %d removes %s, which does not exist", rev, p)
				}
				delete(to, p)
			}
			maps.Copy(to, u.Put)
		}
		if !maps.EqualFunc(to, m.content(), equal) || u.Hash != l.Hash() || u.To != m.revision() || u.KeeperBehind {
			t.Fatalf("the update from revision %d does not lead to the content in force: %+v", rev, u)
		}
	}
}
