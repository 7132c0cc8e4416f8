package mysql

import (
	"fmt"
	"strings"

	"windflow/internal/router"
)

// handleCommand handles a command of a client that has logged in.
func (s *session) handleCommand(command byte, body []byte) {
	switch command {
	case comQuit:
		s.close()
	case comPing:
		s.counters.Pings++
		s.writeOK()
	case comResetConnection:
		s.writeOK()
	case comInitDB:
		if string(body) != database {
			s.writeError(errUnknownDatabase, fmt.Sprintf("unknown database %q", body))
			return
		}
		s.writeOK()
	case comStatistics:
		s.writeStatistics()
	case comQuery:
		s.handleQuery(string(body))
	default:
		s.writeError(errUnknownCommand, fmt.Sprintf("unknown command %d", command))
	}
}

// writeStatistics answers COM_STATISTICS with the rows of SHOW STATUS in one string.
func (s *session) writeStatistics() {
	w := packetWriter{seq: s.seq}
	w.begin()
	for _, row := range s.front.status() {
		w.buffer = fmt.Appendf(w.buffer, "%s: %s  ", row[0], row[1])
	}
	w.end()
	_ = s.conn.Write(w.buffer)
}

// handleQuery submits a query that starts with a comment with fields to the core, and answers any other itself. A
// malformed request is answered with error 1064.
func (s *session) handleQuery(text string) {
	fields, statement, found, err := parseFields(text)
	if err == nil && !found {
		statement := strings.TrimRight(strings.TrimSpace(text), "; \t\r\n")
		(&builtinStatement{session: s, front: s.front, words: strings.Fields(statement)}).run()
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

// submit submits a request to the core. The session is marked busy before the call, because the core may answer within
// it.
func (s *session) submit(fields map[string]string, statement string) error {
	field := func(name string) string { return fields[name] }
	request, err := router.NewRequest(field, statement, s.lastDataMS)
	if err != nil {
		return err
	}
	if s.conn.PeerClosed() { // its client has left: nothing may begin for it any more
		s.close()
		return nil
	}
	s.busy = true
	s.handle, err = s.core.Submit(request, s)
	return err
}
