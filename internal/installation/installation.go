// Package installation holds the settings of an installation that are no matter of the platform's: one JSON file, such as
// deploy/windflow.json, with a section for each part of the program. A part without its section is off.
package installation

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"regexp"
	"slices"
	"strings"

	"github.com/google/jsonschema-go/jsonschema"

	"windflow/internal/bgp"
	"windflow/internal/configclient"
	"windflow/internal/flightsql"
	"windflow/internal/record"
)

// Settings are what the file holds; a section that is not there is nil.
type Settings struct {
	FlightSQL *flightsql.Config    `json:"flightsql"`
	BGP       *bgp.Config          `json:"bgp"`
	Records   *record.Config       `json:"records"`
	Keepers   *configclient.Config `json:"keepers"`
}

//go:embed windflow.schema.json
var schema []byte

// Schema is the JSON Schema (draft 2020-12) of the file. google/jsonschema-go checks it: santhosh-tekuri's, which knows more
// of the drafts, compiles all of their metaschemas as the program starts, which left an idle router 4 MB larger.
func Schema() []byte { return schema }

// Read reads a file. Its error has a line for each fault, which names the file, the place in it as a JSON pointer (RFC
// 6901), and what is allowed there.
func Read(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s, err := Parse(text)
	if err != nil {
		var lines []string
		for line := range strings.Lines(err.Error()) {
			lines = append(lines, path+": "+strings.TrimSuffix(line, "\n"))
		}
		return nil, errors.New(strings.Join(lines, "\n"))
	}
	return s, nil
}

// Parse reads the text of such a file.
func Parse(text []byte) (*Settings, error) {
	var doc any
	if err := json.Unmarshal(text, &doc); err != nil {
		var se *json.SyntaxError
		if errors.As(err, &se) {
			line := 1 + bytes.Count(text[:min(int(se.Offset), len(text))], []byte("\n"))
			return nil, fmt.Errorf("line %d: not valid JSON: %w", line, err)
		}
		return nil, fmt.Errorf("not valid JSON: %w", err)
	}
	form := &jsonschema.Schema{}
	if err := json.Unmarshal(schema, form); err != nil {
		return nil, err
	}
	if lines := faults(form, "", doc); len(lines) > 0 {
		return nil, errors.New(strings.Join(lines, "\n"))
	}
	s := &Settings{}
	sections, _ := doc.(map[string]any)
	if sections["flightsql"] != nil {
		s.FlightSQL = &flightsql.Config{MaxConnections: 32}
	}
	if sections["bgp"] != nil {
		s.BGP = &bgp.Config{HoldTimeS: 90, ConnectRetryS: 5}
	}
	if sections["records"] != nil {
		defaults := record.DefaultConfig
		s.Records = &defaults
	}
	if sections["keepers"] != nil {
		s.Keepers = &configclient.Config{MaxPollWaitMS: configclient.DefaultMaxPollWaitMS}
	}
	if err := json.Unmarshal(text, s); err != nil {
		return nil, err
	}
	// What a schema can't say.
	if s.BGP != nil {
		if err := s.BGP.Check(); err != nil {
			return nil, fmt.Errorf("/bgp: %w", err)
		}
	}
	return s, nil
}

// faults checks a value against its schema and gives a line for each fault below it. The library stops at the first one
// and words it by the schema's places; here each place of the file is checked by itself, and named.
func faults(form *jsonschema.Schema, at string, v any) (lines []string) {
	object, isObject := v.(map[string]any)
	list, isList := v.([]any)
	switch {
	case isObject && form.Type == "object":
		for _, name := range form.Required {
			if _, there := object[name]; !there {
				lines = append(lines, fmt.Sprintf("%s: missing: %s", place(at), name))
			}
		}
		for _, name := range slices.Sorted(maps.Keys(object)) {
			below := form.Properties[name]
			if below == nil {
				lines = append(lines, fmt.Sprintf("%s: unknown field %s; known are %s", place(at), name,
					strings.Join(slices.Sorted(maps.Keys(form.Properties)), ", ")))
				continue
			}
			lines = append(lines, faults(below, at+"/"+name, object[name])...)
		}
		return lines
	case isList && form.Items != nil:
		for i, item := range list {
			lines = append(lines, faults(form.Items, fmt.Sprintf("%s/%d", at, i), item)...)
		}
		if len(lines) > 0 {
			return lines
		}
	}
	// Meanings of the schema's own document don't reach a part of it that stands alone.
	resolved, err := form.Resolve(nil)
	if err != nil {
		return []string{fmt.Sprintf("%s: the schema: %v", place(at), err)}
	}
	if err := resolved.Validate(v); err != nil {
		text := strings.ReplaceAll(strings.TrimPrefix(err.Error(), "validating root: "), "\n", " ")
		text = whole.ReplaceAllString(text, "$1")
		if form.Description != "" {
			text += " (" + form.Description + ")"
		}
		lines = append(lines, place(at)+": "+text)
	}
	return lines
}

// whole finds whole numbers that the library words as fractions: 9999/1, 4096.000000.
var whole = regexp.MustCompile(`\b([0-9]+)(?:/1|[.]0+)\b`)

func place(at string) string {
	if at == "" {
		return "/"
	}
	return at
}
