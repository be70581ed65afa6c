package crankconf

import (
	"encoding/hex"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	crank "cranberrycrank"
)

// Limits of configuration values.
const (
	maxAccelerators = 64
	maxCores        = 1024
	maxMemoryMiB    = 16 << 20
	maxCells        = 4096
	maxRunTime      = 60 * 24 * time.Hour
	maxAttempts     = 20
	maxRate         = 100000
	maxWaitingJobs  = 1000000
	keyHexDigits    = 64 // of a SHA-256 sum
)

// ReadDirectory reads a configuration from the .ini files of a directory. The
// error is an *Error that lists all faults.
func ReadDirectory(path string) (crank.Config, error) {
	entries, err := os.ReadDir(path)
	if err != nil {
		return crank.Config{}, &Error{Op: "configuration read", Faults: []Fault{{File: path, Message: err.Error()}}}
	}
	var files []crank.File
	for _, e := range entries {
		if e.IsDir() || !strings.HasSuffix(e.Name(), ".ini") {
			continue
		}
		text, err := os.ReadFile(filepath.Join(path, e.Name()))
		if err != nil {
			return crank.Config{}, &Error{Op: "configuration read", Faults: []Fault{{File: e.Name(), Message: err.Error()}}}
		}
		files = append(files, crank.File{Name: e.Name(), Text: string(text)})
	}
	return ParseFiles(files)
}

// ParseFiles parses and validates a configuration. The error is an *Error that
// lists all faults.
func ParseFiles(files []crank.File) (crank.Config, error) {
	c := crank.Config{Files: files, Objective: crank.ObjectiveCompletion}
	var faults []Fault
	var guarantees []parsedGuarantee
	for _, file := range files {
		d := parseDocument(file.Name, file.Text)
		names := d.sectionNames("deployment", "zone", "profile", "workspace", "guarantee")
		for range names["deployment"] {
			c.Objective = readDeployment(d)
		}
		for _, n := range names["zone"] {
			c.Zones = append(c.Zones, readZone(d, n))
		}
		for _, n := range names["profile"] {
			c.Profiles = append(c.Profiles, readProfile(d, n))
		}
		for _, n := range names["workspace"] {
			c.Workspaces = append(c.Workspaces, readWorkspace(d, n))
		}
		for _, n := range names["guarantee"] {
			guarantees = append(guarantees, readGuarantee(d, n))
		}
		faults = append(faults, d.faults...)
	}
	c, crossFileFaults := resolveGuarantees(c, guarantees)
	faults = append(faults, crossFileFaults...)
	if len(faults) > 0 {
		return crank.Config{}, &Error{Op: "configuration check", Faults: faults}
	}
	return c, nil
}

func readDeployment(d *document) crank.Objective {
	s := d.section("deployment")
	defer s.reportUnknownKeys()
	return crank.Objective(s.choice("objective", string(crank.ObjectiveCompletion), string(crank.ObjectiveCompletion), string(crank.ObjectiveFragmentation)))
}

func readZone(d *document, name string) crank.Zone {
	s := d.namedSection("zone", name)
	defer s.reportUnknownKeys()
	return crank.Zone{Name: name, Region: s.requiredName("region")}
}

// namedSection returns a section such as [zone ikeja] and validates its name.
func (d *document) namedSection(kind, name string) *section {
	s := d.section(kind + " " + name)
	if !namePattern.MatchString(name) {
		d.fault(s.name, "", "%q is no name of lower-case letters, digits and hyphens", name)
	}
	return s
}

func readProfile(d *document, name string) crank.Profile {
	s := d.namedSection("profile", name)
	defer s.reportUnknownKeys()
	p := crank.Profile{
		Name:           name,
		Class:          crank.Class(s.choice("class", "", string(crank.ClassUrgent), string(crank.ClassPatient))),
		Idempotent:     s.boolean("idempotent", false),
		Checkpointable: s.boolean("checkpointable", false),
		Anonymous:      s.boolean("anonymous", false),
		Shape:          readShape(s),
		RunTime:        s.duration("run-time", 0, time.Millisecond, maxRunTime),
		Deadline:       s.duration("deadline", 0, 0, maxRunTime),
		StopTime:       s.duration("stop-time", 0, 0, time.Hour),
		Attempts:       s.integer("attempts", 3, 1, maxAttempts),
		Objective:      s.number("objective", 0.99, 0, 0.99999),
		Latency:        s.duration("latency", 0, 0, maxRunTime),
	}
	if !p.Idempotent && p.Attempts > 1 && d.ini.Section(s.name).HasKey("attempts") {
		s.fault("attempts", "a profile that is not idempotent has one attempt")
	}
	return p
}

