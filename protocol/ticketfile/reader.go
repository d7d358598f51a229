package ticketfile

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"unicode/utf8"

	"github.com/wasabiport/wasabiport/state"
)

// reader walks over the tokens of a JSON document and collects faults. After
// a fault that leaves the rest unreadable, it reads no more values.
type reader struct {
	tokens  *json.Decoder
	faults  []state.ValidationError
	dropped int
	depth   int
	stopped bool
}

func newReader(data []byte) *reader {
	r := &reader{tokens: json.NewDecoder(bytes.NewReader(data))}
	r.tokens.UseNumber()
	r.checkDocument(data)
	return r
}

// checkDocument refuses documents whose tokens can't be walked.
func (r *reader) checkDocument(data []byte) {
	if len(data) > MaxTicketBytes {
		r.stop("", "the ticket has %d bytes, more than the limit of %d", len(data), MaxTicketBytes)
		return
	}
	if !utf8.Valid(data) {
		r.stop("", "the ticket is not valid UTF-8")
		return
	}
	err := json.Unmarshal(data, new(json.RawMessage))
	if err == nil {
		return
	}
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		r.stop("", "the ticket is not valid JSON: %v", err)
		return
	}
	line, column := position(data, syntax.Offset)
	r.stop("", "the ticket is not valid JSON: line %d, column %d: %v", line, column, err)
}

// position returns the line and column, from 1, of the last byte that was
// read.
func position(data []byte, offset int64) (line, column int) {
	before := data[:max(0, min(int(offset)-1, len(data)))]
	line = 1 + bytes.Count(before, []byte("\n"))
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}

func (r *reader) fault(path, format string, arguments ...any) {
	if len(r.faults) == maxFaults {
		r.dropped++
		return
	}
	r.faults = append(r.faults, state.ValidationError{Path: path, Reason: fmt.Sprintf(format, arguments...)})
}

func (r *reader) stop(path, format string, arguments ...any) {
	r.fault(path, format, arguments...)
	r.stopped = true
}

// result returns the faults, with the number of those that are not listed.
func (r *reader) result() []state.ValidationError {
	if r.dropped == 0 {
		return r.faults
	}
	more := state.ValidationError{Reason: fmt.Sprintf("%d more faults are not listed", r.dropped)}
	return append(r.faults, more)
}

// next returns the next token, or nil when there is none. JSON null is
// returned as nil, too.
func (r *reader) next(path string) json.Token {
	if r.stopped {
		return nil
	}
	token, err := r.tokens.Token()
	if err != nil {
		r.stop(path, "the value can't be read: %v", err)
		return nil
	}
	r.track(path, token)
	return token
}

func (r *reader) track(path string, token json.Token) {
	switch token {
	case json.Delim('{'), json.Delim('['):
		r.depth++
	case json.Delim('}'), json.Delim(']'):
		r.depth--
	}
	if r.depth > maxDepth {
		r.stop(path, "the ticket is nested more than %d levels deep", maxDepth)
	}
}

func (r *reader) more() bool { return !r.stopped && r.tokens.More() }

// skipRest passes over the rest of a value whose first token was read.
func (r *reader) skipRest(path string, first json.Token) {
	if first != json.Delim('{') && first != json.Delim('[') {
		return
	}
	for outer := r.depth - 1; r.depth > outer && !r.stopped; {
		r.next(path)
	}
}

// wrongType records that a value is not of the wanted type, and passes over
// it.
func (r *reader) wrongType(path string, got json.Token, want string) {
	if r.stopped {
		return
	}
	r.fault(path, "must be %s, not %s", want, describe(got))
	r.skipRest(path, got)
}

func describe(token json.Token) string {
	switch token := token.(type) {
	case nil:
		return "null"
	case bool:
		return "a boolean"
	case json.Number:
		return "the number " + quote(token.String())
	case string:
		return "the string " + quote(token)
	case json.Delim:
		if token == '{' {
			return "an object"
		}
		return "an array"
	default:
		return "a value of another type"
	}
}

// quote quotes input for a fault, cut to a bounded length.
func quote(text string) string {
	if len(text) <= maxQuotedBytes {
		return fmt.Sprintf("%q", text)
	}
	return fmt.Sprintf("%q...", strings.ToValidUTF8(text[:maxQuotedBytes], ""))
}

func join(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}
