package mysql

import (
	"fmt"
	"strconv"
	"strings"

	"windflow/internal/router"
)

// maxVariables bounds the variables of one SELECT: a long list would make a far longer answer.
const maxVariables = 16

// handleCommand handles a command of a client that is logged in.
func (s *session) handleCommand(command byte, body []byte) {
	switch command {
	case comQuit:
		s.end()
	case comPing:
		s.counters.Pings++
		s.writeOK()
	case comResetConn:
		s.writeOK()
	case comInitDB:
		if string(body) != database {
			s.writeError(errUnknownDB, fmt.Sprintf("unknown database %q", body))
			return
		}
		s.writeOK()
	case comStatistics:
		s.writeStatistics()
	case comQuery:
		s.handleQuery(string(body))
	default:
		s.writeError(errUnknownCom, fmt.Sprintf("unknown command %d", command))
	}
}

// writeStatistics answers with the rows of SHOW STATUS as one text.
func (s *session) writeStatistics() {
	w := packetWriter{seq: s.seq}
	w.begin()
	for _, row := range s.front.status() {
		w.buffer = fmt.Appendf(w.buffer, "%s: %s  ", row[0], row[1])
	}
	w.end()
	_ = s.conn.Write(w.buffer)
}

// handleQuery submits a request, or answers one of the few statements that clients send without fields.
func (s *session) handleQuery(text string) {
	fields, statement, found, err := parseFields(text)
	if err == nil && !found {
		s.handleStatement(strings.TrimRight(strings.TrimSpace(text), "; \t\r\n"))
		return
	}
	if err == nil {
		err = s.submit(fields, statement)
	}
	if err != nil {
		s.busy = false
		s.counters.BadFields++
		s.writeError(errParse, err.Error())
	}
}

// submit submits a request to the core. The session is busy from before the call, because the core may answer in it.
func (s *session) submit(fields map[string]string, statement string) error {
	field := func(name string) string { return fields[name] }
	request, err := router.NewRequest(field, statement, s.lastDataMS)
	if err != nil {
		return err
	}
	s.busy = true
	s.handle, err = s.core.Submit(request, s)
	return err
}

// handleStatement answers statements that have no fields and reach no engine.
func (s *session) handleStatement(text string) {
	words := strings.Fields(text)
	verb := func(name string) bool { return len(words) > 1 && strings.EqualFold(words[0], name) }
	switch {
	case verb("KILL"):
		s.handleKill(words)
	case verb("USE") && len(words) == 2 && strings.Trim(words[1], "`") == database, verb("SET"):
		s.writeOK()
	case verb("SHOW") && strings.EqualFold(words[len(words)-1], "STATUS"):
		s.answerStatus()
	case verb("SELECT") && s.answerVariables(words[1:]):
	default:
		s.writeError(errParse, "no fields: a query starts with /* method=CLASS,rid=ID,budget=MS */")
	}
}

// answerStatus answers SHOW STATUS.
func (s *session) answerStatus() {
	result := &router.Result{Columns: []string{"Variable_name", "Value"}}
	for _, row := range s.front.status() {
		result.Cells = append(result.Cells, router.Cell{Text: row[0]}, router.Cell{Text: row[1]})
	}
	s.Served(result)
}

// answerVariables answers a SELECT of what stock clients ask of a server when they connect, and of the id that KILL
// takes. It reports false, without an answer, for any other SELECT.
func (s *session) answerVariables(words []string) bool {
	list := strings.ToLower(strings.Join(words, " "))
	names := strings.Split(strings.TrimSuffix(list, " limit 1"), ",")
	if len(names) > maxVariables {
		return false
	}
	result := &router.Result{}
	for _, name := range names {
		name = strings.TrimSpace(name)
		value, ok := s.variable(name)
		if !ok {
			return false
		}
		result.Columns = append(result.Columns, name)
		result.Cells = append(result.Cells, router.Cell{Text: value})
	}
	s.Served(result)
	return true
}

// variable returns the value of a variable or function, by its name in lower case.
func (s *session) variable(name string) (value string, ok bool) {
	switch name {
	case "version()", "@@version":
		return serverVersion, true
	case "@@version_comment":
		return versionComment, true
	case "connection_id()":
		return strconv.FormatUint(uint64(s.id), 10), true
	case "@@max_allowed_packet":
		return strconv.Itoa(maxPacket), true
	case "database()", "schema()":
		return database, true
	case "user()", "current_user()":
		return user + "@%", true
	}
	return "", false
}

// handleKill ends the open query of another session, or that session: KILL [QUERY|CONNECTION] id. After KILL QUERY the
// session stays usable.
func (s *session) handleKill(words []string) {
	id, err := strconv.ParseUint(words[len(words)-1], 10, 32)
	if err != nil || len(words) > 3 {
		s.writeError(errParse, "KILL takes QUERY or CONNECTION and a connection id")
		return
	}
	s.counters.Kills++
	if !s.front.killAnywhere(uint32(id), strings.EqualFold(words[1], "QUERY")) {
		s.writeError(errNoSuchThread, fmt.Sprintf("unknown thread id: %d", id))
		return
	}
	s.writeOK()
}
