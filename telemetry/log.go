package telemetry

import (
	"io"
	"log/slog"
	"os"
	"strings"

	"github.com/pkg/errors"
)

// LogConfig configures the log.
type LogConfig struct {
	// Level is debug, info, warn or error. Default info.
	Level string
	// Output receives one line of key=value pairs for each event. Default os.Stderr.
	Output io.Writer
}

// NewLogger returns a logger that writes key=value lines.
func NewLogger(cfg LogConfig) (*slog.Logger, error) {
	level := slog.LevelInfo
	if cfg.Level != "" {
		if err := level.UnmarshalText([]byte(strings.ToUpper(cfg.Level))); err != nil {
			return nil, errors.Errorf("log level %q: want debug, info, warn or error", cfg.Level)
		}
	}
	if cfg.Output == nil {
		cfg.Output = os.Stderr
	}
	options := &slog.HandlerOptions{Level: level, ReplaceAttr: errorAsMessage}
	return slog.New(slog.NewTextHandler(cfg.Output, options)), nil
}

// errorAsMessage replaces an error by its message. The handler itself would use the
// verbose format, in which package errors includes a complete stack trace.
func errorAsMessage(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok {
		return slog.String(a.Key, err.Error())
	}
	return a
}
