package httpmap

import (
	"net/http"
	"strings"
)

// tokenSymbols are the characters of a token that are neither letters nor digits.
const tokenSymbols = "!#$%&'*+-.^_`|~"

// HasValidNames reports whether all fields of a header or trailer have valid names.
// Package net/http accepts blanks in the names of a response: a field "Content-Length :"
// does not count as the length, and the body then has another end.
func HasValidNames(header http.Header) bool {
	for name, values := range header {
		// A trailer that was announced and not sent has no values.
		if len(values) > 0 && !isToken(name) {
			return false
		}
	}
	return true
}

// isToken reports whether text is a token as defined by RFC 9110, section 5.6.2.
func isToken(text string) bool {
	for _, char := range text {
		if !isTokenChar(char) {
			return false
		}
	}
	return text != ""
}

func isTokenChar(char rune) bool {
	switch {
	case 'a' <= char && char <= 'z', 'A' <= char && char <= 'Z', '0' <= char && char <= '9':
		return true
	default:
		return strings.ContainsRune(tokenSymbols, char)
	}
}
