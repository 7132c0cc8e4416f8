package record

import (
	"context"
	"log/slog"
)

// NewLogHandler returns a handler that passes every log line to next, and calls put with an Event for each line of
// level Info or above. The event has the message as its name and the attributes as its fields. nowMS returns the time
// on the router's clock in milliseconds. put must not block.
func NewLogHandler(next slog.Handler, nowMS func() float64, put func(*Event)) slog.Handler {
	return &logHandler{Handler: next, nowMS: nowMS, put: put}
}

type logHandler struct {
	slog.Handler
	nowMS func() float64
	put   func(*Event)
	attrs []slog.Attr
}

// maxFieldBytes bounds the text of an event field. Longer text, such as a stack trace, is truncated.
const maxFieldBytes = 512

// Handle implements slog.Handler.
func (h *logHandler) Handle(ctx context.Context, line slog.Record) error {
	if line.Level >= slog.LevelInfo {
		h.put(h.event(line))
	}
	return h.Handler.Handle(ctx, line)
}

func (h *logHandler) event(line slog.Record) *Event {
	event := &Event{AtMS: h.nowMS(), Name: line.Message, Fields: map[string]string{}}
	addField := func(attr slog.Attr) bool {
		text := attr.Value.Resolve().String()
		event.Fields[attr.Key] = text[:min(len(text), maxFieldBytes)]
		return true
	}
	for _, attr := range h.attrs {
		addField(attr)
	}
	line.Attrs(addField)
	return event
}

// WithAttrs implements slog.Handler.
func (h *logHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	derived := *h
	derived.Handler = h.Handler.WithAttrs(attrs)
	derived.attrs = append(append([]slog.Attr(nil), h.attrs...), attrs...)
	return &derived
}

// WithGroup implements slog.Handler.
func (h *logHandler) WithGroup(name string) slog.Handler {
	derived := *h
	derived.Handler = h.Handler.WithGroup(name)
	return &derived
}
