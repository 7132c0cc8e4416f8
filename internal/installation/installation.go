package installation

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"windflow/internal/bgp"
	"windflow/internal/configclient"
	"windflow/internal/flightsql"
	"windflow/internal/record"
)

// Settings has the sections of the file. An absent section is nil.
type Settings struct {
	FlightSQL *flightsql.Config    `json:"flightsql"`
	BGP       *bgp.Config          `json:"bgp"`
	Records   *record.Config       `json:"records"`
	Keepers   *configclient.Config `json:"keepers"`
}

// Defaults of optional fields.
const (
	defaultMaxConnections      = 32
	defaultHoldTimeSeconds     = 90
	defaultConnectRetrySeconds = 5
)

//go:embed windflow.schema.json
var schemaJSON []byte

// Schema returns the JSON Schema (draft 2020-12) of the file. google/jsonschema-go validates against it:
// santhosh-tekuri's library supports more drafts but compiles the metaschemas of all of them at startup, which made an
// idle router 4 MB larger.
func Schema() []byte { return schemaJSON }

// Read reads and validates a settings file. The error for invalid content has a line for each fault, with the path of
// the file, the JSON pointer (RFC 6901) of the field, and what is allowed there.
func Read(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	settings, err := Parse(text)
	if err != nil {
		var lines []string
		for line := range strings.Lines(err.Error()) {
			lines = append(lines, path+": "+strings.TrimSuffix(line, "\n"))
		}
		return nil, errors.New(strings.Join(lines, "\n"))
	}
	return settings, nil
}

// Parse validates the text of a settings file and decodes it. Absent optional fields have their default values.
func Parse(text []byte) (*Settings, error) {
	document, err := parseJSON(text)
	if err != nil {
		return nil, err
	}
	if err := validateDocument(document); err != nil {
		return nil, err
	}
	sections, _ := document.(map[string]any)
	settings := defaultSettings(sections)
	if err := json.Unmarshal(text, settings); err != nil {
		return nil, err
	}
	// The schema cannot express the rules of Check.
	if settings.BGP != nil {
		if err := settings.BGP.Check(); err != nil {
			return nil, fmt.Errorf("/bgp: %w", err)
		}
	}
	return settings, nil
}

// parseJSON decodes a document into any with encoding/json. The error for invalid syntax has the number of the line.
func parseJSON(text []byte) (any, error) {
	var document any
	err := json.Unmarshal(text, &document)
	if err == nil {
		return document, nil
	}
	var syntaxError *json.SyntaxError
	if errors.As(err, &syntaxError) {
		line := 1 + bytes.Count(text[:min(int(syntaxError.Offset), len(text))], []byte("\n"))
		return nil, fmt.Errorf("line %d: not valid JSON: %w", line, err)
	}
	return nil, fmt.Errorf("not valid JSON: %w", err)
}

// defaultSettings returns the default values of the sections that a document has. Its other sections are nil.
func defaultSettings(sections map[string]any) *Settings {
	settings := &Settings{}
	if sections["flightsql"] != nil {
		settings.FlightSQL = &flightsql.Config{MaxConnections: defaultMaxConnections}
	}
	if sections["bgp"] != nil {
		settings.BGP = &bgp.Config{HoldTimeS: defaultHoldTimeSeconds, ConnectRetryS: defaultConnectRetrySeconds}
	}
	if sections["records"] != nil {
		defaults := record.DefaultConfig
		settings.Records = &defaults
	}
	if sections["keepers"] != nil {
		settings.Keepers = &configclient.Config{MaxPollWaitMS: configclient.DefaultMaxPollWaitMS}
	}
	return settings
}
