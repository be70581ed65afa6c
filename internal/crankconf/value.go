package crankconf

import (
	"net/netip"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// get returns a value and whether the key is there.
func (s *section) get(key string) (string, bool) {
	s.read[key] = true
	sec := s.doc.ini.Section(s.name)
	if !sec.HasKey(key) {
		return "", false
	}
	return sec.Key(key).String(), true
}

func (s *section) fault(key, format string, args ...any) { s.doc.fault(s.name, key, format, args...) }

func (s *section) text(key, standard string) string {
	if v, ok := s.get(key); ok {
		return v
	}
	return standard
}

var nameForm = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,62}[a-z0-9])?$`)

// requiredName reads a name in kebab case.
func (s *section) requiredName(key string) string {
	v, ok := s.get(key)
	if !ok {
		s.fault(key, "the key is missing")
		return ""
	}
	if !nameForm.MatchString(v) {
		s.fault(key, "%q is no name of lower-case letters, digits and hyphens", v)
	}
	return v
}

// word reads a name that somebody else gave: any text without white space.
func (s *section) word(key string) string {
	v, ok := s.get(key)
	if !ok || v == "" {
		s.fault(key, "the key is missing")
		return ""
	}
	if len(strings.Fields(v)) != 1 {
		s.fault(key, "%q has white space", v)
	}
	return v
}

func (s *section) choice(key, standard string, options ...string) string {
	v, ok := s.get(key)
	if !ok {
		if standard == "" {
			s.fault(key, "the key is missing, expected one of %s", strings.Join(options, ", "))
		}
		return standard
	}
	for _, o := range options {
		if v == o {
			return v
		}
	}
	s.fault(key, "%q is none of %s", v, strings.Join(options, ", "))
	return standard
}

func (s *section) boolean(key string, standard bool) bool {
	v, ok := s.get(key)
	if !ok {
		return standard
	}
	switch v {
	case "yes":
		return true
	case "no":
		return false
	}
	s.fault(key, "%q is neither yes nor no", v)
	return standard
}

// integer reads a number without a unit.
func (s *section) integer(key string, standard, least, most int) int {
	v, ok := s.get(key)
	if !ok {
		if standard < least {
			s.fault(key, "the key is missing")
		}
		return standard
	}
	n, err := strconv.Atoi(v)
	if err != nil {
		s.fault(key, "%q is no whole number without a unit", v)
		return standard
	}
	if n < least || n > most {
		s.fault(key, "%d is outside %d to %d", n, least, most)
	}
	return n
}

func (s *section) fraction(key string, standard, least, most float64) float64 {
	v, ok := s.get(key)
	if !ok {
		return standard
	}
	f, err := strconv.ParseFloat(v, 64)
	if err != nil {
		s.fault(key, "%q is no number", v)
		return standard
	}
	if f < least || f > most {
		s.fault(key, "%g is outside %g to %g", f, least, most)
	}
	return f
}

// duration reads a time with a unit, as 1.5s or 2h.
func (s *section) duration(key string, standard, least, most time.Duration) time.Duration {
	v, ok := s.get(key)
	if !ok {
		if standard < least {
			s.fault(key, "the key is missing")
		}
		return standard
	}
	d, err := time.ParseDuration(v)
	if err != nil {
		s.fault(key, "%q is no time with a unit, as 300ms, 20s or 2h", v)
		return standard
	}
	if d < least || d > most {
		s.fault(key, "%s is outside %s to %s", d, least, most)
	}
	return d
}

// memory reads an amount of memory with the unit MiB or GiB and returns MiB.
func (s *section) memory(key string, standard, most int) int {
	v, ok := s.get(key)
	if !ok {
		return standard
	}
	number, unit, _ := strings.Cut(v, " ")
	n, err := strconv.Atoi(number)
	if err != nil || (unit != "MiB" && unit != "GiB") {
		s.fault(key, "%q is no amount of memory, as 512 MiB or 8 GiB", v)
		return standard
	}
	if unit == "GiB" {
		n *= 1 << 10
	}
	if n < 0 || n > most {
		s.fault(key, "%s is outside 0 MiB to %d MiB", v, most)
	}
	return n
}

// address reads an IP address and a port. Host names are refused.
func (s *section) address(key string) string {
	v, ok := s.get(key)
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

// secret reads a key that both sides share.
func (s *section) secret(key string) string {
	v, ok := s.get(key)
	if !ok {
		s.fault(key, "the key is missing")
		return ""
	}
	if len(v) < minSecretBytes {
		s.fault(key, "the secret has fewer than %d bytes", minSecretBytes)
	}
	return v
}
