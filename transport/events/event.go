package events

import (
	"fmt"
	"reflect"
	"time"

	"github.com/go-logr/logr"
)

// Level is the severity of an event.
type Level uint8

// The levels, most severe first.
const (
	// LevelError is for conditions that need an operator's attention.
	LevelError Level = iota
	// LevelInfo is for infrequent changes of state.
	LevelInfo
	// LevelDebug is for frequent events that help to diagnose a single case.
	LevelDebug
)

var levelNames = [...]string{"error", "info", "debug"}

// String returns the name of the level as used in settings.
func (l Level) String() string {
	if int(l) >= len(levelNames) {
		return "invalid"
	}
	return levelNames[l]
}

// ParseLevel returns the level with the given name.
func ParseLevel(name string) (Level, bool) {
	for level, candidate := range levelNames {
		if candidate == name {
			return Level(level), true
		}
	}
	return 0, false
}

// Kind describes all events of one type.
type Kind struct {
	// Number is the permanent identifier of the kind.
	Number int
	Level  Level
	// Name is the message of the log line.
	Name string
	// Description explains the event to operators.
	Description string
}

// Event is a log event. Its exported fields are logged under the names in their
// "event" tags.
type Event interface {
	// Kind returns the description that all events of the type share.
	Kind() Kind
}

// Log writes an event to logger.
func Log(logger logr.Logger, event Event) {
	kind := event.Kind()
	switch kind.Level {
	case LevelError:
		logger.Error(nil, kind.Name, keysAndValues(kind, event)...)
	case LevelInfo:
		logger.Info(kind.Name, keysAndValues(kind, event)...)
	case LevelDebug:
		if debug := logger.V(1); debug.Enabled() {
			debug.Info(kind.Name, keysAndValues(kind, event)...)
		}
	}
}

func keysAndValues(kind Kind, event Event) []any {
	pairs := []any{"event", kind.Number}
	value := reflect.ValueOf(event)
	for i := range value.NumField() {
		key := value.Type().Field(i).Tag.Get("event")
		pairs = append(pairs, key, loggable(value.Field(i).Interface()))
	}
	return pairs
}

// loggable converts a value to a form that is logged identically as text and as
// JSON.
func loggable(value any) any {
	switch value := value.(type) {
	case error:
		return value.Error()
	case time.Duration:
		return value.String()
	case *time.Duration:
		if value == nil {
			return ""
		}
		return value.String()
	case fmt.Stringer:
		return value.String()
	default:
		return value
	}
}

// FieldNames returns the log names of the fields of an event.
func FieldNames(event Event) []string {
	var names []string
	kind := reflect.TypeOf(event)
	for i := range kind.NumField() {
		names = append(names, kind.Field(i).Tag.Get("event"))
	}
	return names
}
