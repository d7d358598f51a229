package events

import (
	"fmt"
	"io"
	"log/slog"

	"github.com/go-logr/logr"
)

// Format is the encoding of log lines.
type Format string

// The supported formats.
const (
	// FormatText writes key=value pairs.
	FormatText Format = "text"
	// FormatJSON writes one JSON object per line.
	FormatJSON Format = "json"
)

// NewLogger returns a logger that writes events of at least the severity level
// to w. It returns an error for an unknown format.
func NewLogger(w io.Writer, format Format, level Level) (logr.Logger, error) {
	options := &slog.HandlerOptions{Level: slogLevel(level), ReplaceAttr: normalizeLevel}
	switch format {
	case FormatText:
		return logr.FromSlogHandler(slog.NewTextHandler(w, options)), nil
	case FormatJSON:
		return logr.FromSlogHandler(slog.NewJSONHandler(w, options)), nil
	default:
		return logr.Discard(), fmt.Errorf("log format %q is neither %s nor %s", format, FormatText, FormatJSON)
	}
}

// normalizeLevel replaces all levels below info by DEBUG. logr maps verbosity to
// numbered levels, which slog would print as DEBUG+3 and the like.
func normalizeLevel(groups []string, attribute slog.Attr) slog.Attr {
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
