package events

import (
	"fmt"
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// Format is the form of log lines.
type Format string

// The formats of log lines.
const (
	// FormatText writes key=value pairs.
	FormatText Format = "text"
	// FormatJSON writes one JSON object a line.
	FormatJSON Format = "json"
)

// NewLogger returns a logger that writes events up to level to w. It fails
// for an unknown format.
func NewLogger(w io.Writer, format Format, level Level) (logr.Logger, error) {
	options := &slog.HandlerOptions{Level: slogLevel(level), ReplaceAttr: nameLevel}
	switch format {
	case FormatText:
		return logr.FromSlogHandler(slog.NewTextHandler(w, options)), nil
	case FormatJSON:
		return logr.FromSlogHandler(slog.NewJSONHandler(w, options)), nil
	default:
		return logr.Discard(), fmt.Errorf("log format %q is neither %s nor %s", format, FormatText, FormatJSON)
	}
}

// nameLevel gives all levels below info, which logr numbers, the same name.
func nameLevel(groups []string, attribute slog.Attr) slog.Attr {
	level, ok := attribute.Value.Any().(slog.Level)
	if ok && len(groups) == 0 && attribute.Key == slog.LevelKey && level < slog.LevelInfo {
		return slog.String(slog.LevelKey, slog.LevelDebug.String())
	}
	return attribute
}

func slogLevel(level Level) slog.Level {
	switch level {
	case LevelError:
		return slog.LevelError
	case LevelDebug:
		return slog.LevelDebug
	default:
		return slog.LevelInfo
	}
}
