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

// Each line that the router logged when the golden file was made is still logged with the same names of its
// attributes, or appears in the table of renamed lines on the on-call page, beside a line that is logged: operators
// look for them, and records have them as events. A new line needs no entry in the golden file.
func TestGoldenLogLines(t *testing.T) {
	current := logLines(t)
	if len(current) < 30 {
		t.Error(len(current), "lines")
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
			t.Errorf("no longer logged: %s", line)
		}
	}
}

// renamedLines reads the on-call page's table of renamed log lines: rows of two lines in backquotes, the former one
// first.
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

// logLines returns the lines from Info up that the sources below internal log, with the names of their attributes,
// sorted.
func logLines(t *testing.T) (lines []string) {
	t.Helper()
	forEachLogCall(t, func(_ token.Position, call logCall) { lines = append(lines, call.line()) })
	slices.Sort(lines)
	return slices.Compact(lines)
}

// logCall is a call of Info, Warn or Error whose text is a literal.
type logCall struct {
	level, text string
	args        []ast.Expr
}

// forEachLogCall calls visit for each such call in the sources below internal.
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

func parseLogCall(n ast.Node) (logCall, bool) {
	call, ok := n.(*ast.CallExpr)
	if !ok || len(call.Args) == 0 {
		return logCall{}, false
	}
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !slices.Contains([]string{"Info", "Warn", "Error"}, method.Sel.Name) {
		return logCall{}, false
	}
	text, ok := literal(call.Args[0])
	return logCall{level: method.Sel.Name, text: text, args: call.Args[1:]}, ok
}

// line writes a call as LEVEL "TEXT" and the names of the attributes that are literals.
func (c logCall) line() string {
	line := c.level + " " + strconv.Quote(c.text)
	for i := 0; i < len(c.args); i += 2 {
		if name, ok := literal(c.args[i]); ok {
			line += " " + name
		}
	}
	return line
}

func literal(e ast.Expr) (string, bool) {
	text, ok := e.(*ast.BasicLit)
	if !ok || text.Kind != token.STRING {
		return "", false
	}
	value, err := strconv.Unquote(text.Value)
	return value, err == nil
}
