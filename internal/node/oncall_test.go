package node

import (
	"go/token"
	"os"
	"strings"
	"testing"
)

// Each message that the router logs at level Info or above is on the on-call page or one of the pages that it refers
// to, for operators who look it up. Records contain the same messages as events. Guards against log messages that are
// not documented.
func TestOnCallPagesHaveEachLogLine(t *testing.T) {
	var pages strings.Builder
	for _, name := range []string{"on-call.md", "operating.md", "records.md"} {
		text, err := os.ReadFile("../../docs/" + name)
		if err != nil {
			t.Fatal(err)
		}
		pages.Write(text)
	}
	lines := 0
	forEachLogCall(t, func(at token.Position, call logCall) {
		lines++
		if !strings.Contains(pages.String(), "`"+call.text+"`") {
			t.Errorf("%s: log message %q is on none of the pages", at, call.text)
		}
	})
	if lines < 30 {
		t.Errorf("found %d log calls in the sources, want at least 30", lines)
	}
}
