package mysql

import (
	"fmt"

	"windflow/internal/router"
)

// Served implements router.ResponseHandler. It sends the rows as a text result set.
func (s *session) Served(result *router.Result) {
	w := packetWriter{seq: s.seq}
	w.result(result)
	s.writeAnswer(w.buffer)
}

// Rejected implements router.ResponseHandler. It sends error 1040, which tells the client that a retry is safe.
func (s *session) Rejected(backoffMS float64) {
	w := packetWriter{seq: s.seq}
	text := "refused, nothing was done; try again later"
	if backoffMS > 0 { // it is 0 where the settings forbid retry advice
		text += fmt.Sprintf(": backoff=%.0f", backoffMS)
	}
	w.err(errTooManyConnections, text)
	s.writeAnswer(w.buffer)
}

// Failed implements router.ResponseHandler. It sends error 3024 after a deadline and error 1105 otherwise.
func (s *session) Failed(reason router.Reason) {
	w := packetWriter{seq: s.seq}
	switch reason {
	case router.ReasonDeadline:
		w.err(errTimeout, "the time for the query ran out")
	case router.ReasonEngine:
		w.err(errUnknown, "the query failed; it may have run")
	}
	s.writeAnswer(w.buffer)
}

// writeAnswer writes the answer to the current command. It then handles the packets that the client sent ahead of the
// answer or, while the front drains, closes a session that has none.
func (s *session) writeAnswer(packets []byte) {
	wasBusy := s.busy
	s.busy, s.waitingSinceMS = false, s.loop.Now()
	_ = s.conn.Write(packets)
	switch {
	case wasBusy && len(s.buffer) > 0:
		s.loop.Post(s.processBuffer)
	case wasBusy && s.front.draining && !s.conn.HasUnread():
		s.close()
	}
}

func (s *session) writeOK() {
	w := packetWriter{seq: s.seq}
	w.ok()
	_ = s.conn.Write(w.buffer)
}

func (s *session) writeError(code int, text string) {
	w := packetWriter{seq: s.seq}
	w.err(code, text)
	_ = s.conn.Write(w.buffer)
}
