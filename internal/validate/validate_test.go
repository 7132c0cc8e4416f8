package validate

import (
	"os"
	"os/exec"
	"strings"
	"testing"

	"windflow/internal/decide/configerror"
	"windflow/internal/settings"
)

func readExample(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../../deploy/example.json")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// The error for a configuration with which a router could not start names the invalid field in a single line.
func TestNodeConfigNamesTheField(t *testing.T) {
	valid := readExample(t)
	for _, test := range []struct{ from, to, want string }{
		{`"phase": "active"`, `"phase": "active"`, ""},
		{`"phase": "active"`, `"phase": "resting"`, "field known: notices[0].pool.members[0].phase"},
		{`"listen": "127.0.0.1:13306"`, `"listen": "here"`, "field listen"},
		{
			`"sockets": 1024`, `"sockets": 32`,
			"field limits.sockets: 32 leaves 10 connections for engines, expected at least 16",
		},
		{`"cold-from": 0.36`, `"cold-from": -1`, "field settings: rules.cold-from"},
		{`"name": "report"`, `"name": "lookup"`, `field settings: classes[1].name: "lookup"`},
		{`"settings"`, `"other"`, "field settings is missing"},
		{`{`, `[`, "not valid JSON"},
	} {
		err := NodeConfig([]byte(strings.Replace(valid, test.from, test.to, 1)))
		if (err == nil) != (test.want == "") ||
			err != nil && (!strings.HasPrefix(err.Error(), test.want) || strings.Contains(err.Error(), "\n")) {
			t.Errorf("%s: error %v, want %q", test.to, err, test.want)
		}
	}
}

// The error has the pointer of the one invalid entry among valid ones.
func TestEntriesReportTheInvalidEntry(t *testing.T) {
	valid := map[string]settings.Value{
		"/board": settings.Value(`"127.0.0.1:9"`), "/settings/rules/cold-ns": settings.Value(`5`),
		"/settings/parties/a": settings.Value(`{"quota-rps":1}`),
	}
	if err := Entries([]byte(readExample(t)), valid); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct{ pointer, value, reason string }{
		{"/settings/rules/cold-from", `-0.5`, "rules.cold-from: -0.5 is below 0"},
		{"/board", `"nowhere"`, "field board"},
		{"/settings/over-share-worth", `"x"`, "unexpected JSON string"},
		{"/settings/specifics/width-by-class", `[1]`, "has 1 values, expected 3"},
		{"/settings/classes/2/goal-time-ns", `0`, "classes[2]"},
		{"/settings/classes/2/name", `"lookup"`, "already the name of another class"},
		{"/listen", `"127.0.0.1:1"`, "own"},
		{"/settings/specifics/overbooked", `"maybe"`, "unknown value"},
		{"/settings/classes", `[]`, ""},
	} {
		entries := map[string]settings.Value{test.pointer: settings.Value(test.value)}
		for pointer, value := range valid {
			if pointer != test.pointer {
				entries[pointer] = value
			}
		}
		rejected := configerror.From(Entries([]byte(readExample(t)), entries))
		if rejected == nil || rejected.Pointer != test.pointer || !strings.Contains(rejected.Reason, test.reason) {
			t.Errorf("%s: error %+v, want %q", test.pointer, rejected, test.reason)
		}
	}
}

// Where entries are invalid only in combination, the error has the pointer of the entry whose field it names, although
// an earlier entry alone is invalid too.
func TestEntriesInvalidTogether(t *testing.T) {
	entries := map[string]settings.Value{
		"/settings/kinds":                    settings.Value(`["std-8","std-16"]`),
		"/settings/specifics/cores-by-kind":  settings.Value(`[8,16]`),
		"/settings/specifics/kind-memory-mb": settings.Value(`[1,2,3]`),
		"/settings/specifics/note-period-ns": settings.Value(`5`),
	}
	rejected := configerror.From(Entries([]byte(readExample(t)), entries))
	if rejected == nil || rejected.Pointer != "/settings/specifics/kind-memory-mb" {
		t.Fatalf("error %+v, want one for kind-memory-mb", rejected)
	}
	entries["/settings/specifics/kind-memory-mb"] = settings.Value(`[1,2]`)
	if err := Entries([]byte(readExample(t)), entries); err != nil {
		t.Error(err)
	}
}

// The error for an invalid base has no pointer. Entries that correct the base are valid.
func TestEntriesOverInvalidBase(t *testing.T) {
	invalidBase := strings.Replace(readExample(t), `"cold-from": 0.36`, `"cold-from": -1`, 1)
	err := Entries([]byte(invalidBase), map[string]settings.Value{"/settings/over-share-worth": settings.Value(`0.5`)})
	if err == nil || configerror.From(err).Pointer != "" ||
		!strings.Contains(err.Error(), "base configuration: field settings: rules.cold-from") {
		t.Errorf("error %+v, want one for the base without a pointer", err)
	}
	corrected := map[string]settings.Value{"/settings/rules/cold-from": settings.Value(`0.5`)}
	if err := Entries([]byte(invalidBase), corrected); err != nil {
		t.Error(err)
	}
}

// docs/operating.md states these numbers of client sessions for values of limits.sockets.
func TestClientSessionsBySockets(t *testing.T) {
	for _, test := range []struct{ sockets, sessions int }{
		{0, 409}, {1024, 409}, {4999, 1999}, {5000, 2000}, {8192, 3276},
	} {
		cfg := &settings.Node{}
		cfg.Limits.Sockets = test.sockets
		if limits, err := DivideResources(cfg, 0); err != nil || limits.ClientSessions != test.sessions {
			t.Errorf("%d descriptors: %d sessions, error %v; want %d sessions",
				test.sockets, limits.ClientSessions, err, test.sessions)
		}
	}
}

// The package imports neither package net nor the parts of a router for which it validates configurations: the keepers,
// which import it, would otherwise contain a whole router. The list has the current names of the packages.
func TestImportsNoNetwork(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	dependencies := strings.Fields(string(out))
	if len(dependencies) < 5 {
		t.Fatalf("go list returned only the dependencies %q", dependencies)
	}
	for _, dependency := range dependencies {
		for _, forbidden := range []string{
			"mysql", "enginehttp", "netio", "router", "node", "flightsql", "discovery", "admin", "bgp", "hotrestartipc",
		} {
			if dependency == "windflow/internal/"+forbidden {
				t.Error("imports", dependency)
			}
		}
		if dependency == "net" || dependency == "net/http" {
			t.Error("imports", dependency)
		}
	}
}
