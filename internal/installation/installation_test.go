package installation

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"windflow/internal/flightsql"
)

// The example of the settings file is valid, and absent optional fields have their defaults.
func TestReadExample(t *testing.T) {
	settings, err := Read("../../deploy/windflow.json")
	if err != nil {
		t.Fatal(err)
	}
	if settings.FlightSQL == nil || settings.BGP == nil || settings.BGP.HoldTimeS != 90 ||
		settings.BGP.Prefixes[0].String() != "127.0.0.1/32" ||
		settings.Keepers == nil || len(settings.Keepers.Addresses) != 3 || settings.Keepers.MaxPollWaitMS != 2000 {
		t.Errorf("unexpected settings %+v", settings)
	}
}

// A section has the defaults of its absent fields, and an absent section is nil.
func TestDefaultsAndAbsentSections(t *testing.T) {
	settings, err := Parse([]byte(`{"flightsql":{"listen":"127.0.0.1:1"}}`))
	if err != nil {
		t.Fatal(err)
	}
	want := &Settings{FlightSQL: &flightsql.Config{Listen: "127.0.0.1:1", MaxConnections: 32}}
	if diff := cmp.Diff(want, settings, cmpopts.EquateEmpty()); diff != "" {
		t.Errorf("unexpected settings: %s", diff)
	}
}

// validBGPSettings is the text of a settings file with a valid section bgp.
const validBGPSettings = `{"bgp":{"peer":"127.0.0.1:179","peer_as":1,"local_as":2,"router_id":"10.0.0.1",` +
	`"prefixes":["10.1.0.1/32"],"next_hop":"10.0.0.1"}}`

// invalidSettingsCase has the text of a file that must be rejected, and texts that the error must contain.
type invalidSettingsCase struct {
	text string
	want []string
}

func invalidSettingsCases() map[string]invalidSettingsCase {
	return map[string]invalidSettingsCase{
		"invalid JSON":              {"{\n\"bgp\": {\n}", []string{"not valid JSON"}},
		"two JSON values":           {"{} {}", []string{"not valid JSON"}},
		"list instead of an object": {"[]", []string{"/: ", "object"}},
		"null section":              {`{"bgp":null}`, []string{"/bgp: ", "object"}},
		"fraction instead of an integer": {
			`{"flightsql":{"listen":"a:1","max_connections":1.5}}`,
			[]string{"/flightsql/max_connections: "},
		},
		"empty list of prefixes": {
			strings.Replace(validBGPSettings, `["10.1.0.1/32"]`, "[]", 1),
			[]string{"/bgp/prefixes: "},
		},
		"unknown section": {
			`{"flight":{}}`,
			[]string{"/: unknown field flight; expected one of $schema, bgp, flightsql, keepers, records"},
		},
		"unknown field": {
			`{"flightsql":{"listen":"a:1","max":3}}`,
			[]string{"/flightsql: unknown field max; expected one of engine_kinds, listen, max_connections"},
		},
		"missing field": {`{"flightsql":{}}`, []string{"/flightsql: field listen is missing"}},
		"number above the maximum": {
			`{"flightsql":{"listen":"a:1","max_connections":9999}}`,
			[]string{"/flightsql/max_connections: maximum: 9999 is greater than 4096 (", "Connections taken at once"},
		},
		"wrong type": {`{"flightsql":{"listen":5}}`, []string{"/flightsql/listen: ", "string", "address:port"}},
		"invalid list item": {
			`{"flightsql":{"listen":"a:1","engine_kinds":["x",""]}}`,
			[]string{"/flightsql/engine_kinds/1: "},
		},
		"two faults": {
			`{"flightsql":{"listen":5,"max_connections":0}}`,
			[]string{"/flightsql/listen: ", "\n/flightsql/max_connections: "},
		},
		"hold time below the minimum": {
			strings.Replace(validBGPSettings, `"peer_as"`, `"hold_time_s":2,"peer_as"`, 1),
			[]string{"/bgp/hold_time_s: ", "0 for never, or 3 and more"},
		},
		"empty list of keepers": {`{"keepers":{"addresses":[],"dir":"/x"}}`, []string{"/keepers/addresses: "}},
		"keeper address without a port": {
			`{"keepers":{"addresses":["here"],"dir":"/x"}}`,
			[]string{"/keepers/addresses/0: "},
		},
		"poll wait above the maximum": {
			`{"keepers":{"addresses":["a:1"],"dir":"/x","hold_ms":9000}}`,
			[]string{"/keepers/hold_ms: ", "2500"},
		},
		"prefix with host bits set": {
			strings.Replace(validBGPSettings, "10.1.0.1/32", "10.1.0.1/24", 1),
			[]string{"/bgp: field prefixes: 10.1.0.1/24"},
		},
		"router ID that is an IPv6 address": {
			strings.Replace(validBGPSettings, `"router_id":"10.0.0.1"`, `"router_id":"::1"`, 1),
			[]string{"/bgp/router_id: "},
		},
	}
}

// The error has a line for each fault, with the pointer of the field and what is allowed there.
func TestInvalidSettings(t *testing.T) {
	if _, err := Parse([]byte(validBGPSettings)); err != nil {
		t.Fatal(err)
	}
	for name, test := range invalidSettingsCases() {
		settings, err := Parse([]byte(test.text))
		if err == nil {
			t.Errorf("%s: accepted as %+v", name, settings)
			continue
		}
		for _, want := range test.want {
			if !strings.Contains(err.Error(), want) {
				t.Errorf("%s: expected %q in the error %q", name, want, err)
			}
		}
	}
	path := filepath.Join(t.TempDir(), "own.json")
	if err := os.WriteFile(path, []byte(`{"x":1,"flightsql":{}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := Read(path)
	for line := range strings.Lines(err.Error()) {
		if !strings.HasPrefix(line, path+": /") {
			t.Errorf("expected a line that begins with the file and a pointer, found %q", line)
		}
	}
}
