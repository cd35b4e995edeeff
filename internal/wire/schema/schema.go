// Package schema checks JSON documents against a schema and reports every
// fault with its path.
package schema

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// Fault is one fault of a document.
type Fault struct {
	// Path leads to the value, as in targets[3].address. It is empty for the
	// document itself.
	Path    string
	Message string
}

func (f Fault) String() string {
	if f.Path == "" {
		return f.Message
	}

	return f.Path + ": " + f.Message
}

// FaultsError lists every fault of a document.
type FaultsError struct {
	Document string
	Faults   []Fault
}

func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = e.Document + ": " + f.String()
	}

	return strings.Join(lines, "\n")
}

// Schema is a compiled schema.
type Schema struct{ compiled *jsonschema.Schema }

// MustCompile compiles a schema that is part of the program.
func MustCompile(name string, source []byte) *Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(source))
	if err != nil {
		panic(fmt.Sprintf("schema %s: %v", name, err))
	}

	c := jsonschema.NewCompiler()
	if err := c.AddResource(name, doc); err != nil {
		panic(fmt.Sprintf("schema %s: %v", name, err))
	}

	return &Schema{compiled: c.MustCompile(name)}
}

// Check returns the faults of data, sorted by path.
func (s *Schema) Check(data []byte) []Fault {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return []Fault{{Message: "not JSON: " + err.Error()}}
	}

	var invalid *jsonschema.ValidationError
	if err := s.compiled.Validate(doc); !errors.As(err, &invalid) {
		return nil
	}

	var faults []Fault

	collect(invalid, &faults)
	slices.SortStableFunc(faults, func(a, b Fault) int { return strings.Compare(a.Path, b.Path) })

	return slices.Compact(faults)
}

// collect gathers the leaves, which name the values at fault.
func collect(e *jsonschema.ValidationError, faults *[]Fault) {
	if len(e.Causes) == 0 {
		text := e.ErrorKind.LocalizedString(message.NewPrinter(language.English))
		*faults = append(*faults, Fault{Path: Path(e.InstanceLocation...), Message: text})

		return
	}

	for _, cause := range e.Causes {
		collect(cause, faults)
	}
}

// Path joins the steps to a value. Steps that are numbers are indexes.
func Path(steps ...string) string {
	var b strings.Builder

	for _, step := range steps {
		if _, err := strconv.Atoi(step); err == nil {
			b.WriteString("[" + step + "]")

			continue
		}

		if b.Len() > 0 {
			b.WriteByte('.')
		}

		b.WriteString(step)
	}

	return b.String()
}
