// Command simadapter speaks the simulator's wire on standard input and output and hosts one controller per
// instance. It translates and decides nothing; the decisions are in package dispatch.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"windflow/dispatch"
	"windflow/internal/settings"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run answers every batch on in with one reply on out, until in ends.
func run(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<20)
	w := bufio.NewWriterSize(out, 1<<20)
	h := newHost()
	for {
		line, err := r.ReadBytes('\n')
		if len(line) > 0 {
			reply, herr := h.batch(line)
			if herr != nil {
				return herr
			}
			if _, err := w.Write(append(reply, '\n')); err != nil {
				return fmt.Errorf("write reply: %w", err)
			}
			if err := w.Flush(); err != nil {
				return fmt.Errorf("write reply: %w", err)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read batch: %w", err)
		}
	}
}

// host keeps the instances of this process and the numbered lists.
type host struct {
	instances map[int64]*dispatch.Controller
	sheets    map[int64][]dispatch.Endpoint
	actions   []dispatch.Action
	out       []map[string]any
}

func newHost() *host {
	return &host{instances: map[int64]*dispatch.Controller{}, sheets: map[int64][]dispatch.Endpoint{}}
}

// batch handles one line and returns the reply.
func (h *host) batch(line []byte) ([]byte, error) {
	var b struct {
		Time *int64                       `json:"ts-ns"`
		N    int64                        `json:"n"`
		In   []map[string]json.RawMessage `json:"in"`
	}
	if err := json.Unmarshal(line, &b); err != nil {
		return nil, fmt.Errorf("batch: %s", plain(err))
	}
	if b.Time == nil {
		return nil, errors.New("batch: field ts-ns is missing")
	}
	h.out = h.out[:0]
	for _, message := range b.In {
		if len(message) != 1 {
			return nil, fmt.Errorf("batch %d: field in: a message needs exactly one name, got %d", b.N, len(message))
		}
		for name, body := range message {
			if err := h.message(time.Duration(*b.Time), name, body); err != nil {
				return nil, fmt.Errorf("batch %d: message %s: %w", b.N, name, err)
			}
		}
	}
	if h.out == nil {
		h.out = []map[string]any{}
	}
	reply, err := json.Marshal(struct {
		N   int64            `json:"n"`
		Out []map[string]any `json:"out"`
	}{b.N, h.out})
	if err != nil {
		return nil, fmt.Errorf("batch %d: reply: %w", b.N, err)
	}
	return reply, nil
}

// message handles one event.
func (h *host) message(now time.Duration, name string, body json.RawMessage) error {
	if name == "REGISTER" {
		return h.register(body)
	}
	var head struct {
		Who *int64 `json:"who"`
	}
	if err := decode(body, &head); err != nil {
		return err
	}
	if head.Who == nil {
		return errors.New("field who is missing")
	}
	who := *head.Who
	switch name {
	case "START":
		return h.start(who, body)
	case "RETIRE":
		if _, ok := h.instances[who]; !ok {
			return fmt.Errorf("field who: unknown instance %d", who)
		}
		delete(h.instances, who)
		return nil
	}
	ev, err := h.event(name, body)
	if err != nil {
		return err
	}
	c, ok := h.instances[who]
	if !ok {
		return fmt.Errorf("field who: unknown instance %d", who)
	}
	if ev == nil {
		return nil
	}
	h.actions = c.Handle(now, ev, h.actions[:0])
	for _, a := range h.actions {
		h.out = append(h.out, encode(who, a))
	}
	return nil
}

// start creates or replaces an instance.
func (h *host) start(who int64, body json.RawMessage) error {
	var m struct {
		Nonce    uint64             `json:"nonce64"`
		Settings *settings.Settings `json:"settings"`
	}
	if err := decode(body, &m); err != nil {
		return err
	}
	if m.Settings == nil {
		return errors.New("field settings is missing")
	}
	cfg, err := m.Settings.DispatchConfig(m.Nonce)
	if err != nil {
		return fmt.Errorf("field settings: %w", err)
	}
	c, err := dispatch.New(cfg)
	if err != nil {
		return fmt.Errorf("field settings: %w", err)
	}
	h.instances[who] = c
	return nil
}

// register keeps a numbered list; a later one of that number replaces it.
func (h *host) register(body json.RawMessage) error {
	var m struct {
		Sheet    *int64      `json:"sheet"`
		Elements []wireEntry `json:"elements"`
	}
	if err := decode(body, &m); err != nil {
		return err
	}
	if m.Sheet == nil {
		return errors.New("field sheet is missing")
	}
	list := make([]dispatch.Endpoint, 0, len(m.Elements))
	for i, e := range m.Elements {
		engine, err := e.engine()
		if err != nil {
			return fmt.Errorf("field elements[%d].%w", i, err)
		}
		list = append(list, engine)
	}
	h.sheets[*m.Sheet] = list
	return nil
}
