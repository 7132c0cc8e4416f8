package capacity

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
)

// SimulatedDay has the figures of a day that a test simulated for a fleet of one size.
type SimulatedDay struct {
	Name       string             `json:"name"` // unique in the file; rows refer to it
	Routers    int                `json:"routers"`
	Engines    int                `json:"engines"`
	Zones      int                `json:"zones"`
	Figures    map[string]float64 `json:"figures"`
	Conditions string             `json:"conditions"`
	Test       string             `json:"test"`
}

// ParseSimulatedDays reads the text of scale.json, a list of days. It returns an error if a day lacks a field, has an
// unknown or invalid one, or has the name of another day. The error names the index in the list, the day and the field.
func ParseSimulatedDays(text []byte) ([]SimulatedDay, error) {
	var items []json.RawMessage
	if err := json.Unmarshal(text, &items); err != nil {
		return nil, fmt.Errorf("scales: %w", err)
	}
	var days []SimulatedDay
	for i, item := range items {
		var parsed SimulatedDay
		var named struct{ Name any }
		_ = json.Unmarshal(item, &named) // only for the error message; decodeObject reports the errors of the item
		err := decodeObject(item, map[string]any{
			"name": &parsed.Name, "routers": &parsed.Routers, "engines": &parsed.Engines, "zones": &parsed.Zones,
			"figures": &parsed.Figures, "conditions": &parsed.Conditions, "test": &parsed.Test,
		})
		switch {
		case err != nil:
		case parsed.Name == "" || parsed.Test == "" || parsed.Conditions == "":
			err = fmt.Errorf("name, conditions or test: is empty")
		case parsed.Routers < 1 || parsed.Engines < 1 || parsed.Zones < 1:
			err = fmt.Errorf("routers, engines or zones: is below 1")
		case len(parsed.Figures) == 0:
			err = fmt.Errorf("figures: is empty")
		case slices.ContainsFunc(days, func(o SimulatedDay) bool { return o.Name == parsed.Name }):
			err = fmt.Errorf("name: is a duplicate")
		}
		if err != nil {
			return nil, fmt.Errorf("scales[%d] %q: %w", i, fmt.Sprint(named.Name), err)
		}
		days = append(days, parsed)
	}
	return days, nil
}

// FormatSimulatedDays returns the text of scale.json, with the days sorted by name. It returns an error for days that
// ParseSimulatedDays rejects.
func FormatSimulatedDays(days []SimulatedDay) ([]byte, error) {
	days = slices.SortedFunc(slices.Values(days), func(a, b SimulatedDay) int { return cmp.Compare(a.Name, b.Name) })
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(days); err != nil {
		return nil, fmt.Errorf("scales: %w", err)
	}
	if _, err := ParseSimulatedDays(out.Bytes()); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// MergeSimulatedDays returns the old days with the updates added; an update replaces the old day of the same name.
func MergeSimulatedDays(old, updates []SimulatedDay) []SimulatedDay {
	merged := slices.DeleteFunc(slices.Clone(old), func(s SimulatedDay) bool {
		return slices.ContainsFunc(updates, func(f SimulatedDay) bool { return f.Name == s.Name })
	})
	return append(merged, updates...)
}
