package capacity

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
)

// Scale is what a day played at one size gave.
type Scale struct {
	Name       string             `json:"name"` // of the day, unique in the file; what rows refer to
	Routers    int                `json:"routers"`
	Engines    int                `json:"engines"`
	Zones      int                `json:"zones"`
	Figures    map[string]float64 `json:"figures"`
	Conditions string             `json:"conditions"`
	Test       string             `json:"test"`
}

// ParseScales reads the text of scale.json: a list of days with all fields and no others, names unique. An error names the
// place in the list, the day and the field.
func ParseScales(text []byte) ([]Scale, error) {
	var items []json.RawMessage
	if err := json.Unmarshal(text, &items); err != nil {
		return nil, fmt.Errorf("scales: %w", err)
	}
	var out []Scale
	for i, item := range items {
		var s Scale
		var named struct{ Name any }
		_ = json.Unmarshal(item, &named) // for the place alone: what is wrong with the item is said below
		err := decodeObject(item, map[string]any{
			"name": &s.Name, "routers": &s.Routers, "engines": &s.Engines, "zones": &s.Zones,
			"figures": &s.Figures, "conditions": &s.Conditions, "test": &s.Test,
		})
		switch {
		case err != nil:
		case s.Name == "" || s.Test == "" || s.Conditions == "":
			err = fmt.Errorf("name, conditions or test: is empty")
		case s.Routers < 1 || s.Engines < 1 || s.Zones < 1:
			err = fmt.Errorf("routers, engines or zones: is below 1")
		case len(s.Figures) == 0:
			err = fmt.Errorf("figures: are none")
		case slices.ContainsFunc(out, func(o Scale) bool { return o.Name == s.Name }):
			err = fmt.Errorf("name: is there twice")
		}
		if err != nil {
			return nil, fmt.Errorf("scales[%d] %q: %w", i, fmt.Sprint(named.Name), err)
		}
		out = append(out, s)
	}
	return out, nil
}

// FormatScales is the text of scale.json, sorted by name. Days that ParseScales would not take are an error.
func FormatScales(scales []Scale) ([]byte, error) {
	scales = slices.SortedFunc(slices.Values(scales), func(a, b Scale) int { return cmp.Compare(a.Name, b.Name) })
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	if err := enc.Encode(scales); err != nil {
		return nil, fmt.Errorf("scales: %w", err)
	}
	if _, err := ParseScales(out.Bytes()); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// MergeScales puts fresh days in the place of those with their names, and beside the others.
func MergeScales(old, fresh []Scale) []Scale {
	out := slices.DeleteFunc(slices.Clone(old), func(s Scale) bool {
		return slices.ContainsFunc(fresh, func(f Scale) bool { return f.Name == s.Name })
	})
	return append(out, fresh...)
}
