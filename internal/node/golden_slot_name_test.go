package node

import (
	"fmt"
	"strings"
	"testing"

	"windflow/dispatch"
	"windflow/internal/golden"
	"windflow/internal/settings"
)

// The processes of a router find each other by a name that is derived from its settings, and store a cordon under the
// engine's id as text. Both equal the golden file, since a hot restart may be between two builds.
func TestGoldenSlotNameAndCordons(t *testing.T) {
	var got strings.Builder
	fmt.Fprintf(&got, "meeting %q\n", slotName(&settings.Node{Name: "n0", Listen: "127.0.0.1:3306"}))
	for _, id := range []dispatch.EngineID{0, 2, 0xc41f7a, 0xffffffff} {
		text := settings.FormatEngineID(id)
		fmt.Fprintf(&got, "ban of %d %q\n", id, text)
		if back, err := settings.ParseEngineID(text); err != nil || back != id {
			t.Errorf("%q is parsed as %d, error %v", text, back, err)
		}
	}
	golden.Equal(t, "meeting.txt", []byte(got.String()))
}
