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

// reader reads the tokens of a JSON document and collects validation errors. It
// stops at an error that makes the rest of the document unreadable.
type reader struct {
	decoder  *json.Decoder
	errs     []state.ValidationError
	unlisted int
	depth    int
	stopped  bool
}

func newReader(data []byte) *reader {
	r := &reader{decoder: json.NewDecoder(bytes.NewReader(data))}
	r.decoder.UseNumber()
	r.checkDocument(data)
	return r
}

// checkDocument stops the reader if the document is too large, or is not valid
// UTF-8 or JSON.
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

// position returns the line and column, counted from 1, of the last byte before
// offset.
func position(data []byte, offset int64) (line, column int) {
	before := data[:max(0, min(int(offset)-1, len(data)))]
	line = 1 + bytes.Count(before, []byte("\n"))
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}

func (r *reader) addError(path, format string, arguments ...any) {
	if len(r.errs) == maxErrors {
		r.unlisted++
		return
	}
	r.errs = append(r.errs, state.ValidationError{Path: path, Reason: fmt.Sprintf(format, arguments...)})
}

func (r *reader) stop(path, format string, arguments ...any) {
	r.addError(path, format, arguments...)
	r.stopped = true
}

// result returns the collected validation errors. If there were more than
// maxErrors, a final entry states how many are not listed.
func (r *reader) result() []state.ValidationError {
	if r.unlisted == 0 {
		return r.errs
	}
	more := state.ValidationError{Reason: fmt.Sprintf("%d more faults are not listed", r.unlisted)}
	return append(r.errs, more)
}

// next returns the next token. It returns nil if the reader has stopped, and
// also for JSON null.
func (r *reader) next(path string) json.Token {
	if r.stopped {
		return nil
	}
	token, err := r.decoder.Token()
	if err != nil {
		r.stop(path, "the value can't be read: %v", err)
		return nil
	}
	r.trackDepth(path, token)
	return token
}

func (r *reader) trackDepth(path string, token json.Token) {
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

func (r *reader) more() bool { return !r.stopped && r.decoder.More() }

// skipValue skips the rest of a value whose first token has been read.
func (r *reader) skipValue(path string, first json.Token) {
	if first != json.Delim('{') && first != json.Delim('[') {
		return
	}
	for outer := r.depth - 1; r.depth > outer && !r.stopped; {
		r.next(path)
	}
}

// wrongType reports a value that is not of the expected type and skips it.
func (r *reader) wrongType(path string, got json.Token, want string) {
	if r.stopped {
		return
	}
	r.addError(path, "must be %s, not %s", want, describeToken(got))
	r.skipValue(path, got)
}

func describeToken(token json.Token) string {
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

// quote quotes input for a validation error and truncates it to maxQuotedBytes.
func quote(text string) string {
	if len(text) <= maxQuotedBytes {
		return fmt.Sprintf("%q", text)
	}
	return fmt.Sprintf("%q...", strings.ToValidUTF8(text[:maxQuotedBytes], ""))
}

func joinPath(path, field string) string {
	if path == "" {
		return field
	}
	return path + "." + field
}
