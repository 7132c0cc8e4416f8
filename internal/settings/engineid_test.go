package settings

import (
	"testing"

	"windflow/dispatch"
)

// Formatting and parsing an engine's ID are inverse, and any other text is rejected.
func TestEngineID(t *testing.T) {
	for text, id := range map[string]dispatch.EngineID{
		"s-00000000": 0, "s-00c41f7a": 0x00c41f7a, "s-ffffffff": 0xffffffff,
	} {
		if got := FormatEngineID(id); got != text {
			t.Errorf("ID %d is formatted as %q, want %q", id, got, text)
		}
		if got, err := ParseEngineID(text); err != nil || got != id {
			t.Errorf("%q is parsed as %d, error %v, want %d", text, got, err, id)
		}
	}
	for _, text := range []string{"", "00c41f7a", "s-c41f7a", "s-000c41f7a", "s-00c41f7g", "e-00c41f7a", "s-+0c41f7a"} {
		if got, err := ParseEngineID(text); err == nil {
			t.Errorf("%q is parsed as %d, want an error", text, got)
		}
	}
}
