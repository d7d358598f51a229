package events

import (
	"bytes"
	"errors"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an event type that is missing from the catalogue, a reused
// number, and a field without a log name.
func TestCatalogueIsCompleteAndOrdered(t *testing.T) {
	var listed []string
	last := 0
	for _, event := range Catalogue() {
		require.Greater(t, event.Kind().Number, last)
		last = event.Kind().Number
		listed = append(listed, reflect.TypeOf(event).Name())
		require.NotContains(t, FieldNames(event), "", "a field of %T has no event tag", event)
	}
	require.ElementsMatch(t, typesWithKind(t), listed)
}

// typesWithKind returns the names of the types in this package that have a Kind
// method, read from the source files.
func typesWithKind(t *testing.T) []string {
	files, err := os.ReadDir(".")
	require.NoError(t, err)
	var names []string
	for _, file := range files {
		if !strings.HasSuffix(file.Name(), ".go") || strings.HasSuffix(file.Name(), "_test.go") {
			continue
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), file.Name(), nil, 0)
		require.NoError(t, err)
		for _, declaration := range parsed.Decls {
			method, ok := declaration.(*ast.FuncDecl)
			if ok && method.Recv != nil && method.Name.Name == "Kind" {
				names = append(names, method.Recv.List[0].Type.(*ast.Ident).Name)
			}
		}
	}
	return names
}

func TestLog(t *testing.T) {
	rejected := TicketRejected{Ticket: 7, ErrorCount: 2, Path: "set", Reason: "is odd"}
	cases := []struct {
		name   string
		format Format
		level  Level
		event  Event
		want   string
	}{
		{"text", FormatText, LevelInfo, rejected, `level=ERROR msg=ticket-rejected event=202 ticket=7 faults=2 path=set reason="is odd"`},
		{"json", FormatJSON, LevelInfo, SourceFailed{Error: errors.New("refused")}, `"msg":"source-failed","event":301,"error":"refused"`},
		{"below the level", FormatText, LevelInfo, PeerConnected{Peer: "h"}, ``},
		{"debug", FormatText, LevelDebug, PeerConnected{Peer: "h"}, `level=DEBUG msg=peer-connected event=401 peer=h`},
		{"errors only", FormatText, LevelError, TicketAccepted{}, ``},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var output bytes.Buffer
			logger, err := NewLogger(&output, tc.format, tc.level)
			require.NoError(t, err)
			Log(logger, tc.event)
			if tc.want == "" {
				require.Empty(t, output.String())
			}
			require.Contains(t, output.String(), tc.want)
		})
	}
	_, err := NewLogger(nil, "xml", LevelInfo)
	require.EqualError(t, err, `log format "xml" is neither text nor json`)
}
