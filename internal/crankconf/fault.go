// Package crankconf reads and checks the settings of a process and the
// configuration that operators publish. Both are INI files.
package crankconf

import (
	"fmt"
	"strings"
)

// Fault is one thing that is wrong in a file.
type Fault struct {
	File    string `json:"file"`
	Line    int    `json:"line"` // from 1, 0 when the whole file is meant
	Section string `json:"section"`
	Key     string `json:"key"`
	Message string `json:"message"`
}

// String returns the fault as one line.
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

// Error lists everything that is wrong. It implements error.
type Error struct {
	Op     string
	Faults []Fault
}

// Error implements error.
func (e *Error) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}
