package mysql

import (
	"fmt"
	"strconv"
	"strings"

	"windflow/internal/router"
)

func (s *session) command(com byte, body []byte) {
	switch com {
	case comQuit:
		s.end()
	case comPing:
		s.front.Counters.Pings++
		s.ok()
	case comResetConn:
		s.ok()
	case comInitDB:
		if string(body) != database {
			s.fail(errUnknownDB, fmt.Sprintf("unknown database %q", body))
			return
		}
		s.ok()
	case comStatistics:
		w := writer{seq: s.seq}
		w.begin()
		for _, kv := range s.front.status() {
			w.b = fmt.Appendf(w.b, "%s: %s  ", kv[0], kv[1])
		}
		w.end()
		_ = s.conn.Write(w.b)
	case comQuery:
		s.query(string(body))
	default:
		s.fail(errUnknownCom, fmt.Sprintf("unknown command %d", com))
	}
}

// query takes a request, or one of the few statements that clients send without fields.
func (s *session) query(text string) {
	fields, statement, found, err := parseFields(text)
	if err == nil && !found {
		s.plain(strings.TrimRight(strings.TrimSpace(text), "; \t\r\n"))
		return
	}
	var r *router.Request
	if err == nil {
		r, err = router.NewRequest(func(name string) string { return fields[name] }, statement, s.at)
	}
	if err != nil {
		s.front.Counters.BadFields++
		s.fail(errParse, err.Error())
		return
	}
	s.busy = true
	if s.handle, err = s.front.core.Submit(r, s); err != nil {
		s.busy = false
		s.front.Counters.BadFields++
		s.fail(errParse, err.Error())
	}
}

// plain answers statements that carry no fields and reach no engine.
func (s *session) plain(text string) {
	words := strings.Fields(text)
	switch {
	case len(words) >= 2 && strings.EqualFold(words[0], "KILL"):
		s.kill(words)
	case len(words) == 2 && strings.EqualFold(words[0], "USE") && strings.Trim(words[1], "`") == database,
		len(words) > 1 && strings.EqualFold(words[0], "SET"):
		s.ok()
	case len(words) >= 2 && strings.EqualFold(words[0], "SHOW") && strings.EqualFold(words[len(words)-1], "STATUS"):
		r := &router.Result{Columns: []string{"Variable_name", "Value"}}
		for _, kv := range s.front.status() {
			r.Cells = append(r.Cells, router.Cell{Text: kv[0]}, router.Cell{Text: kv[1]})
		}
		s.Served(r)
	case len(words) > 1 && strings.EqualFold(words[0], "SELECT") && s.about(text):
	default:
		s.fail(errParse, "no fields: a query starts with /* method=CLASS,rid=ID,budget=MS */")
	}
}

// about answers what stock clients ask of a server when they connect, and the id that KILL takes. It says no to
// a SELECT that asks for anything else.
func (s *session) about(text string) bool {
	list := strings.ToLower(strings.Join(strings.Fields(text)[1:], " "))
	r := &router.Result{}
	const most = 16 // a long list would make a far longer answer
	items := strings.Split(strings.TrimSuffix(list, " limit 1"), ",")
	if len(items) > most {
		return false
	}
	for _, item := range items {
		item = strings.TrimSpace(item)
		value, ok := map[string]string{
			"version()": serverVersion, "@@version": serverVersion, "@@version_comment": "windflow query router",
			"connection_id()": strconv.FormatUint(uint64(s.id), 10), "@@max_allowed_packet": strconv.Itoa(maxPacket),
			"database()": database, "schema()": database, "user()": user + "@%", "current_user()": user + "@%",
		}[item]
		if !ok {
			return false
		}
		r.Columns = append(r.Columns, item)
		r.Cells = append(r.Cells, router.Cell{Text: value})
	}
	s.Served(r)
	return true
}

// kill ends the open query of another session: KILL QUERY id. Its client waits no longer, so the module is
// told that no answer is owed; the session itself stays usable.
func (s *session) kill(words []string) {
	id, err := strconv.ParseUint(words[len(words)-1], 10, 32)
	if err != nil || len(words) > 3 {
		s.fail(errParse, "KILL takes QUERY or CONNECTION and a connection id")
		return
	}
	s.front.Counters.Kills++
	query := strings.EqualFold(words[1], "QUERY")
	f := s.front
	if !f.Kill(uint32(id), query) && (uint32(id)>>idBits == f.base>>idBits || f.RemoteKill == nil || !f.RemoteKill(uint32(id), query)) {
		s.fail(errNoSuchThread, fmt.Sprintf("unknown thread id: %d", id))
		return
	}
	s.ok()
}
