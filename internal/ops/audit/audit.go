// Package audit checks an operators' document before it is sent, and compares it
// with the version in force. It answers the load that a mistake in a document
// causes: calls refused for a key that another team holds, queues that no call
// reaches, guarantees that cannot be kept. Its decision is a pure function from a
// document, and what is known of the workers, to findings. The command line calls
// it, and platform supplies the platform's document.
package audit

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/rattanshore/rattanshore/internal/ops/place"
)

// Severity tells what a finding means for the document.
type Severity string

// The severities, worst first.
const (
	// Error means that the document is refused, or has an effect that contradicts
	// its text.
	Error Severity = "error"
	// Warning means that an entry has no effect, or that two entries contradict
	// each other.
	Warning Severity = "warning"
	// Change is a difference in meaning from the version in force.
	Change Severity = "change"
	// Note is worth knowing and needs no action.
	Note Severity = "note"
)

// severities lists the severities in the order of a report.
var severities = []Severity{Error, Warning, Change, Note}

// Finding is one result of a check.
type Finding struct {
	Severity Severity    `json:"severity"`
	Rule     string      `json:"rule"`
	Place    place.Place `json:"place"`
	Problem  string      `json:"problem"`
	// Want tells what would be right; it is empty for changes.
	Want string `json:"want,omitempty"`
}

// Report is the result of all checks of one document.
type Report struct {
	File     string    `json:"file"`
	Errors   int       `json:"errors"`
	Warnings int       `json:"warnings"`
	Changes  int       `json:"changes"`
	Notes    int       `json:"notes"`
	Omitted  int       `json:"omitted,omitempty"`
	Findings []Finding `json:"findings"`
}

// maxListed bounds the findings that a report lists. All findings are counted.
const maxListed = 1000

// NewReport sorts the findings of a file by severity, then by place.
func NewReport(file string, findings []Finding) Report {
	slices.SortStableFunc(findings, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(slices.Index(severities, a.Severity), slices.Index(severities, b.Severity)),
			cmp.Compare(a.Place.Line, b.Place.Line),
			cmp.Compare(a.Place.Column, b.Place.Column),
		)
	})
	r := Report{File: file, Findings: findings}
	for _, f := range findings {
		switch f.Severity {
		case Error:
			r.Errors++
		case Warning:
			r.Warnings++
		case Change:
			r.Changes++
		case Note:
			r.Notes++
		}
	}
	if len(findings) > maxListed {
		r.Findings, r.Omitted = findings[:maxListed], len(findings)-maxListed
	}
	if r.Findings == nil {
		r.Findings = []Finding{}
	}
	return r
}

// Fails reports whether the document should not be sent. If strict is set,
// warnings count as errors.
func (r Report) Fails(strict bool) bool {
	return r.Errors > 0 || strict && r.Warnings > 0
}

// Structure converts problems with a document's form to findings. Unknown keys get
// the given severity.
func Structure(problems []place.Problem, unknownKey func(place.Problem) Severity) []Finding {
	var findings []Finding
	for _, p := range problems {
		f := Finding{Severity: Error, Rule: "value", Place: p.Place, Problem: p.Problem, Want: p.Want}
		if p.Key {
			f.Severity, f.Rule = unknownKey(p), "key"
		}
		findings = append(findings, f)
	}
	return findings
}

// Syntax returns the finding for a document that is not well-formed.
func Syntax(at place.Place, err error) Finding {
	return Finding{Severity: Error, Rule: "syntax", Place: at, Problem: strings.Join(strings.Fields(err.Error()), " "), Want: "a well-formed document"}
}

// plural returns a number with its noun.
func plural(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}
