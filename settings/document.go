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

// Problem is something wrong at one place of a file.
type Problem struct {
	// File, Line and Column say where. Lines and columns count from 1.
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
	// Message says what is wrong and what was expected.
	Message string `json:"message"`
}

// String has the form that editors and CI systems recognise.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d:%d: %s", p.File, p.Line, p.Column, p.Message)
}

// InvalidError is returned for files that break a rule. It lists all problems
// found.
type InvalidError struct{ problems []Problem }

// Problems returns the problems in order of file, line and column.
func (e *InvalidError) Problems() []Problem { return slices.Clone(e.problems) }

// Error gives one problem per line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.problems))
	for _, problem := range e.problems {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// document collects the problems of one file while its nodes are read.
type document struct {
	file     string
	problems []Problem
}

// field is a key that a mapping may hold.
type field struct {
	name     string
	required bool
	read     func(value *yaml.Node)
}

func (d *document) fail(node *yaml.Node, format string, args ...any) {
	d.problems = append(d.problems, Problem{
		File: d.file, Line: max(node.Line, 1), Column: max(node.Column, 1), Message: fmt.Sprintf(format, args...),
	})
}

// parse returns the root node of a file, or nil if the file is empty or not
// YAML.
func (d *document) parse(text []byte) *yaml.Node {
	if len(text) > maxBranchBytes {
		d.fail(&yaml.Node{}, "file has %d bytes; expected at most %d", len(text), maxBranchBytes)
		return nil
	}
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	var node, second yaml.Node
	if err := decoder.Decode(&node); errors.Is(err, io.EOF) {
		return nil
	} else if err != nil {
		d.failSyntax(err)
		return nil
	}
	if err := decoder.Decode(&second); err == nil {
		d.fail(&second, "second YAML document; expected one document per file")
	} else if !errors.Is(err, io.EOF) {
		d.failSyntax(err)
	}
	if len(node.Content) == 0 {
		return nil
	}
	return node.Content[0]
}

var syntaxLine = regexp.MustCompile(`^yaml: line (\d+): (.*)$`)

func (d *document) failSyntax(err error) {
	node, message := &yaml.Node{}, strings.TrimPrefix(err.Error(), "yaml: ")
	if match := syntaxLine.FindStringSubmatch(err.Error()); match != nil {
		node.Line, _ = strconv.Atoi(match[1])
		message = match[2]
	}
	d.fail(node, "not valid YAML: %s", message)
}

// mapping reads the keys of a mapping, each with the field of that name.
func (d *document) mapping(node *yaml.Node, what string, fields ...field) {
	seen := make(map[string]bool)
	d.entries(node, what, func(key, value *yaml.Node) {
		seen[key.Value] = true
		i := slices.IndexFunc(fields, func(f field) bool { return f.name == key.Value })
		if i < 0 {
			d.fail(key, "unknown key %q in %s; expected %s%s", key.Value, what, list(names(fields)), suggest(key.Value, names(fields)))
			return
		}
		fields[i].read(value)
	})
	for _, f := range fields {
		if f.required && !seen[f.name] && node.Kind == yaml.MappingNode {
			d.fail(node, "%s lacks the key %q", what, f.name)
		}
	}
}

// entries calls read for each entry of a mapping with keys of any name.
func (d *document) entries(node *yaml.Node, what string, read func(key, value *yaml.Node)) {
	if !d.plain(node, yaml.MappingNode, what, "a mapping") {
		return
	}
	seen := make(map[string]bool)
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		if !d.plain(key, yaml.ScalarNode, "key of "+what, "text") {
			continue
		}
		if seen[key.Value] {
			d.fail(key, "key %q occurs twice in %s", key.Value, what)
			continue
		}
		seen[key.Value] = true
		read(key, value)
	}
}

// items calls read for each item of a sequence.
func (d *document) items(node *yaml.Node, what string, read func(item *yaml.Node)) {
	if !d.plain(node, yaml.SequenceNode, what, "a list") {
		return
	}
	for _, item := range node.Content {
		read(item)
	}
}

// plain checks the kind of a node. Anchors, aliases and tags are refused: the
// lines of a change would no longer show all that it changes.
func (d *document) plain(node *yaml.Node, kind yaml.Kind, what, expected string) bool {
	switch {
	case node.Kind == yaml.AliasNode || node.Anchor != "":
		d.fail(node, "%s uses a YAML anchor or alias; write the value out", what)
	case node.Style&yaml.TaggedStyle != 0:
		d.fail(node, "%s has the YAML tag %q; expected none", what, node.Tag)
	case node.Kind != kind || node.Tag == "!!null":
		d.fail(node, "%s is %s; expected %s", what, describe(node), expected)
	default:
		return true
	}
	return false
}

