package settings

import (
	"encoding/json"
	"errors"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"windflow/internal/decide/configerror"
)

func readExample(t *testing.T) []byte {
	t.Helper()
	text, err := os.ReadFile("../../deploy/example.json")
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Without entries the result is the platform file; with entries only the fields that they name differ from it.
func TestOverlayChangesOnlyNamedFields(t *testing.T) {
	platform := readExample(t)
	unchanged, err := Overlay(platform, nil)
	if err != nil || string(unchanged) != string(platform) {
		t.Fatalf("the file changed without entries, error %v", err)
	}
	text, err := Overlay(platform, map[string]Value{
		"/board":                              Value(`"127.0.0.1:9"`),
		"/settings/over-share-worth":          Value(`0.25`),
		"/settings/rules/look-back-ns":        Value(`7`),
		"/settings/classes/1/credit":          Value(`4`),
		"/settings/specifics/cores-by-kind":   Value(`[16]`),
		"/settings/parties/west~1two":         Value(`{"quota-rps":3,"share":0.5}`),
		"/settings/parties/east":              Value(`{"quota-rps":2}`),
		"/settings/limits/max-retry-after-ns": Value(`1000`),
	})
	if err != nil {
		t.Fatal(err)
	}
	var want, got map[string]any
	if err := errors.Join(json.Unmarshal(platform, &want), json.Unmarshal(text, &got)); err != nil {
		t.Fatal(err)
	}
	wantSettings := want["settings"].(map[string]any)
	want["board"], wantSettings["over-share-worth"] = "127.0.0.1:9", 0.25
	wantSettings["rules"].(map[string]any)["look-back-ns"] = 7.0
	wantSettings["classes"].([]any)[1].(map[string]any)["credit"] = 4.0
	wantSettings["specifics"].(map[string]any)["cores-by-kind"] = []any{16.0}
	wantSettings["limits"].(map[string]any)["max-retry-after-ns"] = 1000.0
	wantSettings["parties"] = []any{
		map[string]any{"name": "east", "quota-rps": 2.0},
		map[string]any{"name": "west/two", "quota-rps": 3.0, "share": 0.5},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("the result differs from the expected file: %s", diff)
	}
	node, err := ParseNode(text)
	if err != nil || node.Settings.Tenants[1].Name != "west/two" || node.Settings.Tenants[1].Quota != 3 {
		t.Errorf("parsed %+v, error %v", node, err)
	}
}

// An entry replaces a field whose name differs in case, because the decoder ignores case too. Otherwise the result
// would have the field twice.
func TestOverlayIgnoresCaseOfFieldNames(t *testing.T) {
	text, err := Overlay([]byte(`{"Board":"127.0.0.1:1","settings":{"Rules":{"cold-ns":4}}}`),
		map[string]Value{"/board": Value(`"127.0.0.1:2"`), "/settings/rules/cold-from": Value(`0.5`)})
	const want = `{"Board":"127.0.0.1:2","settings":{"Rules":{"cold-from":0.5,"cold-ns":4}}}`
	if err != nil || string(text) != want {
		t.Errorf("result %s, error %v", text, err)
	}
}

func TestOverlayReportsTheInvalidEntry(t *testing.T) {
	platform := readExample(t)
	for _, test := range []struct{ pointer, value, want string }{
		{"/name", `"x"`, "own"},
		{"/listen", `"127.0.0.1:1"`, "own"},
		{"/seed", `"1"`, "own"},
		{"/limits/sockets", `9`, "own"},
		{"/control", `"127.0.0.1:1"`, "own"},
		{"/known", `{}`, "own"},
		{"/settings/me", `3`, "own"},
		{"/settings/zone", `"hall-b"`, "own"},
		{"/settings", `{}`, "entries can only set /board"},
		{"/flightsql/listen", `"x"`, "entries can only set /board"},
		{"", `{}`, "not a JSON pointer"},
		{"board", `"127.0.0.1:1"`, "not a JSON pointer"},
		{"/settings//rules", `{}`, "empty name"},
		{"/settings/rules~", `{}`, "escaped as in RFC 6901; expected /settings/rules~0"},
		{"/board", `7`, "unexpected JSON number"},
		{"/board", `null`, "null"},
		{"/board", `"x`, "not valid JSON"},
		{"/settings/over-shar-worth", `1`, "unknown field over-shar-worth in /settings"},
		{"/settings/rules/cold-from/x", `1`, "/settings/rules/cold-from is neither an object nor a list"},
		{"/settings/rules", `{"cold-form":1}`, "cold-form"},
		{"/settings/rules", `{"cold-from":"x"}`, "field cold-from: unexpected JSON string"},
		{"/settings/classes/-/credit", `1`, "not the index of a list item"},
		{"/settings/classes/01/credit", `1`, "not the index of a list item"},
		{"/settings/classes/9/credit", `1`, "no item 9 in a list of 3 items"},
		{"/settings/parties", `[]`, "one by one"},
		{"/settings/parties/a/quota-rps", `1`, "one by one"},
		{"/settings/parties/a", `{}`, "quota-rps is missing"},
		{"/settings/parties/a", `{"quota-rps":-1}`, "quota-rps: -1 is below 0"},
		{"/settings/parties/a", `{"quota-rps":1,"share":-1}`, "share: -1 is below 0"},
		{"/settings/parties/a", `{"quota-rps":1,"name":"b"}`, `"b" is not the name`},
		{"/settings/parties/a", `{"quota-rps":1,"worth":2}`, "worth"},
		{"/settings/parties/a", `{"quota-rps":"x"}`, "field quota-rps: unexpected JSON string"},
	} {
		_, err := Overlay(platform, map[string]Value{
			"/settings/over-share-worth": Value(`0.5`), test.pointer: Value(test.value),
		})
		var rejected *configerror.Error
		if !errors.As(err, &rejected) || rejected.Pointer != test.pointer || !strings.Contains(rejected.Reason, test.want) ||
			strings.Contains(rejected.Reason, "\n") {
			t.Errorf("%s %s: error %v, want %q", test.pointer, test.value, err, test.want)
		}
	}
	_, err := Overlay(platform, map[string]Value{"/settings/rules": Value(`{}`), "/settings/rules/cold-ns": Value(`1`)})
	if err == nil || !strings.Contains(err.Error(), "part of the entry /settings/rules") {
		t.Errorf("an entry within another one: error %v", err)
	}
	_, err = Overlay([]byte(`{"settings":`), map[string]Value{"/board": Value(`"a:1"`)})
	if !errors.Is(err, ErrNotJSON) {
		t.Errorf("a file that is not JSON: error %v", err)
	}
}

// Entries can set each field of the example, except the fields that differ between routers. A field that the program
// reads but entries do not accept could not be changed through the configuration log.
func TestEntriesCanSetEachFieldOfExample(t *testing.T) {
	var document any
	if err := json.Unmarshal(readExample(t), &document); err != nil {
		t.Fatal(err)
	}
	fields := 0
	var check func(pointer string, value any)
	check = func(pointer string, value any) {
		if object, ok := value.(map[string]any); ok {
			for name, child := range object {
				check(pointer+"/"+escapePointerName(name), child)
			}
		}
		if list, ok := value.([]any); ok && pointer != "/settings/parties" {
			for i, child := range list {
				check(pointer+"/"+strconv.Itoa(i), child)
			}
		}
		skipped := pointer == "" || pointer == "/settings" || pointer == "/settings/parties"
		for _, field := range routerFields {
			skipped = skipped || pointer == field || strings.HasPrefix(pointer, field+"/")
		}
		if skipped {
			return
		}
		fields++
		text, _ := json.Marshal(value)
		if err := checkEntry(pointer, text); err != nil {
			t.Error(err)
		}
	}
	check("", document)
	if fields < 60 {
		t.Errorf("%d fields were checked, want at least 60", fields)
	}
}
