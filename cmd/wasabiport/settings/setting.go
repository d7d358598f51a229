package settings

import (
	"errors"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/pflag"
	"github.com/spf13/viper"

	"github.com/wasabiport/wasabiport/transport/events"
)

// EnvironmentPrefix is the prefix of the names of all environment variables.
const EnvironmentPrefix = "WASABIPORT"

// Setting describes one field of a settings struct.
type Setting struct {
	Flag string
	// Default is the default value as text; it is empty when the setting is
	// required.
	Default string
	Usage   string
	rule    string
	field   int
}

// Variable returns the name of the setting's environment variable.
func (s Setting) Variable() string {
	return EnvironmentPrefix + "_" + strings.ToUpper(strings.ReplaceAll(s.Flag, "-", "_"))
}

// Required reports whether the setting has no default.
func (s Setting) Required() bool { return s.Default == "" && !strings.HasPrefix(s.rule, "optional") }

// InvalidError reports a setting with an invalid value.
type InvalidError struct {
	Setting Setting
	Value   string
	Reason  string
}

// Error returns one line that names the flag and its environment variable.
func (e *InvalidError) Error() string {
	if e.Value == "" {
		return fmt.Sprintf("--%s (or %s) %s", e.Setting.Flag, e.Setting.Variable(), e.Reason)
	}
	return fmt.Sprintf("--%s (or %s) %s, but is %q", e.Setting.Flag, e.Setting.Variable(), e.Reason, e.Value)
}

// Describe returns the settings of a struct such as Node, in the order of its
// fields.
func Describe(defaults any) []Setting {
	value := reflect.ValueOf(defaults)
	var all []Setting
	for i := range value.NumField() {
		tag := value.Type().Field(i).Tag
		all = append(all, Setting{
			Flag:    tag.Get("flag"),
			Default: fmt.Sprint(value.Field(i).Interface()),
			Usage:   tag.Get("usage"),
			rule:    tag.Get("rule"),
			field:   i,
		})
	}
	return all
}

// Register adds the flags of a settings struct. All are text flags that Load parses,
// so that an invalid value causes the same error in a flag and in a variable.
func Register(flags *pflag.FlagSet, defaults any) {
	for _, setting := range Describe(defaults) {
		usage := fmt.Sprintf("%s [%s]", setting.Usage, setting.Variable())
		flags.String(setting.Flag, setting.Default, usage)
	}
}

// Load returns the settings from flags, environment variables and defaults, in this
// order of precedence. Its error joins an *InvalidError for each invalid value.
func Load[T any](flags *pflag.FlagSet, defaults T) (T, error) {
	source := viper.New()
	source.SetEnvPrefix(EnvironmentPrefix)
	source.SetEnvKeyReplacer(strings.NewReplacer("-", "_"))
	source.AutomaticEnv()
	if err := source.BindPFlags(flags); err != nil {
		return defaults, fmt.Errorf("bind flags: %w", err)
	}
	loaded := defaults
	fields := reflect.ValueOf(&loaded).Elem()
	var problems []error
	for _, setting := range Describe(defaults) {
		text := source.GetString(setting.Flag)
		if reason := assign(fields.Field(setting.field), setting, text); reason != "" {
			problems = append(problems, &InvalidError{Setting: setting, Value: text, Reason: reason})
		}
	}
	return loaded, errors.Join(problems...)
}

// assign parses text and stores the value in a field. It returns why the text is
// invalid, or the empty string.
func assign(field reflect.Value, setting Setting, text string) string {
	if text == "" {
		if setting.Required() {
			return "must be set"
		}
		if strings.HasPrefix(setting.rule, "optional") {
			return ""
		}
	}
	parsed, reason := parse(field.Interface(), text)
	if reason == "" {
		reason = check(setting.rule, parsed)
	}
	if reason == "" {
		field.Set(reflect.ValueOf(parsed))
	}
	return reason
}

// parse converts text to the type of like. It returns why the text is invalid, or
// the empty string.
func parse(like any, text string) (value any, reason string) {
	switch like.(type) {
	case time.Duration:
		duration, err := time.ParseDuration(text)
		if err != nil {
			return nil, `must be a duration with a unit, such as "250ms"`
		}
		return duration, ""
	case int, int64:
		number, err := strconv.ParseInt(text, 10, strconv.IntSize)
		if err != nil {
			return nil, "must be a whole number"
		}
		return reflect.ValueOf(number).Convert(reflect.TypeOf(like)).Interface(), ""
	case bool:
		return parseBool(text)
	case events.Level:
		level, ok := events.ParseLevel(text)
		if !ok {
			return nil, "must be error, info or debug"
		}
		return level, ""
	case events.Format:
		return events.Format(text), ""
	default:
		return text, ""
	}
}

func parseBool(text string) (value any, reason string) {
	switch text {
	case "true":
		return true, ""
	case "false":
		return false, ""
	default:
		return nil, "must be true or false"
	}
}
