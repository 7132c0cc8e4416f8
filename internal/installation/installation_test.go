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

func TestReadExample(t *testing.T) {
	settings, err := Read("../../deploy/windflow.json")
	if err != nil {
		t.Fatal(err)
	}
	if settings.FlightSQL == nil || settings.BGP == nil || settings.BGP.HoldTimeS != 90 ||
		settings.BGP.Prefixes[0].String() != "127.0.0.1/32" ||
		settings.Keepers == nil || len(settings.Keepers.Addresses) != 3 || settings.Keepers.MaxPollWaitMS != 2000 {
		t.Errorf("%+v", settings)
	}
}

func TestDefaultsAndAbsentSections(t *testing.T) {
	settings, err := Parse([]byte(`{"flightsql":{"listen":"127.0.0.1:1"}}`))
	if err != nil {
		t.Fatal(err)
	}
	want := &Settings{FlightSQL: &flightsql.Config{Listen: "127.0.0.1:1", MaxConnections: 32}}
	if diff := cmp.Diff(want, settings, cmpopts.EquateEmpty()); diff != "" {
		t.Error(diff)
	}
}

// validBGPSettings is a file with a valid section.
const validBGPSettings = `{"bgp":{"peer":"127.0.0.1:179","peer_as":1,"local_as":2,"router_id":"10.0.0.1",` +
	`"prefixes":["10.1.0.1/32"],"next_hop":"10.0.0.1"}}`

// invalidSettingsCase is the text of a file that is rejected, and parts of the error.
type invalidSettingsCase struct {
	text string
	want []string
}

func invalidSettingsCases() map[string]invalidSettingsCase {
	return map[string]invalidSettingsCase{
		"no JSON":        {"{\n\"bgp\": {\n}", []string{"not valid JSON"}},
		"two texts":      {"{} {}", []string{"not valid JSON"}},
		"a list":         {"[]", []string{"/: ", "object"}},
		"a null section": {`{"bgp":null}`, []string{"/bgp: ", "object"}},
		"a fraction": {
			`{"flightsql":{"listen":"a:1","max_connections":1.5}}`,
			[]string{"/flightsql/max_connections: "},
		},
		"no prefixes": {strings.Replace(validBGPSettings, `["10.1.0.1/32"]`, "[]", 1), []string{"/bgp/prefixes: "}},
		"a section": {
			`{"flight":{}}`,
			[]string{"/: unknown field flight; known are $schema, bgp, flightsql, keepers, records"},
		},
		"a field": {
			`{"flightsql":{"listen":"a:1","max":3}}`,
			[]string{"/flightsql: unknown field max; known are engine_kinds, listen, max_connections"},
		},
		"a missing field": {`{"flightsql":{}}`, []string{"/flightsql: missing: listen"}},
		"a range": {
			`{"flightsql":{"listen":"a:1","max_connections":9999}}`,
			[]string{"/flightsql/max_connections: maximum: 9999 is greater than 4096 (", "Connections taken at once"},
		},
		"a type": {`{"flightsql":{"listen":5}}`, []string{"/flightsql/listen: ", "string", "address:port"}},
		"an item": {
			`{"flightsql":{"listen":"a:1","engine_kinds":["x",""]}}`,
			[]string{"/flightsql/engine_kinds/1: "},
		},
		"two faults": {
			`{"flightsql":{"listen":5,"max_connections":0}}`,
			[]string{"/flightsql/listen: ", "\n/flightsql/max_connections: "},
		},
		"a hold time": {
			strings.Replace(validBGPSettings, `"peer_as"`, `"hold_time_s":2,"peer_as"`, 1),
			[]string{"/bgp/hold_time_s: ", "0 for never, or 3 and more"},
		},
		"no keepers": {`{"keepers":{"addresses":[],"dir":"/x"}}`, []string{"/keepers/addresses: "}},
		"a keeper":   {`{"keepers":{"addresses":["here"],"dir":"/x"}}`, []string{"/keepers/addresses/0: "}},
		"a long hold": {
			`{"keepers":{"addresses":["a:1"],"dir":"/x","hold_ms":9000}}`,
			[]string{"/keepers/hold_ms: ", "2500"},
		},
		"host bits": {
			strings.Replace(validBGPSettings, "10.1.0.1/32", "10.1.0.1/24", 1),
			[]string{"/bgp: field prefixes: 10.1.0.1/24"},
		},
		"an IPv6 address": {
			strings.Replace(validBGPSettings, `"router_id":"10.0.0.1"`, `"router_id":"::1"`, 1),
			[]string{"/bgp/router_id: "},
		},
	}
}

// Each fault is reported with its pointer and what is allowed there.
func TestInvalidSettings(t *testing.T) {
	if _, err := Parse([]byte(validBGPSettings)); err != nil {
		t.Fatal(err)
	}
	for name, test := range invalidSettingsCases() {
		settings, err := Parse([]byte(test.text))
		if err == nil {
			t.Errorf("%s: taken as %+v", name, settings)
			continue
		}
		for _, want := range test.want {
			if !strings.Contains(err.Error(), want) {
				t.Errorf("%s: %q is not in %q", name, want, err)
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
			t.Errorf("a line without its file: %q", line)
		}
	}
}
