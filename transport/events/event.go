package events

import (
	"fmt"
	"reflect"
	"time"

	"github.com/go-logr/logr"
)

// Level says who should read an event.
type Level uint8

// The levels, most important first.
const (
	// LevelError is for what an operator has to look at.
	LevelError Level = iota
	// LevelInfo is for changes that happen rarely.
	LevelInfo
	// LevelDebug is for what happens often and explains one case.
	LevelDebug
)

var levelNames = [...]string{"error", "info", "debug"}

// String returns the name of the level as it appears in settings.
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
	// Number identifies the kind for ever.
	Number int
	Level  Level
	// Name is the message of the log line.
	Name string
	// Description is a sentence for operators.
	Description string
}

// Event is one thing that happened. Its exported fields are logged under the
// names in their "event" tags.
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
		pairs = append(pairs, key, plain(value.Field(i).Interface()))
	}
	return pairs
}

// plain returns a value that text and JSON show in the same way.
func plain(value any) any {
	switch value := value.(type) {
	case error:
		return value.Error()
	case time.Duration:
		return value.String()
	case fmt.Stringer:
		return value.String()
	default:
		return value
	}
}

// FieldNames returns the names under which the fields of an event are logged.
func FieldNames(event Event) []string {
	var names []string
	kind := reflect.TypeOf(event)
	for i := range kind.NumField() {
		names = append(names, kind.Field(i).Tag.Get("event"))
	}
	return names
}
