package record

import (
	"context"
	"log/slog"
)

// NewLogHandler gives a handler that hands each line of the log, from Info up, on as an Event besides: the log and the records tell
// the same, under the same names. put must not block.
func NewLogHandler(h slog.Handler, now func() float64, put func(*Event)) slog.Handler {
	return &tee{Handler: h, now: now, put: put}
}

type tee struct {
	slog.Handler
	now   func() float64
	put   func(*Event)
	attrs []slog.Attr
}

// maxField bounds a field's text in a record; a longer one, such as stacks, is cut.
const maxField = 512

// Handle implements slog.Handler.
func (t *tee) Handle(ctx context.Context, r slog.Record) error {
	if r.Level >= slog.LevelInfo {
		e := &Event{AtMS: t.now(), Name: r.Message, Fields: map[string]string{}}
		add := func(a slog.Attr) bool {
			text := a.Value.Resolve().String()
			e.Fields[a.Key] = text[:min(len(text), maxField)]
			return true
		}
		for _, a := range t.attrs {
			add(a)
		}
		r.Attrs(add)
		t.put(e)
	}
	return t.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (t *tee) WithAttrs(attrs []slog.Attr) slog.Handler {
	next := *t
	next.Handler = t.Handler.WithAttrs(attrs)
	next.attrs = append(append([]slog.Attr(nil), t.attrs...), attrs...)
	return &next
}

// WithGroup implements slog.Handler.
func (t *tee) WithGroup(name string) slog.Handler {
	next := *t
	next.Handler = t.Handler.WithGroup(name)
	return &next
}
