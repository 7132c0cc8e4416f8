package configlog

import (
	"encoding/json"
	"fmt"
	"maps"
	"strings"
	"testing"

	"windflow/internal/tracetest"
)

// This file has the traces of a follower that also gets invalid updates, of the pointers and values of changes, and of
// a log that has dropped the oldest change IDs.

// traceFollower offers a follower valid and invalid updates and saved copies in random order.
func traceFollower(t *testing.T, h *tracetest.Hash) {
	t.Helper()
	for seed := range uint64(60) {
		draw := drawFromTraceSeed(seed)
		l := NewLog(Retention{Revisions: 8})
		f := &tracedFollower{Follower: NewFollower("r", NewInstanceID(1, seed)), h: h}
		saved := []SavedRevision{f.Saved()}
		for i := range 80 {
			l.Apply(draw.change(fmt.Sprint("c", i), l.Revision()))
			f.randomStep(draw, l, &saved)
		}
	}
}

// randomStep makes a follower do one random action.
func (f *tracedFollower) randomStep(draw drawFunc, l *Log, saved *[]SavedRevision) {
	status := f.Status()
	switch draw(12, "step") {
	case 0, 1, 2:
		_, _, _ = f.Offer(l.NextUpdate(status))
	case 3:
		_, _, _ = f.Offer(damageUpdate(draw, l.UpdateSince(status.Revision, status.Hash)))
	case 4:
		_, _, _ = f.Offer(l.UpdateSince(uint64(draw(int(l.Revision())+2, "from")), Hash{}))
	case 5, 6, 7:
		f.Accept()
	case 8:
		f.Reject("/settings/d", strings.Repeat("é", draw(1024, "reason")))
	case 9:
		f.ClearRejections()
	case 10:
		*saved = append(*saved, f.Saved())
	case 11:
		chosen := (*saved)[draw(len(*saved), "saved copy")]
		if draw(4, "damage") == 0 {
			chosen.Revision++
		}
		_, _, _ = f.Restore(chosen)
	}
}

// damageUpdate returns an update with a wrong hash, entry or revision.
func damageUpdate(draw drawFunc, u Update) Update {
	switch draw(4, "damage") {
	case 0:
		u.Hash[draw(32, "byte")]++
	case 1:
		u.Remove = append(u.Remove, "/settings/none")
	case 2:
		u.Put = maps.Clone(u.Put)
		if u.Put == nil {
			u.Put = map[string]json.RawMessage{}
		}
		u.Put["/settings/more"] = json.RawMessage("1")
	case 3:
		u.From++
	}
	return u
}

var tracePointers = []string{
	"",
	"board",
	"/board",
	"/board/a",
	"/",
	"/settings",
	"/settings/",
	"/settings/a",
	"/settings/A",
	"/settings/me",
	"/settings/zone",
	"/settings/zone/a",
	"/settings/a//b",
	"/settings/a/-",
	"/settings/a/01",
	"/settings/a/0",
	"/settings/a/10",
	"/settings/a_b.c-d",
	"/settings/a~0",
	"/settings/a~",
	"/settings/a~2",
	"/settings/parties",
	"/settings/parties/",
	"/settings/parties/p",
	"/settings/parties/p~1q~0",
	"/settings/parties/p/q",
	"/settings/\x01",
	"/settings/\xff",
	"/other/a",
	"/settings/" + strings.Repeat("a", 502),
	"/settings/" + strings.Repeat("a", 503),
}

var traceValues = []string{
	"",
	"1",
	"1.50",
	"1e2",
	"1E400",
	"-0",
	"0.1e-7",
	"123456789012345678901234567890",
	`"a"`,
	`"\u0041<>&\u2028"`,
	`"\ud800"`,
	"null",
	"true",
	"[]",
	"[1, 2,  [3]]",
	"{}",
	`{"b":1,"a":{"d":2,"c":[null]}}`,
	`{"a":1,"a":2}`,
	"{",
	"1 2",
	"\xff",
	`{"a":null}`,
	nestedArrays(
		63,
	),
	nestedArrays(64),
	nestedArrays(65),
	nestedArrays(66),
	`"` + strings.Repeat("x", 64<<10-2) + `"`,
	`"` + strings.Repeat("x", 64<<10-1) + `"`,
}

// nestedArrays returns arrays nested to a depth. The limits are written as numbers in this file, so that a changed
// constant is detected.
func nestedArrays(depth int) string { return strings.Repeat("[", depth) + strings.Repeat("]", depth) }

// traceDocument traces the result of putting each value at each pointer.
func traceDocument(t *testing.T, h *tracetest.Hash) {
	t.Helper()
	for _, p := range tracePointers {
		name, ok := TenantName(p)
		h.Step(stepPointer)
		h.Bool(CheckPointer(p) == nil)
		h.String(name)
		h.Bool(ok)
		for _, v := range traceValues {
			l := NewLog(Retention{})
			traceResult(h, l.Apply(Change{ID: "a", Put: map[string]json.RawMessage{p: json.RawMessage(v)}}))
			traceInForce(h, l)
		}
	}
}

// traceIDs applies more changes than a log remembers IDs, and then repeats some of them.
func traceIDs(t *testing.T, h *tracetest.Hash) {
	t.Helper()
	l := NewLog(Retention{Revisions: 3})
	change := func(i int) Change {
		return Change{
			ID:  fmt.Sprint("c", i),
			Put: map[string]json.RawMessage{"/settings/d": json.RawMessage(fmt.Sprint(i % 7))},
		}
	}
	const remembered = 4096
	for i := range remembered + 50 {
		traceResult(h, l.Apply(change(i)))
	}
	for _, i := range []int{remembered, 60, 49, 50, 51, 0} {
		traceResult(h, l.Apply(change(i)))
	}
	traceInForce(h, l)
}

// traceRejections makes a follower reject one revision after another, and then offers all of them again.
func traceRejections(t *testing.T, h *tracetest.Hash) {
	t.Helper()
	l := NewLog(Retention{})
	f := &tracedFollower{Follower: NewFollower("r", NewInstanceID(1, 1)), h: h}
	var updates []Update
	for i := range 24 {
		l.Apply(
			Change{
				ID:  fmt.Sprint("c", i),
				Put: map[string]json.RawMessage{"/settings/d": json.RawMessage(fmt.Sprint(i))},
			},
		)
		updates = append(updates, l.NextUpdate(f.Status()))
		_, _, _ = f.Offer(updates[i])
		f.Reject("/settings/d", "odd")
	}
	for _, u := range updates {
		_, ok, _ := f.Offer(u)
		if ok {
			f.Reject("/settings/d", "still odd")
		}
	}
	f.ClearRejections()
	_, _, _ = f.Offer(updates[5])
}
