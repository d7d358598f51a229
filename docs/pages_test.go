package docs_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/cmd/wasabiport/settings"
	"github.com/wasabiport/wasabiport/transport/events"
)

// TestGeneratedSections compares the generated sections of the pages with the code.
// With UPDATE_DOCS=1 it rewrites the sections instead.
func TestGeneratedSections(t *testing.T) {
	cases := []struct {
		page    string
		section string
		want    string
	}{
		{"EVENTS.md", "events", eventsTable()},
		{"METRICS.md", "metrics", metricsTable(t)},
		{"OPERATORS.md", "settings", settingsTable()},
	}
	for _, tc := range cases {
		t.Run(tc.page, func(t *testing.T) { checkSection(t, tc.page, tc.section, tc.want) })
	}
}

// checkSection compares the section between two markers of a page with want.
func checkSection(t *testing.T, page, section, want string) {
	content, err := os.ReadFile(page)
	require.NoError(t, err)
	begin := fmt.Sprintf("<!-- generated: %s -->\n", section)
	before, rest, found := strings.Cut(string(content), begin)
	require.True(t, found, "%s has no line %q", page, begin)
	got, after, found := strings.Cut(rest, "<!-- end -->\n")
	require.True(t, found, "%s: section %s has no end", page, section)
	if os.Getenv("UPDATE_DOCS") != "" {
		require.NoError(t, os.WriteFile(page, []byte(before+begin+want+"<!-- end -->\n"+after), 0o644))
		return
	}
	require.Equal(t, want, got, "run UPDATE_DOCS=1 go test ./docs")
}

// table returns a Markdown table.
func table(header []string, rows [][]string) string {
	var b strings.Builder
	dashes := make([]string, len(header))
	for i := range dashes {
		dashes[i] = "---"
	}
	for _, row := range append([][]string{header, dashes}, rows...) {
		b.WriteString("| " + strings.Join(row, " | ") + " |\n")
	}
	return b.String()
}

func code(names ...string) string {
	if len(names) == 0 {
		return "none"
	}
	return "`" + strings.Join(names, "`, `") + "`"
}

func eventsTable() string {
	var rows [][]string
	for _, event := range events.Catalogue() {
		kind := event.Kind()
		rows = append(rows, []string{
			fmt.Sprint(kind.Number), kind.Level.String(), code(kind.Name), code(events.FieldNames(event)...), kind.Description,
		})
	}
	return table([]string{"number", "level", "name", "fields", "meaning"}, rows)
}

func settingsTable() string {
	var rows [][]string
	for _, setting := range settings.Describe(settings.DefaultNode()) {
		defaultText := "required"
		if !setting.Required() {
			defaultText = code(setting.Default)
		}
		rows = append(rows, []string{code("--" + setting.Flag), code(setting.Variable()), defaultText, setting.Usage})
	}
	return table([]string{"flag", "variable", "default", "meaning"}, rows)
}
