package crankconf

import (
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// lookup returns a value and whether the key is set, and records it as read.
func (s *section) lookup(key string) (string, bool) {
	s.read[key] = true
	sec := s.doc.ini.Section(s.name)
	if !sec.HasKey(key) {
		return "", false
	}
	return sec.Key(key).String(), true
}

func (s *section) fault(key, format string, args ...any) { s.doc.fault(s.name, key, format, args...) }

func (s *section) text(key, defaultValue string) string {
	if v, ok := s.lookup(key); ok {
		return v
	}
	return defaultValue
}

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?$`)

// requiredName reads a name of lower-case letters, digits and hyphens.
func (s *section) requiredName(key string) string {
	v, ok := s.lookup(key)
	if !ok {
		s.fault(key, "the key is missing")
		return ""
	}
	if !namePattern.MatchString(v) {
		s.fault(key, "%q is no name of lower-case letters, digits and hyphens", v)
	}
	return v
}

// externalName reads a required name that the platform assigned: any text
// without white space.
func (s *section) externalName(key string) string {
	v, ok := s.lookup(key)
	if !ok || v == "" {
		s.fault(key, "the key is missing")
		return ""
	}
	if len(strings.Fields(v)) != 1 {
		s.fault(key, "%q has white space", v)
	}
	return v
}

// choice reads one of a list of options. Without a default the key is required.
func (s *section) choice(key, defaultValue string, options ...string) string {
	v, ok := s.lookup(key)
	if !ok {
		if defaultValue == "" {
			s.fault(key, "the key is missing, expected one of %s", strings.Join(options, ", "))
		}
		return defaultValue
	}
	for _, o := range options {
		if v == o {
			return v
		}
	}
	s.fault(key, "%q is none of %s", v, strings.Join(options, ", "))
	return defaultValue
}

func (s *section) boolean(key string, defaultValue bool) bool {
	v, ok := s.lookup(key)
	if !ok {
		return defaultValue
	}
	switch v {
	case "yes":
		return true
	case "no":
		return false
	}
	s.fault(key, "%q is neither yes nor no", v)
	return defaultValue
}

// integer reads a number without a unit. The key is required if the default is
// below lower.
func (s *section) integer(key string, defaultValue, lower, upper int) int {
	v, ok := s.lookup(key)
	if !ok {
		if defaultValue < lower {
			s.fault(key, "the key is missing")
		}
		return defaultValue
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		s.fault(key, "%q is no whole number without a unit", v)
		return defaultValue
	}
	if n < lower || n > upper {
		s.fault(key, "%d is outside %d to %d", n, lower, upper)
	}
	return n
}

func (s *section) number(key string, defaultValue, lower, upper float64) float64 {
	v, ok := s.lookup(key)
	if !ok {
		return defaultValue
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil {
		s.fault(key, "%q is no number", v)
		return defaultValue
	}
	if f < lower || f > upper {
		s.fault(key, "%g is outside %g to %g", f, lower, upper)
	}
	return f
}

// optionalInteger reads a number without a unit, 0 if the key is missing.
func (s *section) optionalInteger(key string, lower, upper int) int {
	if _, ok := s.lookup(key); !ok {
		return 0
	}
	return s.integer(key, 0, lower, upper)
}

// optionalNumber reads a number without a unit, 0 if the key is missing.
func (s *section) optionalNumber(key string, lower, upper float64) float64 {
	if _, ok := s.lookup(key); !ok {
		return 0
	}
	return s.number(key, 0, lower, upper)
}

// duration reads a time with a unit, such as 1.5s or 2h. The key is required if
// the default is below lower.
func (s *section) duration(key string, defaultValue, lower, upper time.Duration) time.Duration {
	v, ok := s.lookup(key)
	if !ok {
		if defaultValue < lower {
			s.fault(key, "the key is missing")
		}
		return defaultValue
	}
	d, err := time.ParseDuration(v)
	if err != nil {
		s.fault(key, "%q is no time with a unit, as 300ms, 20s or 2h", v)
		return defaultValue
	}
	if d < lower || d > upper {
		s.fault(key, "%s is outside %s to %s", d, lower, upper)
	}
	return d
}

// memory reads an amount with the unit MiB or GiB and returns MiB.
func (s *section) memory(key string, defaultValue, lower, upper int) int {
	v, ok := s.lookup(key)
	if !ok {
		return defaultValue
	}
	number, unit, _ := strings.Cut(v, " ")
	n, err := strconv.Atoi(number)
	if err != nil || (unit != "MiB" && unit != "GiB") {
		s.fault(key, "%q is no amount of memory, as 512 MiB or 8 GiB", v)
		return defaultValue
	}
	if unit == "GiB" {
		n *= 1 << 10
	}
	if n < lower || n > upper {
		s.fault(key, "%s is outside %d MiB to %d MiB", v, lower, upper)
	}
	return n
}

// address reads a required IP address with a port. Host names are rejected.
func (s *section) address(key string) string {
	v, ok := s.lookup(key)
	if !ok {
		s.fault(key, "the key is missing")
		return ""
	}
	if _, err := netip.ParseAddrPort(v); err != nil {
		s.fault(key, "%q is no IP address with a port, as 10.0.0.7:7000", v)
	}
	return v
}

const minSecretBytes = 16

// secret reads a required shared key.
func (s *section) secret(key string) string {
	v, ok := s.lookup(key)
	if !ok {
		s.fault(key, "the key is missing")
		return ""
	}
	if len(v) < minSecretBytes {
		s.fault(key, "the secret has fewer than %d bytes", minSecretBytes)
	}
	return v
}
