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

// raftLogger is an hclog.Logger, the only kind that hashicorp/raft accepts, that writes to an slog.Logger.
type raftLogger struct {
	target *slog.Logger
	name   string
	args   []any
}

var _ hclog.Logger = raftLogger{}

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

func (l raftLogger) Log(level hclog.Level, msg string, args ...any) {
	l.write(slogLevel(level), msg, args)
}

func (l raftLogger) write(level slog.Level, msg string, args []any) {
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

func (l raftLogger) enabled(level slog.Level) bool {
	return l.target.Enabled(context.Background(), level)
}

func (l raftLogger) Trace(msg string, args ...any) { l.write(slog.LevelDebug, msg, args) }
func (l raftLogger) Debug(msg string, args ...any) { l.write(slog.LevelDebug, msg, args) }
func (l raftLogger) Info(msg string, args ...any)  { l.write(slog.LevelInfo, msg, args) }
func (l raftLogger) Warn(msg string, args ...any)  { l.write(slog.LevelWarn, msg, args) }
func (l raftLogger) Error(msg string, args ...any) { l.write(slog.LevelError, msg, args) }
func (l raftLogger) IsTrace() bool                 { return false }
func (l raftLogger) IsDebug() bool                 { return l.enabled(slog.LevelDebug) }
func (l raftLogger) IsInfo() bool                  { return l.enabled(slog.LevelInfo) }
func (l raftLogger) IsWarn() bool                  { return l.enabled(slog.LevelWarn) }
func (l raftLogger) IsError() bool                 { return l.enabled(slog.LevelError) }
func (l raftLogger) ImpliedArgs() []any            { return l.args }
func (l raftLogger) Name() string                  { return l.name }

func (l raftLogger) With(args ...any) hclog.Logger {
	return raftLogger{target: l.target.With(args...), name: l.name, args: append(append([]any(nil), l.args...), args...)}
}

func (l raftLogger) Named(name string) hclog.Logger {
	if l.name != "" {
		name = l.name + "." + name
	}
	return l.ResetNamed(name)
}

func (l raftLogger) ResetNamed(name string) hclog.Logger {
	return raftLogger{target: l.target, name: name, args: l.args}
}

// SetLevel does nothing, because the slog.Logger determines the level.
func (l raftLogger) SetLevel(hclog.Level) {}

func (l raftLogger) GetLevel() hclog.Level {
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

func (l raftLogger) StandardLogger(*hclog.StandardLoggerOptions) *log.Logger {
	return slog.NewLogLogger(l.target.Handler(), slog.LevelInfo)
}

func (l raftLogger) StandardWriter(o *hclog.StandardLoggerOptions) io.Writer {
	return l.StandardLogger(o).Writer()
}
