package node

import (
	"go/token"
	"os"
	"strings"
	"testing"
)

// Each line that the router may log, from Info up, is on the on-call page or on the page that it leads to;
// records have the same lines as events. It guards against a page that says less than the program.
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
			t.Errorf("%s: %q is on no page", at, call.text)
		}
	})
	if lines < 30 {
		t.Error(lines, "lines")
	}
}
