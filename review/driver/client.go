package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// Commands of the MySQL protocol, and marks in its packets.
const (
	comQuery              = 3
	markOK, markEOF       = 0x00, 0xfe
	markError             = 0xff
	maxEOF                = 9
	capabilities          = 0x000fa20d
	maxClientPacket       = 1 << 24
	loginCharset          = 45
	loginFiller           = 23
	greetingVersionOffset = 1
)

// Kinds of final answers.
const (
	answerServed  = "served"
	answerRefused = "refused"
	answerFailed  = "failed"
	answerNone    = "no answer"
)

// answer is what a client got for a query.
type answer struct {
	kind string
	text string // of an error, or the first cell of the first row
	rows int
}

// session is a client's connection to a router, by the MySQL protocol 4.1.
type session struct {
	conn   net.Conn
	reader *bufio.Reader
	id     uint32 // connection id of the greeting
}

// openSession connects and logs in.
func openSession(addr string, timeout time.Duration) (*session, error) {
	conn, err := net.DialTimeout("tcp4", addr, timeout)
	if err != nil {
		return nil, err
	}
	opened := &session{conn: conn, reader: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(timeout))
	if err := opened.login(); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return opened, nil
}

// loginPacket returns the body of a client's login: user app, no password, database warehouse.
func loginPacket() []byte {
	login := binary.LittleEndian.AppendUint32(nil, capabilities)
	login = append(append(login, 0, 0, 0, 1, loginCharset), make([]byte, loginFiller)...)
	return append(login, "app\x00\x00warehouse\x00mysql_native_password\x00"...)
}

func (s *session) login() error {
	greeting, err := s.packet()
	if err != nil {
		return err
	}
	if len(greeting) == 0 || greeting[0] == markError {
		return fmt.Errorf("greeting % x", greeting[:min(len(greeting), 64)])
	}
	end := greetingVersionOffset + strings.IndexByte(string(greeting[greetingVersionOffset:]), 0) + 1
	s.id = binary.LittleEndian.Uint32(greeting[end:])
	if err := s.write(1, loginPacket()); err != nil {
		return err
	}
	reply, err := s.packet()
	if err == nil && (len(reply) == 0 || reply[0] != markOK) {
		err = fmt.Errorf("login answered with % x", reply[:min(len(reply), 64)])
	}
	return err
}

func framed(seq byte, body []byte) []byte {
	return append([]byte{byte(len(body)), byte(len(body) >> 8), byte(len(body) >> 16), seq}, body...)
}

func (s *session) write(seq byte, body []byte) error {
	_, err := s.conn.Write(framed(seq, body))
	return err
}

func (s *session) packet() ([]byte, error) {
	var header [4]byte
	if _, err := io.ReadFull(s.reader, header[:]); err != nil {
		return nil, err
	}
	size := int(header[0]) | int(header[1])<<8 | int(header[2])<<16
	if size >= maxClientPacket-1 {
		return nil, fmt.Errorf("packet of %d bytes", size)
	}
	body := make([]byte, size)
	_, err := io.ReadFull(s.reader, body)
	return body, err
}

// queryText returns a statement with its fields.
func queryText(class, id string, budget time.Duration, group int) string {
	return fmt.Sprintf("/* method=%s,rid=%s,budget=%d,acct=rckik-south,est=100.0,mem=64 */ SELECT day, count(*), max(note) "+
		"FROM sales_%d.orders WHERE tag = '3f9c' GROUP BY day", class, id, budget.Milliseconds(), group)
}

// longQueryText returns a statement of at least size bytes, which selects many tags.
func longQueryText(class, id string, budget time.Duration, group, size int) string {
	text := queryText(class, id, budget, group)
	tags := strings.Builder{}
	for i := 0; tags.Len() < size; i++ {
		fmt.Fprintf(&tags, ", '%06x'", i)
	}
	return strings.Replace(text, "tag = '3f9c'", "tag IN ('3f9c'"+tags.String()+")", 1)
}

// send writes a query and does not wait for its answer.
func (s *session) send(text string) error {
	_ = s.conn.SetDeadline(time.Time{})
	return s.write(0, append([]byte{comQuery}, text...))
}

// receive reads the answer to a query, for at most the timeout.
func (s *session) receive(timeout time.Duration) answer {
	_ = s.conn.SetDeadline(time.Now().Add(timeout))
	result := answer{}
	for ends := 0; ends < 2; {
		body, err := s.packet()
		if err != nil {
			return answer{kind: answerNone, text: err.Error()}
		}
		switch {
		case len(body) > 2 && body[0] == markError:
			return errorAnswer(body)
		case len(body) > 0 && body[0] == markOK && ends == 0 && result.rows == 0 && len(body) >= 7:
			return answer{kind: answerServed, text: "OK"}
		case len(body) > 0 && body[0] == markEOF && len(body) < maxEOF:
			ends++
		case ends == 1:
			result.rows++
			if result.text == "" && len(body) > int(body[0]) {
				result.text = string(body[1 : 1+int(body[0])])
			}
		}
	}
	result.kind = answerServed
	return result
}

func errorAnswer(body []byte) answer {
	code := binary.LittleEndian.Uint16(body[1:])
	text := fmt.Sprintf("%d %s", code, body[3:])
	switch code {
	case 1040, 1203, 1226:
		return answer{kind: answerRefused, text: text}
	}
	return answer{kind: answerFailed, text: text}
}

func (s *session) close() { _ = s.conn.Close() }
