// Package configcheck finds errors, entries without effect and contradictions in a desired
// state, and its differences from another one. It does no I/O.
//
// # Usage
//
//	next := configcheck.Inspect("next.json", text)
//	findings := next.Check()
//	findings = append(findings, next.Differences(inForce)...)
//
// Errors are found by the code with which nodes decode a desired state, and those of the
// product's own settings by the code with which nodes parse them. The cost grows with
// the size of the document; to check and compare two with 5,000 workspaces of ten keys each
// takes half a second.
package configcheck

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/agext/levenshtein"

	"github.com/lacewingslip/lacewingslip/desired"
	"github.com/lacewingslip/lacewingslip/platform"
	"github.com/lacewingslip/lacewingslip/settings"
)

// Severity states how a finding affects the version that has it.
type Severity string

const (
	// Error means that nodes do not take the version.
	Error Severity = "error"
	// Warning means that the version is taken, and probably not as intended.
	Warning Severity = "warning"
	// Info means a difference from the version in force.
	Info Severity = "info"
)

// Kind is the kind of a finding.
type Kind string

const (
	// Rejected is an error for which nodes reject the version.
	Rejected Kind = "rejected"
	// OldVersion is a version that nodes ignore, because theirs is as high or higher.
	OldVersion Kind = "oldVersion"
	// Ignored is a name that nodes ignore and that is similar to one that they know.
	Ignored Kind = "ignored"
	// NeverMatches is a route that receives no requests.
	NeverMatches Kind = "neverMatches"
	// Unused is an entry that nothing refers to or that another one replaces.
	Unused Kind = "unused"
	// NoKeys is a workspace that no request can belong to.
	NoKeys Kind = "noKeys"
	// SameKey is a key that an earlier workspace has.
	SameKey Kind = "sameKey"
	// NoEffect is a value that never applies.
	NoEffect Kind = "noEffect"
	// Contradiction is a limit that another one makes unreachable.
	Contradiction Kind = "contradiction"
	// Added is an entry that the version in force lacks.
	Added Kind = "added"
	// Removed is an entry that only the version in force has.
	Removed Kind = "removed"
	// Changed is an entry that differs from the version in force.
	Changed Kind = "changed"
)

// Finding is one result of a check.
type Finding struct {
	File string `json:"file"`
	// Line counts from 1.
	Line int `json:"line"`
	// Column counts from 1. It is 0 for a desired state.
	Column int `json:"column,omitempty"`
	// Path is the place in the document, such as "Resources[3].Spec.Host". It is empty for
	// the whole document.
	Path     string   `json:"path"`
	Severity Severity `json:"severity"`
	Kind     Kind     `json:"kind"`
	Message  string   `json:"message"`
	Expected string   `json:"expected,omitempty"`
	// Meant is what was probably meant, or empty if that is not known.
	Meant string `json:"meant,omitempty"`
}

// String returns the finding as one line of text.
func (f Finding) String() string {
	text := fmt.Sprintf("%s:%d: ", f.File, f.Line)
	if f.Column > 0 {
		text = fmt.Sprintf("%s:%d:%d: ", f.File, f.Line, f.Column)
	}
	if f.Path != "" {
		text += f.Path + ": "
	}
	text += fmt.Sprintf("%s: %s", f.Severity, f.Message)
	// The errors of nodes state most of the time what they expected.
	if f.Expected != "" && !strings.Contains(f.Message, "expected "+f.Expected) {
		text += "; expected " + f.Expected
	}
	if f.Meant != "" {
		text += "; probably meant: " + f.Meant
	}
	return text
}

// CheckSettings returns the findings of a tree of settings: the problems for which nodes reject
// it.
func CheckSettings(root settings.File, branches ...settings.File) (findings []Finding, err error) {
	_, err = settings.Parse(root, branches...)
	var invalid *settings.InvalidError
	if !errors.As(err, &invalid) {
		return nil, err
	}
	for _, problem := range invalid.Problems() {
		message, meant, _ := strings.Cut(problem.Message, "; did you mean ")
		message, expected, _ := strings.Cut(message, "; expected ")
		findings = append(findings, Finding{
			File: problem.File, Line: problem.Line, Column: problem.Column, Severity: Error, Kind: Rejected,
			Message: message, Expected: expected, Meant: strings.Trim(meant, `"?`),
		})
	}
	return findings, nil
}

// Document is a desired state to be checked.
type Document struct {
	file string
	*platform.Inspection
}

// Inspect decodes a desired state. file is its name in findings.
func Inspect(file string, text []byte) Document {
	return Document{file, platform.InspectDesiredState(text)}
}

func (d Document) finding(place platform.Place, severity Severity, kind Kind, message, expected, meant string) Finding {
	return Finding{
		File: d.file, Line: place.Line, Path: place.Path,
		Severity: severity, Kind: kind, Message: message, Expected: expected, Meant: meant,
	}
}

// Check returns the findings of the document on its own, in the order of its lines. A document
// that nodes reject has only its errors, since entries may refer to an invalid one.
func (d Document) Check() (findings []Finding) {
	for _, fault := range d.Faults {
		findings = append(findings, d.finding(fault.Place, Error, Rejected, "nodes reject the version: "+fault.Err.Error(), fault.Expected, ""))
	}
	findings = append(findings, d.ignoredNames()...)
	if d.State != nil {
		findings = slices.Concat(findings, d.checkRoutes(), d.checkServices(), d.checkWorkspaces())
	}
	slices.SortStableFunc(findings, func(a, b Finding) int { return cmp.Compare(a.Line, b.Line) })
	return findings
}

