package mysql

import (
	"fmt"
	"strconv"
	"strings"

	"windflow/internal/router"
)

// maxVariables bounds the variables that one SELECT may request, because the answer is far longer than the list.
const maxVariables = 16

// builtinStatement is a statement that does not start with a comment with fields. The front answers it; no engine runs
// it.
type builtinStatement struct {
	session *session
	front   *Front
	words   []string
}

// run answers the statement, with an error if it is not one that the front supports.
func (b *builtinStatement) run() {
	switch {
	case b.hasVerb("KILL"):
		b.kill()
	case b.hasVerb("USE") && len(b.words) == 2 && strings.Trim(b.words[1], "`") == database, b.hasVerb("SET"):
		b.session.writeOK()
	case b.hasVerb("SHOW") && strings.EqualFold(b.words[len(b.words)-1], "STATUS"):
		b.showStatus()
	case b.hasVerb("SELECT") && b.selectVariables():
	default:
		b.session.writeError(errParse, "no fields: a query starts with /* method=CLASS,rid=ID,budget=MS */")
	}
}

// hasVerb reports whether the statement starts with the verb, in any letter case, and has further words.
func (b *builtinStatement) hasVerb(verb string) bool {
	return len(b.words) > 1 && strings.EqualFold(b.words[0], verb)
}

// showStatus answers SHOW STATUS with one row for each status variable.
func (b *builtinStatement) showStatus() {
	result := &router.Result{Columns: []string{"Variable_name", "Value"}}
	for _, row := range b.front.status() {
		result.Cells = append(result.Cells, router.Cell{Text: row[0]}, router.Cell{Text: row[1]})
	}
	b.session.Served(result)
}

// selectVariables answers a SELECT of the variables and functions that common clients request when they connect, and of
// the connection id that KILL takes. For any other SELECT it returns false and writes no answer.
func (b *builtinStatement) selectVariables() bool {
	list := strings.ToLower(strings.Join(b.words[1:], " "))
	names := strings.Split(strings.TrimSuffix(list, " limit 1"), ",")
	if len(names) > maxVariables {
		return false
	}
	result := &router.Result{}
	for _, name := range names {
		name = strings.TrimSpace(name)
		value, ok := variable(name, b.session.id)
		if !ok {
			return false
		}
		result.Columns = append(result.Columns, name)
		result.Cells = append(result.Cells, router.Cell{Text: value})
	}
	b.session.Served(result)
	return true
}

// variable returns the value of a variable or function in a session. The name is in lower case; ok is false for an
// unknown name.
func variable(name string, sessionID uint32) (value string, ok bool) {
	switch name {
	case "version()", "@@version":
		return serverVersion, true
	case "@@version_comment":
		return versionComment, true
	case "connection_id()":
		return strconv.FormatUint(uint64(sessionID), 10), true
	case "@@max_allowed_packet":
		return strconv.Itoa(maxPacket), true
	case "database()", "schema()":
		return database, true
	case "user()", "current_user()":
		return user + "@%", true
	}
	return "", false
}

// kill runs KILL [QUERY|CONNECTION] id: it interrupts the query of another session and, unless QUERY is given, closes
// that session.
func (b *builtinStatement) kill() {
	id, err := strconv.ParseUint(b.words[len(b.words)-1], 10, 32)
	if err != nil || len(b.words) > 3 {
		b.session.writeError(errParse, "malformed KILL: expected KILL [QUERY|CONNECTION] and a connection id")
		return
	}
	b.session.counters.Kills++
	if !b.front.killAnywhere(uint32(id), strings.EqualFold(b.words[1], "QUERY")) {
		b.session.writeError(errNoSuchThread, fmt.Sprintf("unknown thread id: %d", id))
		return
	}
	b.session.writeOK()
}