func (d *document) text(node *yaml.Node, what string) (value string, ok bool) {
	if !d.plain(node, yaml.ScalarNode, what, "text") {
		return "", false
	}
	return node.Value, true
}

// integer reads a whole number from low to high.
func (d *document) integer(node *yaml.Node, what string, low, high int) (n int, ok bool) {
	expected := fmt.Sprintf("a whole number from %d to %d", low, high)
	if !d.plain(node, yaml.ScalarNode, what, expected) {
		return 0, false
	}
	n, err := strconv.Atoi(node.Value)
	if err != nil || node.Tag != "!!int" || n < low || n > high || strconv.Itoa(n) != node.Value {
		d.fail(node, "%s is %s; expected %s, without a unit", what, describe(node), expected)
		return 0, false
	}
	return n, true
}

func (d *document) boolean(node *yaml.Node, what string) (value, ok bool) {
	if !d.plain(node, yaml.ScalarNode, what, "true or false") {
		return false, false
	}
	if node.Tag != "!!bool" || node.Value != "true" && node.Value != "false" {
		d.fail(node, "%s is %s; expected true or false", what, describe(node))
		return false, false
	}
	return node.Value == "true", true
}

var durationForm = regexp.MustCompile(`^([0-9]+(h|m|s|ms))+$`)

// duration reads a duration from low to high, such as 1m30s.
func (d *document) duration(node *yaml.Node, what string, low, high time.Duration) (value time.Duration, ok bool) {
	expected := fmt.Sprintf("a duration from %s to %s with unit ms, s, m or h, such as 500ms or 2s", formatDuration(low), formatDuration(high))
	if !d.plain(node, yaml.ScalarNode, what, expected) {
		return 0, false
	}
	value, err := time.ParseDuration(node.Value)
	if err != nil || !durationForm.MatchString(node.Value) || value < low || value > high {
		d.fail(node, "%s is %s; expected %s", what, describe(node), expected)
		return 0, false
	}
	return value, true
}

var (
	sizeForm  = regexp.MustCompile(`^([0-9]{1,9})(B|KiB|MiB)$`)
	sizeUnits = map[string]int64{"B": 1, "KiB": 1 << 10, "MiB": 1 << 20}
)

// size reads a number of bytes from low to high, such as 64KiB.
func (d *document) size(node *yaml.Node, what string, low, high int64) (value int64, ok bool) {
	expected := fmt.Sprintf("a size from %dB to %dMiB with unit B, KiB or MiB, such as 64KiB", low, high>>20)
	if !d.plain(node, yaml.ScalarNode, what, expected) {
		return 0, false
	}
	if match := sizeForm.FindStringSubmatch(node.Value); match != nil {
		// The form has at most nine digits, so parsing can't fail.
		n, _ := strconv.ParseInt(match[1], 10, 64)
		value = n * sizeUnits[match[2]]
		if value >= low && value <= high {
			return value, true
		}
	}
	d.fail(node, "%s is %s; expected %s", what, describe(node), expected)
	return 0, false
}

// enum reads one of the names and returns the value at its place.
func enum[T fmt.Stringer](d *document, node *yaml.Node, what string, values []T) (value T, ok bool) {
	known := make([]string, 0, len(values))
	for _, v := range values {
		known = append(known, v.String())
	}
	if !d.plain(node, yaml.ScalarNode, what, list(known)) {
		return value, false
	}
	i := slices.Index(known, node.Value)
	if i < 0 {
		d.fail(node, "%s is %s; expected %s%s", what, describe(node), list(known), suggest(node.Value, known))
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

// suggest names the known word that was probably meant, if there is one.
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

func names(fields []field) []string {
	result := make([]string, 0, len(fields))
	for _, f := range fields {
		result = append(result, f.name)
	}
	return result
}

func list(words []string) string {
	if len(words) < 2 {
		return strings.Join(words, "")
	}
	return strings.Join(words[:len(words)-1], ", ") + " or " + words[len(words)-1]
}

// formatDuration leaves out zero units: 10m in place of 10m0s.
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

// invalid returns the problems of all documents as one error, or nil.
func invalid(documents ...*document) error {
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
