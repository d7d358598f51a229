package ticketfile

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/wasabiport/wasabiport/state"
)

// field describes how to decode one member of an object.
type field struct {
	name     string
	required bool
	decode   func(path string)
}

// object decodes an object. It reports unknown members, duplicate members and
// missing required members.
func (r *reader) object(path string, fields ...field) { r.objectWith(path, nil, fields...) }

// objectWith is like object, except that alternatives maps required members to
// other members: a required member may be missing if its alternative is present.
func (r *reader) objectWith(path string, alternatives map[string]string, fields ...field) {
	first := r.next(path)
	if first != json.Delim('{') {
		r.wrongType(path, first, "an object")
		return
	}
	seen := make(map[string]bool)
	for r.more() {
		name, _ := r.next(path).(string)
		r.member(path, name, seen, fields)
	}
	r.next(path)
	if r.stopped {
		return
	}
	for _, field := range fields {
		if field.required && !seen[field.name] && !seen[alternatives[field.name]] {
			r.addError(joinPath(path, field.name), "is missing")
		}
	}
}

func (r *reader) member(path, name string, seen map[string]bool, fields []field) {
	at := slices.IndexFunc(fields, func(f field) bool { return f.name == name })
	if at < 0 {
		r.addError(path, "has the unknown field %s", quote(name))
		r.skipValue(path, r.next(path))
		return
	}
	memberPath := joinPath(path, name)
	if seen[name] {
		r.addError(memberPath, "stands more than once in the same object")
		r.skipValue(memberPath, r.next(memberPath))
		return
	}
	seen[name] = true
	fields[at].decode(memberPath)
}

// array decodes an array by calling item for each element.
func (r *reader) array(path string, item func(path string)) {
	first := r.next(path)
	if first != json.Delim('[') {
		r.wrongType(path, first, "an array")
		return
	}
	for index := 0; r.more(); index++ {
		item(fmt.Sprintf("%s[%d]", path, index))
	}
	r.next(path)
}

func decodeArray[T any](r *reader, path string, item func(path string) T) []T {
	var items []T
	r.array(path, func(path string) { items = append(items, item(path)) })
	return items
}

func decodeString[T ~string](r *reader, path string) T {
	token := r.next(path)
	text, ok := token.(string)
	if !ok {
		r.wrongType(path, token, "a string")
	}
	return T(text)
}

func (r *reader) boolean(path string) bool {
	token := r.next(path)
	value, ok := token.(bool)
	if !ok {
		r.wrongType(path, token, "true or false")
	}
	return value
}

// number decodes a finite number that is not negative.
func (r *reader) number(path string) float64 {
	token := r.next(path)
	number, ok := token.(json.Number)
	if !ok {
		r.wrongType(path, token, "a number")
		return 0
	}
	value, err := number.Float64()
	if err != nil {
		r.addError(path, "the number %s is out of range", quote(number.String()))
		return 0
	}
	if value < 0 {
		r.addError(path, "must not be negative, but is %s", quote(number.String()))
		return 0
	}
	return value + 0 // turns -0 into 0
}

// integer decodes a whole number from 0 to limit.
func (r *reader) integer(path string, limit uint64) uint64 {
	token := r.next(path)
	number, ok := token.(json.Number)
	if !ok {
		r.wrongType(path, token, "a whole number")
		return 0
	}
	value, err := strconv.ParseUint(number.String(), 10, 64)
	if err != nil || value > limit {
		r.addError(path, "must be a whole number from 0 to %d, not %s", limit, quote(number.String()))
		return 0
	}
	return value
}

func (r *reader) count(path string) int { return int(r.integer(path, math.MaxInt32)) }

// duration decodes a string such as "250ms" that is not negative.
func (r *reader) duration(path string) time.Duration {
	const want = `a duration with a unit, such as "250ms"`
	token := r.next(path)
	text, ok := token.(string)
	if !ok {
		r.wrongType(path, token, want)
		return 0
	}
	value, err := time.ParseDuration(text)
	if err != nil {
		r.addError(path, "must be %s, not the string %s", want, quote(text))
		return 0
	}
	if value < 0 {
		r.addError(path, "must not be negative, but is %s", quote(text))
		return 0
	}
	return value
}

func (r *reader) class(path string) state.PriorityClass {
	token := r.next(path)
	text, ok := token.(string)
	if !ok {
		r.wrongType(path, token, "a priority class")
		return 0
	}
	class, ok := state.ParsePriorityClass(text)
	if !ok {
		r.addError(path, "must be one of %s, not the string %s", classNames(), quote(text))
	}
	return class
}

func classNames() string {
	var names []string
	for _, class := range state.Classes() {
		names = append(names, class.String())
	}
	return strings.Join(names, ", ")
}
