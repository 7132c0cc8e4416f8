package netio

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync/atomic"

	"github.com/lesismal/nbio/logging"
)

// pollerLog is the destination of nbio's warnings. nbio has one logger for the entire process and reads it from its own
// goroutines, so that logger is set once, here, and only its destination changes.
var pollerLog atomic.Pointer[slog.Logger]

func init() { logging.SetLogger(nbioLogger{}) }

// nbioLogger passes nbio's warnings and errors on and drops the other messages.
type nbioLogger struct{}

func (nbioLogger) Debug(string, ...any) {}

func (nbioLogger) Info(string, ...any) {}

func (nbioLogger) Warn(format string, v ...any) { logPoller(slog.LevelWarn, format, v) }

func (nbioLogger) Error(format string, v ...any) { logPoller(slog.LevelError, format, v) }

func logPoller(level slog.Level, format string, v []any) {
	if log := pollerLog.Load(); log != nil {
		log.Log(context.Background(), level, "poller", "text", strings.TrimSpace(fmt.Sprintf(format, v...)))
	}
}
