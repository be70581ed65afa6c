package crankstate

import (
	"testing"

	crank "cranberrycrank"
)

// FuzzApply applies arbitrary log entries. None may panic or stop the state from
// advancing.
func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"writer":"a","sequence":1,"records":[{"submit":{"job":"j","workspace":"w","profile":"p"}}]}`))
	f.Add([]byte(`{"writer":"a","sequence":1,"records":[{"place":{"job":"j","parts":[{"worker":"w","tasks":-1}]}},{}]}`))
	f.Add([]byte(`{"writer":"a","sequence":2,"records":[{"ended":{"worker":"w","status":{"attempt":{"job":"j"}}}},{"lost":{"worker":"w"}}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, _ := New().Apply(crank.LogEntry{Data: data})
		if s.Next != 1 {
			t.Fatalf("next is %d", s.Next)
		}
	})
}

// FuzzRestore decodes arbitrary snapshots. Every error must be of KindInvalid.
func FuzzRestore(f *testing.F) {
	data, err := New().Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add([]byte("no snapshot"))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := Restore(data)
		if err != nil && crank.KindOf(err) != crank.KindInvalid {
			t.Fatalf("kind of %v", err)
		}
	})
}