// ignoredNames returns the unknown names that are similar to a known one. Others may belong
// to other readers of the desired state.
func (d Document) ignoredNames() (findings []Finding) {
	for _, unknown := range d.Unknown {
		if meant := mostSimilar(unknown.Name, unknown.Known); meant != "" {
			findings = append(findings, d.finding(unknown.Place, Warning, Ignored,
				fmt.Sprintf("nodes ignore the unknown name %q", unknown.Name), "one of "+strings.Join(unknown.Known, ", "), meant))
		}
	}
	return findings
}

func (d Document) checkRoutes() (findings []Finding) {
	type match struct{ host, prefix string }
	first := make(map[match]string)
	for _, route := range d.Routes {
		r := route.Value
		add := func(field string, kind Kind, message, expected, meant string) {
			findings = append(findings, d.finding(route.Place(field), Warning, kind, fmt.Sprintf("route %q %s", r.Name(), message), expected, meant))
		}
		key := match{r.Host(), r.Prefix()}
		if earlier, taken := first[key]; taken {
			add(platform.FieldPathPrefix, NeverMatches, fmt.Sprintf("is hidden by route %q with the same host and prefix", earlier),
				"a host and prefix of its own", "another prefix, or one route that is split between services")
		} else {
			first[key] = r.Name()
		}
		if r.Prefix() != "" && !strings.HasPrefix(r.Prefix(), "/") {
			add(platform.FieldPathPrefix, NeverMatches, fmt.Sprintf("has the prefix %q, and paths begin with /", r.Prefix()),
				"a prefix that begins with /", "/"+r.Prefix())
		}
		if r.Timeout() > 0 && r.Timeout() < r.TargetLatency() {
			add(platform.FieldTimeout, Contradiction, fmt.Sprintf("ends requests after %v, before their response-time goal of %v", r.Timeout(), r.TargetLatency()),
				fmt.Sprintf("a time-out of %v or more", r.TargetLatency()), "a longer time-out or a shorter goal")
		}
		if d.priorityOverridden(r) && route.Has(platform.FieldPriority) {
			add(platform.FieldPriority, NoEffect, fmt.Sprintf("has the priority %d, and each workspace has one that takes precedence", r.Priority()),
				"no priority", "a workspace without priority")
		}
	}
	return findings
}

// priorityOverridden reports whether the workspaces' priorities apply to all requests of the
// route.
func (d Document) priorityOverridden(r *desired.Route) bool {
	return !r.Anonymous() && len(d.Workspaces) > 0 && !slices.ContainsFunc(d.Workspaces, func(w platform.Located[*desired.Workspace]) bool {
		_, hasPriority := w.Value.Priority()
		return !hasPriority && len(w.Value.Keys()) > 0
	})
}

func (d Document) checkServices() (findings []Finding) {
	named, last := make(map[string]bool), make(map[string]int)
	for _, route := range d.Routes {
		for _, target := range route.Value.Targets() {
			named[target.Service] = true
		}
	}
	for n, service := range d.Services {
		last[service.Value.Name] = n
	}
	var undeclared []string
	for name := range named {
		if _, declared := last[name]; !declared {
			undeclared = append(undeclared, name)
		}
	}
	slices.Sort(undeclared)
	for n, service := range d.Services {
		name := service.Value.Name
		switch {
		case last[name] != n:
			findings = append(findings, d.finding(service.Place(""), Warning, Unused,
				fmt.Sprintf("service %q is replaced by a later entry of the same name", name), "one entry for each service", ""))
		case !named[name]:
			findings = append(findings, d.finding(service.Place(""), Warning, Unused,
				fmt.Sprintf("no route or split names the service %q", name), "a route to it", mostSimilar(name, undeclared)))
		}
	}
	return findings
}

func (d Document) checkWorkspaces() (findings []Finding) {
	owner := make(map[desired.KeyDigest]string)
	for _, workspace := range d.Workspaces {
		w := workspace.Value
		add := func(field string, kind Kind, message, expected, meant string) {
			findings = append(findings, d.finding(workspace.Place(field), Warning, kind, fmt.Sprintf("workspace %q %s", w.Name(), message), expected, meant))
		}
		if len(w.Keys()) == 0 {
			add(platform.FieldKeys, NoKeys, "has no keys, so that no request belongs to it", "at least one key", "")
		}
		for _, key := range w.Keys() {
			earlier, taken := owner[key]
			switch {
			case !taken:
				owner[key] = w.Name()
			case earlier == w.Name():
				add(platform.FieldKeys, SameKey, fmt.Sprintf("has the key with the digest %x twice", key), "each key once", "")
			default:
				add(platform.FieldKeys, SameKey, fmt.Sprintf("has the key with the digest %x, which belongs to workspace %q", key, earlier), "a key of its own", "")
			}
		}
		if w.Rate() > 0 && w.Burst() < 1 {
			add(platform.FieldBurst, Contradiction, fmt.Sprintf("has a cap of %v requests/s with a burst of %v, which refuses callers that keep to the rate", w.Rate(), w.Burst()),
				"a burst of 1 or more", fmt.Sprintf("%v, the requests of one second", max(w.Rate(), 1)))
		}
	}
	return findings
}

// maxDistance is the number of letters by which a name may differ from the one that was
// meant. Names of services often differ in a digit and a letter only.
const maxDistance = 2

// mostSimilar returns the most similar name, or "" if none is similar.
func mostSimilar(name string, known []string) (best string) {
	bestDistance := min(maxDistance, len(name)/2) + 1
	for _, candidate := range known {
		if distance := levenshtein.Distance(strings.ToLower(name), strings.ToLower(candidate), nil); distance < bestDistance {
			best, bestDistance = candidate, distance
		}
	}
	return best
}
