package settings

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/agext/levenshtein"
	"gopkg.in/yaml.v3"
)

// Problem is an error at one position in a settings file.
type Problem struct {
	// File, Line and Column are the position. Lines and columns count from 1.
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
	// Message describes the invalid value and the expected one.
	Message string `json:"message"`
}

// String returns the problem as file:line:column: message, the form that editors
// and CI systems recognise.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Message)
}

// InvalidError is returned for invalid settings files. It lists all problems
// found.
type InvalidError struct{ problems []Problem }

// Problems returns the problems, sorted by file, line and column.
func (e *InvalidError) Problems() []Problem { return slices.Clone(e.problems) }

// Error returns one problem per line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.problems))
	for _, problem := range e.problems {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// document collects the problems of one file while its YAML nodes are read.
type document struct {
	file     string
	problems []Problem
}

// field is a key that a mapping may contain.
type field struct {
	name     string
	required bool
	read     func(value *yaml.Node)
}

func (d *document) addProblem(node *yaml.Node, format string, args ...any) {
	d.problems = append(d.problems, Problem{
		File: d.file, Line: max(node.Line, 1), Column: max(node.Column, 1), Message: fmt.Sprintf(format, args...),
	})
}

// parse returns the root node of a file, or nil if the file is empty or not
// YAML.
func (d *document) parse(text []byte) *yaml.Node {
	if len(text) > maxBranchBytes {
		d.addProblem(&yaml.Node{}, "file has %d bytes; expected at most %d", len(text), maxBranchBytes)
		return nil
	}
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	var node, second yaml.Node
	if err := decoder.Decode(&node); errors.Is(err, io.EOF) {
		return nil
	} else if err != nil {
		d.addSyntaxProblem(err)
		return nil
	}
	if err := decoder.Decode(&second); err == nil {
		d.addProblem(&second, "second YAML document; expected one document per file")
	} else if !errors.Is(err, io.EOF) {
		d.addSyntaxProblem(err)
	}
	if len(node.Content) == 0 {
		return nil
	}
	return node.Content[0]
}

var syntaxErrorPattern = regexp.MustCompile(`^yaml: line (\d+): (.*)$`)

func (d *document) addSyntaxProblem(err error) {
	node, message := &yaml.Node{}, strings.TrimPrefix(err.Error(), "yaml: ")
	if match := syntaxErrorPattern.FindStringSubmatch(err.Error()); match != nil {
		node.Line, _ = strconv.Atoi(match[1])
		message = match[2]
	}
	d.addProblem(node, "not valid YAML: %s", message)
}

// mapping reads each value of a mapping with the field named by its key. It adds a
// problem for each unknown key and each missing required key.
func (d *document) mapping(node *yaml.Node, label string, fields ...field) {
	seen := make(map[string]bool)
	d.mappingEntries(node, label, func(key, value *yaml.Node) {
		seen[key.Value] = true
		i := slices.IndexFunc(fields, func(f field) bool { return f.name == key.Value })
		if i < 0 {
			d.addProblem(key, "unknown key %q in %s; expected %s%s", key.Value, label, joinAlternatives(fieldNames(fields)), suggest(key.Value, fieldNames(fields)))
			return
		}
		fields[i].read(value)
	})
	for _, f := range fields {
		if f.required && !seen[f.name] && node.Kind == yaml.MappingNode {
			d.addProblem(node, "%s lacks the key %q", label, f.name)
		}
	}
}

// mappingEntries calls read for each entry of a mapping that may have any keys.
func (d *document) mappingEntries(node *yaml.Node, label string, read func(key, value *yaml.Node)) {
	if !d.checkNode(node, yaml.MappingNode, label, "a mapping") {
		return
	}
	seen := make(map[string]bool)
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		if !d.checkNode(key, yaml.ScalarNode, "key of "+label, "text") {
			continue
		}
		if seen[key.Value] {
			d.addProblem(key, "key %q occurs twice in %s", key.Value, label)
			continue
		}
		seen[key.Value] = true
		read(key, value)
	}
}

// items calls read for each item of a sequence.
func (d *document) items(node *yaml.Node, label string, read func(item *yaml.Node)) {
	if !d.checkNode(node, yaml.SequenceNode, label, "a list") {
		return
	}
	for _, item := range node.Content {
		read(item)
	}
}

// checkNode checks the kind of a node. Anchors, aliases and tags are rejected,
// since with them the changed lines of a file would not show all changed values.
func (d *document) checkNode(node *yaml.Node, kind yaml.Kind, label, expected string) bool {
	switch {
	case node.Kind == yaml.AliasNode || node.Anchor != "":
		d.addProblem(node, "%s uses a YAML anchor or alias; write the value out", label)
	case node.Style&yaml.TaggedStyle != 0:
		d.addProblem(node, "%s has the YAML tag %q; expected none", label, node.Tag)
	case node.Kind != kind || node.Tag == "!!null":
		d.addProblem(node, "%s is %s; expected %s", label, describe(node), expected)
	default:
		return true
	}
	return false
}

