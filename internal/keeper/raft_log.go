package keeper

import (
	"context"
	"fmt"
	"io"
	"log"
	"log/slog"
	"slices"

	"github.com/hashicorp/go-hclog"
)

// raftLog writes the messages of hashicorp/raft, which takes an hclog.Logger only, to an slog.Logger.
type raftLog struct {
	target *slog.Logger
	name   string
	args   []any
}

var _ hclog.Logger = raftLog{}

func slogLevel(level hclog.Level) slog.Level {
	switch level {
	case hclog.Trace, hclog.Debug:
		return slog.LevelDebug
	case hclog.Warn:
		return slog.LevelWarn
	case hclog.Error:
		return slog.LevelError
	case hclog.NoLevel, hclog.Info, hclog.Off:
		return slog.LevelInfo
	}
	return slog.LevelInfo
}

func (l raftLog) Log(level hclog.Level, msg string, args ...any) {
	l.write(slogLevel(level), msg, args)
}

func (l raftLog) write(level slog.Level, msg string, args []any) {
	if !l.enabled(level) {
		return
	}
	args = slices.Clone(args)
	for i, arg := range args {
		if format, ok := arg.(hclog.Format); ok && len(format) > 0 {
			args[i] = fmt.Sprintf(fmt.Sprint(format[0]), format[1:]...)
		}
	}
	l.target.Log(context.Background(), level, msg, args...)
}

func (l raftLog) enabled(level slog.Level) bool { return l.target.Enabled(context.Background(), level) }

func (l raftLog) Trace(msg string, args ...any) { l.write(slog.LevelDebug, msg, args) }
func (l raftLog) Debug(msg string, args ...any) { l.write(slog.LevelDebug, msg, args) }
func (l raftLog) Info(msg string, args ...any)  { l.write(slog.LevelInfo, msg, args) }
func (l raftLog) Warn(msg string, args ...any)  { l.write(slog.LevelWarn, msg, args) }
func (l raftLog) Error(msg string, args ...any) { l.write(slog.LevelError, msg, args) }
func (l raftLog) IsTrace() bool                 { return false }
func (l raftLog) IsDebug() bool                 { return l.enabled(slog.LevelDebug) }
func (l raftLog) IsInfo() bool                  { return l.enabled(slog.LevelInfo) }
func (l raftLog) IsWarn() bool                  { return l.enabled(slog.LevelWarn) }
func (l raftLog) IsError() bool                 { return l.enabled(slog.LevelError) }
func (l raftLog) ImpliedArgs() []any            { return l.args }
func (l raftLog) Name() string                  { return l.name }

func (l raftLog) With(args ...any) hclog.Logger {
	return raftLog{target: l.target.With(args...), name: l.name, args: append(append([]any(nil), l.args...), args...)}
}

func (l raftLog) Named(name string) hclog.Logger {
	if l.name != "" {
		name = l.name + "." + name
	}
	return l.ResetNamed(name)
}

func (l raftLog) ResetNamed(name string) hclog.Logger {
	return raftLog{target: l.target, name: name, args: l.args}
}

// SetLevel does nothing: the level is that of the slog.Logger.
func (l raftLog) SetLevel(hclog.Level) {}

func (l raftLog) GetLevel() hclog.Level {
	switch {
	case l.IsDebug():
		return hclog.Debug
	case l.IsInfo():
		return hclog.Info
	case l.IsWarn():
		return hclog.Warn
	default:
		return hclog.Error
	}
}

func (l raftLog) StandardLogger(*hclog.StandardLoggerOptions) *log.Logger {
	return slog.NewLogLogger(l.target.Handler(), slog.LevelInfo)
}

func (l raftLog) StandardWriter(o *hclog.StandardLoggerOptions) io.Writer {
	return l.StandardLogger(o).Writer()
}
