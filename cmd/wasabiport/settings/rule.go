package settings

import (
	"net/netip"
	"net/url"
	"os"
	"reflect"
	"regexp"
	"strings"

	"github.com/wasabiport/wasabiport/transport/events"
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)

// rules holds the validation functions by the names in the rule tags. Each returns
// why a value is invalid, or the empty string for a valid value.
var rules = map[string]func(value any) string{
	"name": func(value any) string {
		if !namePattern.MatchString(value.(string)) {
			return "must be 1 to 128 letters, digits, dots, dashes or underscores"
		}
		return ""
	},
	"ipport": func(value any) string {
		address, err := netip.ParseAddrPort(value.(string))
		if err != nil || address.Addr().IsUnspecified() || address.Port() == 0 {
			return "must be an IP address and port that other hosts can reach, such as 10.1.0.11:7000"
		}
		return ""
	},
	"listen": func(value any) string {
		if _, err := netip.ParseAddrPort(value.(string)); err != nil {
			return "must be an IP address and port to listen on, such as 0.0.0.0:8080"
		}
		return ""
	},
	"url": func(value any) string {
		parsed, err := url.Parse(value.(string))
		if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") || parsed.Host == "" {
			return "must be an http or https URL, such as http://10.0.0.5:7070"
		}
		return ""
	},
	"positive": func(value any) string {
		if reflect.ValueOf(value).Int() <= 0 {
			return "must be more than 0"
		}
		return ""
	},
	"count": func(value any) string {
		if reflect.ValueOf(value).Int() < 0 {
			return "must not be negative"
		}
		return ""
	},
	"format": func(value any) string {
		if value != events.FormatText && value != events.FormatJSON {
			return "must be text or json"
		}
		return ""
	},
	// The value was already validated by parse.
	"bool": func(any) string { return "" },
	"file": func(value any) string {
		file, err := os.Open(value.(string))
		if err != nil {
			return "must be a readable file"
		}
		_ = file.Close()
		return ""
	},
}

func check(rule string, value any) string {
	if checkValue, ok := rules[strings.TrimPrefix(rule, "optional ")]; ok {
		return checkValue(value)
	}
	return ""
}
