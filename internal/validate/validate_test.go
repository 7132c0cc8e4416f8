package validate

import (
	"os"
	"os/exec"
	"strings"
	"testing"

	"windflow/internal/decide/configerror"
	"windflow/internal/settings"
)

func example(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../../deploy/example.json")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// The error of a configuration that a router could not start with is the one that the router would return.
func TestNodeConfigNamesTheField(t *testing.T) {
	good := example(t)
	for _, k := range []struct{ from, to, want string }{
		{`"phase": "active"`, `"phase": "active"`, ""},
		{`"phase": "active"`, `"phase": "resting"`, "field known: notices[0].pool.members[0].phase"},
		{`"listen": "127.0.0.1:13306"`, `"listen": "here"`, "field listen"},
		{`"sockets": 1024`, `"sockets": 32`, "field limits.sockets: 32 leaves no connections"},
		{`"cold-from": 0.36`, `"cold-from": -1`, "field settings: rules.cold-from"},
		{`"name": "report"`, `"name": "lookup"`, `field settings: classes[1].name: "lookup"`},
		{`"settings"`, `"other"`, "field settings is missing"},
		{`{`, `[`, "not valid JSON"},
	} {
		err := NodeConfig([]byte(strings.Replace(good, k.from, k.to, 1)))
		if (err == nil) != (k.want == "") ||
			err != nil && (!strings.HasPrefix(err.Error(), k.want) || strings.Contains(err.Error(), "\n")) {
			t.Errorf("%s: %v, want %q", k.to, err, k.want)
		}
	}
}

// The error has the pointer of the invalid entry among valid ones.
func TestEntriesReportTheInvalidEntry(t *testing.T) {
	good := map[string]settings.Value{
		"/board": settings.Value(`"127.0.0.1:9"`), "/settings/rules/cold-ns": settings.Value(`5`),
		"/settings/parties/a": settings.Value(`{"quota-rps":1}`),
	}
	if err := Entries([]byte(example(t)), good); err != nil {
		t.Fatal(err)
	}
	for _, k := range []struct{ pointer, value, reason string }{
		{"/settings/rules/cold-from", `-0.5`, "rules.cold-from: -0.5 is below 0"},
		{"/board", `"nowhere"`, "field board"},
		{"/settings/over-share-worth", `"x"`, "a string does not fit"},
		{"/settings/specifics/width-by-class", `[1]`, "has 1 values for 3 entries"},
		{"/settings/classes/2/goal-time-ns", `0`, "classes[2]"},
		{"/settings/classes/2/name", `"lookup"`, "already the name of another class"},
		{"/listen", `"127.0.0.1:1"`, "own"},
		{"/settings/specifics/overbooked", `"maybe"`, "unknown value"},
		{"/settings/classes", `[]`, ""},
	} {
		entries := map[string]settings.Value{k.pointer: settings.Value(k.value)}
		for p, v := range good {
			if p != k.pointer {
				entries[p] = v
			}
		}
		rejected := configerror.From(Entries([]byte(example(t)), entries))
		if rejected == nil || rejected.Pointer != k.pointer || !strings.Contains(rejected.Reason, k.reason) {
			t.Errorf("%s: %+v, want %q", k.pointer, rejected, k.reason)
		}
	}
}

// Of entries that are invalid only together, the error has the one whose field it names, though an earlier one alone is
// invalid too.
func TestEntriesInvalidTogether(t *testing.T) {
	entries := map[string]settings.Value{
		"/settings/kinds":                    settings.Value(`["std-8","std-16"]`),
		"/settings/specifics/cores-by-kind":  settings.Value(`[8,16]`),
		"/settings/specifics/kind-memory-mb": settings.Value(`[1,2,3]`),
		"/settings/specifics/note-period-ns": settings.Value(`5`),
	}
	rejected := configerror.From(Entries([]byte(example(t)), entries))
	if rejected == nil || rejected.Pointer != "/settings/specifics/kind-memory-mb" {
		t.Fatalf("%+v", rejected)
	}
	entries["/settings/specifics/kind-memory-mb"] = settings.Value(`[1,2]`)
	if err := Entries([]byte(example(t)), entries); err != nil {
		t.Error(err)
	}
}

func TestEntriesOverAnInvalidBase(t *testing.T) {
	bad := strings.Replace(example(t), `"cold-from": 0.36`, `"cold-from": -1`, 1)
	err := Entries([]byte(bad), map[string]settings.Value{"/settings/over-share-worth": settings.Value(`0.5`)})
	if err == nil || configerror.From(err).Pointer != "" ||
		!strings.Contains(err.Error(), "base configuration: field settings: rules.cold-from") {
		t.Errorf("%+v", err)
	}
	// Entries may correct it.
	corrected := map[string]settings.Value{"/settings/rules/cold-from": settings.Value(`0.5`)}
	if err := Entries([]byte(bad), corrected); err != nil {
		t.Error(err)
	}
}

// docs/operating.md has these figures for limits.sockets.
func TestClientSessionsBySockets(t *testing.T) {
	for _, k := range []struct{ sockets, sessions int }{{0, 409}, {1024, 409}, {4999, 1999}, {5000, 2000}, {8192, 3276}} {
		cfg := &settings.Node{}
		cfg.Limits.Sockets = k.sockets
		if b, err := DivideResources(cfg, 0); err != nil || b.ClientSessions != k.sessions {
			t.Errorf("%d descriptors: %d sessions, %v; want %d", k.sockets, b.ClientSessions, err, k.sessions)
		}
	}
}

// The package imports no part of the router that it validates for: a keeper would contain all of it. The list has the
// present names of the packages.
func TestImportsNoNetwork(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	deps := strings.Fields(string(out))
	if len(deps) < 5 {
		t.Fatal(deps)
	}
	for _, d := range deps {
		for _, no := range []string{
			"mysql", "enginehttp", "netio", "router", "node", "flightsql", "discovery", "admin", "bgp", "hotrestartipc",
		} {
			if d == "windflow/internal/"+no {
				t.Error("links", d)
			}
		}
		if d == "net" || d == "net/http" {
			t.Error("links", d)
		}
	}
}