func (d *document) text(node *yaml.Node, label string) (value string, ok bool) {
	if !d.checkNode(node, yaml.ScalarNode, label, "text") {
		return "", false
	}
	return node.Value, true
}

// integer reads a whole number in the range from low to high.
func (d *document) integer(node *yaml.Node, label string, low, high int) (n int, ok bool) {
	expected := fmt.Sprintf("a whole number from %d to %d", low, high)
	if !d.checkNode(node, yaml.ScalarNode, label, expected) {
		return 0, false
	}
	n, err := strconv.Atoi(node.Value)
	if err != nil || node.Tag != "!!int" || n < low || n > high || strconv.Itoa(n) != node.Value {
		d.addProblem(node, "%s is %s; expected %s, without a unit", label, describe(node), expected)
		return 0, false
	}
	return n, true
}

func (d *document) boolean(node *yaml.Node, label string) (value, ok bool) {
	if !d.checkNode(node, yaml.ScalarNode, label, "true or false") {
		return false, false
	}
	if node.Tag != "!!bool" || node.Value != "true" && node.Value != "false" {
		d.addProblem(node, "%s is %s; expected true or false", label, describe(node))
		return false, false
	}
	return node.Value == "true", true
}

var durationPattern = regexp.MustCompile(`^([0-9]+(h|m|s|ms))+$`)

// duration reads a duration such as 1m30s in the range from low to high.
func (d *document) duration(node *yaml.Node, label string, low, high time.Duration) (value time.Duration, ok bool) {
	expected := fmt.Sprintf("a duration from %s to %s with unit ms, s, m or h, such as 500ms or 2s", formatDuration(low), formatDuration(high))
	if !d.checkNode(node, yaml.ScalarNode, label, expected) {
		return 0, false
	}
	value, err := time.ParseDuration(node.Value)
	if err != nil || !durationPattern.MatchString(node.Value) || value < low || value > high {
		d.addProblem(node, "%s is %s; expected %s", label, describe(node), expected)
		return 0, false
	}
	return value, true
}

var (
	sizePattern = regexp.MustCompile(`^([0-9]{1,9})(B|KiB|MiB)$`)
	sizeUnits   = map[string]int64{"B": 1, "KiB": 1 << 10, "MiB": 1 << 20}
)

// size reads a number of bytes such as 64KiB in the range from low to high.
func (d *document) size(node *yaml.Node, label string, low, high int64) (value int64, ok bool) {
	expected := fmt.Sprintf("a size from %dB to %dMiB with unit B, KiB or MiB, such as 64KiB", low, high>>20)
	if !d.checkNode(node, yaml.ScalarNode, label, expected) {
		return 0, false
	}
	if match := sizePattern.FindStringSubmatch(node.Value); match != nil {
		// The pattern allows at most nine digits, so parsing can't fail.
		n, _ := strconv.ParseInt(match[1], 10, 64)
		value = n * sizeUnits[match[2]]
		if value >= low && value <= high {
			return value, true
		}
	}
	d.addProblem(node, "%s is %s; expected %s", label, describe(node), expected)
	return 0, false
}

// enum reads the name of one of the values and returns that value.
func enum[T fmt.Stringer](d *document, node *yaml.Node, label string, values []T) (value T, ok bool) {
	known := make([]string, 0, len(values))
	for _, v := range values {
		known = append(known, v.String())
	}
	if !d.checkNode(node, yaml.ScalarNode, label, joinAlternatives(known)) {
		return value, false
	}
	i := slices.Index(known, node.Value)
	if i < 0 {
		d.addProblem(node, "%s is %s; expected %s%s", label, describe(node), joinAlternatives(known), suggest(node.Value, known))
		return value, false
	}
	return values[i], true
}

func describe(node *yaml.Node) string {
	switch node.Kind {
	case yaml.MappingNode:
		return "a mapping"
	case yaml.SequenceNode:
		return "a list"
	default:
		if node.Tag == "!!null" {
			return "empty"
		}
		return strconv.Quote(node.Value)
	}
}

// suggest returns a hint that names the most similar known word, or "" if no
// known word is similar.
func suggest(word string, known []string) string {
	best, bestDistance := "", len(word)/2+1
	for _, candidate := range known {
		distance := levenshtein.Distance(strings.ToLower(word), strings.ToLower(candidate), nil)
		if distance < bestDistance {
			best, bestDistance = candidate, distance
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %q?", best)
}

func fieldNames(fields []field) []string {
	result := make([]string, 0, len(fields))
	for _, f := range fields {
		result = append(result, f.name)
	}
	return result
}

func joinAlternatives(words []string) string {
	if len(words) < 2 {
		return strings.Join(words, "")
	}
	return strings.Join(words[:len(words)-1], ", ") + " or " + words[len(words)-1]
}

// formatDuration omits trailing zero units: it returns 10m rather than 10m0s.
func formatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// problemsError returns the problems of all documents as one [InvalidError], or
// nil if there are none.
func problemsError(documents ...*document) error {
	var problems []Problem
	for _, d := range documents {
		problems = append(problems, d.problems...)
	}
	if len(problems) == 0 {
		return nil
	}
	slices.SortStableFunc(problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return &InvalidError{problems: problems}
}
