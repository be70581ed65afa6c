package crankjobs

import (
	"encoding/binary"
	"math"
)

// TaskPlaces holds the number of a worker in the roster for each task ordinal, 0 for none.
// A number takes two bytes. Ordinals from maxPlaces on have none.
type TaskPlaces []byte

const (
	placeBytes = 2
	maxPlace   = math.MaxUint16
	maxPlaces  = 8192 // 22 KiB in a record
)

// At returns the number of a task's worker.
func (t TaskPlaces) At(n int) int {
	if n < 0 || (n+1)*placeBytes > len(t) {
		return 0
	}
	return int(binary.LittleEndian.Uint16(t[n*placeBytes:]))
}

// With returns the places with that of a task changed. Numbers that are too large count as
// none.
func (t TaskPlaces) With(n, worker int) TaskPlaces {
	if n >= maxPlaces {
		return t
	}
	if worker > maxPlace {
		worker = 0
	}
	c := make(TaskPlaces, max(len(t), (n+1)*placeBytes))
	copy(c, t)
	binary.LittleEndian.PutUint16(c[n*placeBytes:], uint16(worker))
	return c
}

// after returns the places from n on, less n.
func (t TaskPlaces) after(n int) TaskPlaces {
	if n*placeBytes >= len(t) {
		return nil
	}
	return t[n*placeBytes:]
}
