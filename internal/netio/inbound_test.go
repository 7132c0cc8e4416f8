package netio

import (
	"bytes"
	"io"
	"testing"
	"time"
)

// manyAnswersHandler writes many answers whenever it receives data.
type manyAnswersHandler struct {
	conn    Conn
	answers int
	answer  []byte
}

func (h *manyAnswersHandler) Opened(conn Conn) { h.conn = conn }
func (h *manyAnswersHandler) Closed(error)     {}
func (h *manyAnswersHandler) Data([]byte, float64) {
	for range h.answers {
		_ = h.conn.Write(h.answer)
	}
}

// Guards against a client that is cut off because the answers of one turn, sent together, exceed what a connection may
// have unwritten.
func TestManyAnswersInOneTurn(t *testing.T) {
	handler := &manyAnswersHandler{answers: 200, answer: bytes.Repeat([]byte("a"), 2<<10)}
	if total := handler.answers * len(handler.answer); total <= maxUnwritten {
		t.Fatalf("%d bytes of answers do not exceed the limit of %d", total, maxUnwritten)
	}
	poller, _ := startPoller(t, "127.0.0.1:0", func() Handler { return handler })
	client := dial(t, poller.Addr())
	if _, err := client.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	_ = client.SetReadDeadline(time.Now().Add(5 * time.Second))
	if n, err := io.ReadFull(client, make([]byte, handler.answers*len(handler.answer))); err != nil {
		t.Errorf("read %d bytes of the answers, error %v", n, err)
	}
}

// Connections take turns: what one has sent at once is handled in parts, in order, and the end of the connection after
// all of it.
func TestInboundQueueKeepsOrder(t *testing.T) {
	queue := &inboundQueue{}
	sent := bytes.Repeat([]byte("0123456789"), clientQuantum/4)
	if !queue.add(inboundEvent{data: sent}) || queue.add(inboundEvent{data: []byte("end")}) {
		t.Error("a turn is posted for the first event only")
	}
	queue.add(inboundEvent{closed: true})
	var received []byte
	for turn, more := 0, true; more; turn++ {
		var event inboundEvent
		if event, _, more = queue.take(clientQuantum); len(event.data) > clientQuantum {
			t.Errorf("turn %d has %d bytes, at most %d are allowed", turn, len(event.data), clientQuantum)
		}
		if event.closed && more {
			t.Error("the end came before the last data")
		}
		received = append(received, event.data...)
	}
	if want := string(sent) + "end"; string(received) != want {
		t.Errorf("%d bytes received, want %d in order", len(received), len(want))
	}
	if !queue.hasEnded() || !queue.add(inboundEvent{}) {
		t.Error("the emptied queue does not know the end, or posts no turn")
	}
}
