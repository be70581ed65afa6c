package crankconf

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// document is a parsed INI file with its faults. It records line numbers itself,
// since the INI library does not keep them.
type document struct {
	file   string
	ini    *ini.File
	lines  map[string]int // by section, a NUL byte and key
	faults []Fault
}

// parseDocument parses a file. Syntax errors become faults of the document.
func parseDocument(file, text string) *document {
	d := &document{file: file, lines: make(map[string]int)}
	d.recordLines(text)
	options := ini.LoadOptions{ChildSectionDelimiter: "\x00", SkipUnrecognizableLines: false}
	parsed, err := ini.LoadSources(options, []byte(text))
	if err != nil {
		d.fault("", "", "%s", err)
		parsed = ini.Empty()
	}
	d.ini = parsed
	if keys := parsed.Section(ini.DefaultSection).Keys(); len(keys) > 0 {
		d.fault("", keys[0].Name(), "the key stands before the first section")
	}
	return d
}

// recordLines records the line of every section and key, and reports duplicates.
func (d *document) recordLines(text string) {
	section := ""
	for n, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		switch {
		case line == "" || strings.HasPrefix(line, "#") || strings.HasPrefix(line, ";"):
		case strings.HasPrefix(line, "["):
			section = strings.TrimSpace(strings.Trim(line, "[]"))
			d.recordLine(section, "", n+1)
		default:
			if key, _, ok := strings.Cut(line, "="); ok {
				d.recordLine(section, strings.TrimSpace(key), n+1)
			}
		}
	}
}

func (d *document) recordLine(section, key string, line int) {
	name := section + "\x00" + key
	if first, ok := d.lines[name]; ok {
		d.faults = append(d.faults, Fault{File: d.file, Line: line, Section: section, Key: key, Message: fmt.Sprintf("it stands on line %d already", first)})
		return
	}
	d.lines[name] = line
}

// fault adds a fault at the line of a key, or of its section if the key is
// missing.
func (d *document) fault(section, key, format string, args ...any) {
	line, ok := d.lines[section+"\x00"+key]
	if !ok {
		line = d.lines[section+"\x00"]
	}
	d.faults = append(d.faults, Fault{File: d.file, Line: line, Section: section, Key: key, Message: fmt.Sprintf(format, args...)})
}

// section reads the values of one section and records which keys were read.
type section struct {
	doc  *document
	name string
	read map[string]bool
}

func (d *document) section(name string) *section {
	return &section{doc: d, name: name, read: make(map[string]bool)}
}

// sectionNames returns the names of all sections by kind, such as "quote" under
// "profile" for [profile quote], and reports sections of unknown kind.
func (d *document) sectionNames(kinds ...string) map[string][]string {
	names := make(map[string][]string)
	for _, s := range d.ini.Sections() {
		if s.Name() == ini.DefaultSection {
			continue
		}
		kind, name, _ := strings.Cut(s.Name(), " ")
		known := false
		for _, k := range kinds {
			known = known || k == kind
		}
		if !known {
			d.fault(s.Name(), "", "unknown section, expected one of %s", strings.Join(kinds, ", "))
			continue
		}
		names[kind] = append(names[kind], strings.TrimSpace(name))
	}
	return names
}

// reportUnknownKeys adds a fault for each key that was not read.
func (s *section) reportUnknownKeys() {
	for _, k := range s.doc.ini.Section(s.name).Keys() {
		if !s.read[k.Name()] {
			s.doc.fault(s.name, k.Name(), "unknown key")
		}
	}
}
