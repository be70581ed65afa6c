package crankconf

import (
	"testing"

	crank "cranberrycrank"
)

// FuzzSettings checks that any text is accepted or rejected with a fault.
func FuzzSettings(f *testing.F) {
	f.Add("[instance]\nid = a\nlisten = 127.0.0.1:1\n")
	f.Add("[instance\n= x\n[running]\ndrain-timeout = 1s\n")
	f.Fuzz(func(t *testing.T, text string) {
		if _, err := ParseSettings("settings.ini", text); err != nil && err.Error() == "" {
			t.Fatal("an error without a fault")
		}
	})
}

// FuzzConfiguration checks the same for a configuration file.
func FuzzConfiguration(f *testing.F) {
	f.Add("[zone a]\nregion = r\n[profile p]\nclass = urgent\nrun-time = 1s\n")
	f.Add("[workspace w]\n[guarantee g]\nworkspace = w\ncells = 3\n")
	f.Fuzz(func(t *testing.T, text string) {
		_, err := ParseFiles([]crank.File{{Name: "a.ini", Text: text}})
		if err != nil && err.Error() == "" {
			t.Fatal("an error without a fault")
		}
	})
}
