package mysql

import (
	"fmt"
	"strconv"
	"strings"

	"windflow/internal/router"
)

// maxVariables bounds the variables of one SELECT: a long list would make a far longer answer.
const maxVariables = 16

// builtin is a statement without fields. The front answers it itself; it reaches no engine.
type builtinStatement struct {
	session *session
	front   *Front
	fields  []string
}

// run answers the statement.
func (b *builtinStatement) run() {
	switch {
	case b.isVerb("KILL"):
		b.kill()
	case b.isVerb("USE") && len(b.fields) == 2 && strings.Trim(b.fields[1], "`") == database, b.isVerb("SET"):
		b.session.writeOK()
	case b.isVerb("SHOW") && strings.EqualFold(b.fields[len(b.fields)-1], "STATUS"):
		b.showStatus()
	case b.isVerb("SELECT") && b.selectVariables():
	default:
		b.session.writeError(errParse, "no fields: a query starts with /* method=CLASS,rid=ID,budget=MS */")
	}
}

// isVerb reports whether the statement starts with the verb and has further fields.
func (b *builtinStatement) isVerb(verb string) bool {
	return len(b.fields) > 1 && strings.EqualFold(b.fields[0], verb)
}

// showStatus answers SHOW STATUS.
func (b *builtinStatement) showStatus() {
	result := &router.Result{Columns: []string{"Variable_name", "Value"}}
	for _, row := range b.front.status() {
		result.Cells = append(result.Cells, router.Cell{Text: row[0]}, router.Cell{Text: row[1]})
	}
	b.session.Served(result)
}

// selectVariables answers a SELECT of what stock clients request of a server when they connect, and of the id that KILL
// takes. It reports false, without an answer, for any other SELECT.
func (b *builtinStatement) selectVariables() bool {
	list := strings.ToLower(strings.Join(b.fields[1:], " "))
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

// variable returns the value that a variable or function, by its name in lower case, has in a session.
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

// kill ends the open query of another session, or that session: KILL [QUERY|CONNECTION] id. After KILL QUERY the
// session stays usable.
func (b *builtinStatement) kill() {
	id, err := strconv.ParseUint(b.fields[len(b.fields)-1], 10, 32)
	if err != nil || len(b.fields) > 3 {
		b.session.writeError(errParse, "KILL takes QUERY or CONNECTION and a connection id")
		return
	}
	b.session.counters.Kills++
	if !b.front.killAnywhere(uint32(id), strings.EqualFold(b.fields[1], "QUERY")) {
		b.session.writeError(errNoSuchThread, fmt.Sprintf("unknown thread id: %d", id))
		return
	}
	b.session.writeOK()
}
