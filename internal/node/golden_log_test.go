package node

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"windflow/internal/golden"
)

const goldenLog = "log.txt"

// Each log line in the golden file is still logged with the same attribute keys, or the on-call page lists it as
// renamed to a line that is logged. Operators search for these lines, and records contain them as events. A new line
// needs no entry in the golden file.
func TestGoldenLogLines(t *testing.T) {
	current := logLines(t)
	if len(current) < 30 {
		t.Errorf("found %d log lines in the sources, want at least 30", len(current))
	}
	if golden.Recording(t, goldenLog) {
		golden.Write(t, goldenLog, []byte(strings.Join(current, "\n")+"\n"))
	}
	renamed := renamedLines(t)
	for line := range strings.Lines(string(golden.Read(t, goldenLog))) {
		line = strings.TrimSuffix(line, "\n")
		if replacement, ok := renamed[line]; ok {
			line = replacement
		}
		if !slices.Contains(current, line) {
			t.Errorf("golden log line is no longer logged: %s", line)
		}
	}
}

// renamedLines returns the new log line for each renamed one, from the table on the on-call page. Each row has the old
// and the new line in backquotes.
func renamedLines(t *testing.T) map[string]string {
	t.Helper()
	page, err := os.ReadFile("../../docs/on-call.md")
	if err != nil {
		t.Fatal(err)
	}
	renamed := map[string]string{}
	row := regexp.MustCompile("(?m)^\\| `((?:Info|Warn|Error) [^`]+)` \\| `((?:Info|Warn|Error) [^`]+)` \\|$")
	for _, match := range row.FindAllStringSubmatch(string(page), -1) {
		renamed[match[1]] = match[2]
	}
	return renamed
}

// logLines returns the log lines of level Info and above in the sources below internal, with their attribute keys,
// sorted and without duplicates.
func logLines(t *testing.T) (lines []string) {
	t.Helper()
	forEachLogCall(t, func(_ token.Position, call logCall) { lines = append(lines, call.line()) })
	slices.Sort(lines)
	return slices.Compact(lines)
}

// logCall is a call of Info, Warn or Error whose message is a string literal.
type logCall struct {
	level, text string
	args        []ast.Expr
}

// forEachLogCall calls visit for each log call in the sources below internal, except tests.
func forEachLogCall(t *testing.T, visit func(token.Position, logCall)) {
	t.Helper()
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		set := token.NewFileSet()
		file, err := parser.ParseFile(set, path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if call, ok := parseLogCall(n); ok {
				visit(set.Position(n.Pos()), call)
			}
			return true
		})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// parseLogCall returns the log call that n is, and false if n is none.
func parseLogCall(n ast.Node) (logCall, bool) {
	call, ok := n.(*ast.CallExpr)
	if !ok || len(call.Args) == 0 {
		return logCall{}, false
	}
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !slices.Contains([]string{"Info", "Warn", "Error"}, method.Sel.Name) {
		return logCall{}, false
	}
	text, ok := stringLiteral(call.Args[0])
	return logCall{level: method.Sel.Name, text: text, args: call.Args[1:]}, ok
}

// line formats a call as LEVEL "MESSAGE", followed by the attribute keys that are string literals.
func (c logCall) line() string {
	line := c.level + " " + strconv.Quote(c.text)
	for i := 0; i < len(c.args); i += 2 {
		if name, ok := stringLiteral(c.args[i]); ok {
			line += " " + name
		}
	}
	return line
}

// stringLiteral returns the value of a string literal, and false if e is none.
func stringLiteral(e ast.Expr) (string, bool) {
	text, ok := e.(*ast.BasicLit)
	if !ok || text.Kind != token.STRING {
		return "", false
	}
	value, err := strconv.Unquote(text.Value)
	return value, err == nil
}
