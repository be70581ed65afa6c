package crankconf

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// document is a parsed INI file with the lines of its keys.
type document struct {
	file   string
	ini    *ini.File
	lines  map[string]int // by section and key
	faults []Fault
}

// parse reads a file's text. Faults are collected in the document.
func parse(file, text string) *document {
	d := &document{file: file, lines: make(map[string]int)}
	d.index(text)
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

// index notes the line of every section and key, and reports those that stand
// twice.
func (d *document) index(text string) {
	section := ""
	for n, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		switch {
		case line == "" || strings.HasPrefix(line, "#") || strings.HasPrefix(line, ";"):
		case strings.HasPrefix(line, "["):
			section = strings.TrimSpace(strings.Trim(line, "[]"))
			d.note(section, "", n+1)
		default:
			if key, _, ok := strings.Cut(line, "="); ok {
				d.note(section, strings.TrimSpace(key), n+1)
			}
		}
	}
}

func (d *document) note(section, key string, line int) {
	name := section + "\x00" + key
	if first, ok := d.lines[name]; ok {
		d.faults = append(d.faults, Fault{File: d.file, Line: line, Section: section, Key: key, Message: fmt.Sprintf("it stands on line %d already", first)})
		return
	}
	d.lines[name] = line
}

func (d *document) fault(section, key, format string, args ...any) {
	line, ok := d.lines[section+"\x00"+key]
	if !ok {
		line = d.lines[section+"\x00"]
	}
	d.faults = append(d.faults, Fault{File: d.file, Line: line, Section: section, Key: key, Message: fmt.Sprintf(format, args...)})
}

// section is a reader of the keys of one section. Keys that were not read are
// reported as unknown by finish.
type section struct {
	doc  *document
	name string
	read map[string]bool
}

func (d *document) section(name string) *section {
	return &section{doc: d, name: name, read: make(map[string]bool)}
}

// named returns the names of all sections of a kind, as "quote" for the
// section [profile quote], and reports sections of no known kind.
func (d *document) named(kinds ...string) map[string][]string {
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

// finish reports the keys that nothing read.
func (s *section) finish() {
	for _, k := range s.doc.ini.Section(s.name).Keys() {
		if !s.read[k.Name()] {
			s.doc.fault(s.name, k.Name(), "unknown key")
		}
	}
}