func readShape(s *section) crank.Shape {
	return crank.Shape{
		Tasks: s.integer("tasks", 1, 1, crank.MaxGangTasks),
		PerTask: crank.Resources{
			Accelerators: s.integer("accelerators", 1, 0, maxAccelerators),
			Cores:        s.integer("cores", 1, 0, maxCores),
			MemoryMiB:    s.memory("memory", 1<<10, 0, maxMemoryMiB),
			Slots:        1,
		},
		Span: crank.Span(s.choice("span", string(crank.SpanWorker), string(crank.SpanWorker), string(crank.SpanRack), string(crank.SpanZone), string(crank.SpanAny))),
	}
}

func readWorkspace(d *document, name string) crank.Workspace {
	s := d.namedSection("workspace", name)
	defer s.reportUnknownKeys()
	w := crank.Workspace{
		Name:          name,
		Key:           s.text("key-sha256", ""),
		Quota:         s.integer("quota", 0, 0, maxCells*maxAccelerators),
		MaxWaiting:    s.integer("max-waiting", 1000, 1, maxWaitingJobs),
		RatePerSecond: s.number("rate-per-second", 0, 0, maxRate),
	}
	if _, err := hex.DecodeString(w.Key); err != nil || (w.Key != "" && len(w.Key) != keyHexDigits) {
		s.fault("key-sha256", "it is no SHA-256 sum of %d hex digits", keyHexDigits)
	}
	return w
}

// parsedGuarantee is a guarantee that is not yet added to its workspace.
type parsedGuarantee struct {
	crank.Guarantee
	workspace string
	section   *section
}

func readGuarantee(d *document, name string) parsedGuarantee {
	s := d.namedSection("guarantee", name)
	defer s.reportUnknownKeys()
	return parsedGuarantee{
		workspace: s.requiredName("workspace"),
		section:   s,
		Guarantee: crank.Guarantee{Cells: s.integer("cells", 1, 1, maxCells), Shape: readShape(s)},
	}
}

// resolveGuarantees adds guarantees to their workspaces and checks what spans
// files: there is a zone, names are unique, and workspaces are declared.
func resolveGuarantees(c crank.Config, guarantees []parsedGuarantee) (crank.Config, []Fault) {
	var faults []Fault
	if len(c.Zones) == 0 {
		faults = append(faults, Fault{File: "configuration", Message: "no availability zone is declared"})
	}
	seen := make([]string, 0, len(c.Profiles)+len(c.Workspaces)+len(c.Zones))
	checkUnique := func(kind, name string) {
		if slices.Contains(seen, kind+name) {
			faults = append(faults, Fault{File: "configuration", Section: kind + " " + name, Message: "it is declared in two files"})
		}
		seen = append(seen, kind+name)
	}
	for _, z := range c.Zones {
		checkUnique("zone", z.Name)
	}
	for _, p := range c.Profiles {
		checkUnique("profile", p.Name)
	}
	for _, w := range c.Workspaces {
		checkUnique("workspace", w.Name)
	}
	for _, g := range guarantees {
		i := slices.IndexFunc(c.Workspaces, func(w crank.Workspace) bool { return w.Name == g.workspace })
		if i < 0 {
			d := g.section.doc
			line := d.lines[g.section.name+"\x00workspace"]
			faults = append(faults, Fault{File: d.file, Line: line, Section: g.section.name, Key: "workspace", Message: "workspace " + g.workspace + " is not declared"})
			continue
		}
		c.Workspaces[i].Guarantees = append(c.Workspaces[i].Guarantees, g.Guarantee)
	}
	return c, faults
}
