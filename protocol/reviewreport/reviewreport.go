// Package reviewreport encodes the report of a configuration review, as JSON and as the
// rows of a table.
package reviewreport

import (
	"strconv"

	"github.com/wasabiport/wasabiport/coordination/configreview"
)

// Report is the JSON form of a report.
type Report struct {
	Accepted bool      `json:"accepted"`
	Findings []Finding `json:"findings"`
	Changes  []Change  `json:"changes"`
}

// Finding is the JSON form of a finding.
type Finding struct {
	Kind   configreview.Kind `json:"kind"`
	Path   string            `json:"path"`
	Detail string            `json:"detail"`
}

// Change is the JSON form of a changed resource.
type Change struct {
	Action   configreview.Action `json:"action"`
	Resource string              `json:"resource"`
	Name     string              `json:"name"`
	Fields   []FieldChange       `json:"fields,omitempty"`
}

// FieldChange is the JSON form of a changed field.
type FieldChange struct {
	Field  string `json:"field"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// Encode returns the JSON form of a report.
func Encode(report configreview.Report) Report {
	encoded := Report{Accepted: !report.Rejected(), Findings: []Finding{}, Changes: []Change{}}
	for _, finding := range report.Findings {
		encoded.Findings = append(encoded.Findings, Finding(finding))
	}
	for _, change := range report.Changes {
		encoded.Changes = append(encoded.Changes, encodeChange(change))
	}
	return encoded
}

func encodeChange(change configreview.Change) Change {
	encoded := Change{Action: change.Action, Resource: change.Resource, Name: change.Name}
	for _, fieldChange := range change.Fields {
		encoded.Fields = append(encoded.Fields, FieldChange(fieldChange))
	}
	return encoded
}

// Rows returns a report as the rows of a table: a header, the findings, then one row for
// each changed field and for each resource that is added or removed.
func Rows(report configreview.Report) [][]string {
	rows := [][]string{{"KIND", "PLACE", "DETAIL"}}
	for _, finding := range report.Findings {
		rows = append(rows, []string{string(finding.Kind), finding.Path, finding.Detail})
	}
	for _, change := range report.Changes {
		place := change.Resource + " " + change.Name
		if len(change.Fields) == 0 {
			rows = append(rows, []string{string(change.Action), place, ""})
		}
		for _, fieldChange := range change.Fields {
			detail := strconv.Quote(fieldChange.Before) + " becomes " + strconv.Quote(fieldChange.After)
			rows = append(rows, []string{string(change.Action), place + " " + fieldChange.Field, detail})
		}
	}
	return rows
}
