// Package crankconf parses and validates the settings of a process and the
// configuration that operators publish. Both are INI files. All faults of a file
// are reported together, with their line numbers.
package crankconf

import (
	"fmt"
	"strings"
)

// Fault is a problem in a file.
type Fault struct {
	File    string `json:"file"`
	Line    int    `json:"line"` // from 1, 0 if it concerns the whole file
	Section string `json:"section"`
	Key     string `json:"key"`
	Message string `json:"message"`
}

// String returns FILE:LINE: [SECTION: KEY]: MESSAGE without the parts that are
// not set.
func (f Fault) String() string {
	where := f.File
	if f.Line > 0 {
		where = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	name := f.Section
	if f.Key != "" {
		name = fmt.Sprintf("%s: %s", f.Section, f.Key)
	}
	if name == "" {
		return fmt.Sprintf("%s: %s", where, f.Message)
	}
	return fmt.Sprintf("%s: [%s]: %s", where, name, f.Message)
}

// Error lists all faults of a failed read or validation.
type Error struct {
	Op     string
	Faults []Fault
}

// Error returns the faults, one per line.
func (e *Error) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
