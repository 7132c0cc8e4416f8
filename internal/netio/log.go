package netio

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync/atomic"

	"github.com/lesismal/nbio/logging"
)

// pollerLog is the destination of nbio's warnings. nbio has one logger for the entire process and reads it in its own
// goroutines without synchronization. The logger is therefore set only once, in init, and only its destination changes.
var pollerLog atomic.Pointer[slog.Logger]

func init() { logging.SetLogger(nbioLogger{}) }

// nbioLogger forwards nbio's warnings and errors to pollerLog and discards its other messages.
type nbioLogger struct{}

func (nbioLogger) Debug(string, ...any) {}

func (nbioLogger) Info(string, ...any) {}

func (nbioLogger) Warn(format string, v ...any) { logPoller(slog.LevelWarn, format, v) }

func (nbioLogger) Error(format string, v ...any) { logPoller(slog.LevelError, format, v) }

// logPoller logs a message of nbio to pollerLog.
func logPoller(level slog.Level, format string, v []any) {
	if log := pollerLog.Load(); log != nil {
		log.Log(context.Background(), level, "poller", "text", strings.TrimSpace(fmt.Sprintf(format, v...)))
	}
}
