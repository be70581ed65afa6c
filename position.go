package crank

// Position is the place of a record in the event stream: the offset of its
// entry and its index in the entry's batch. Positions grow along the stream,
// and a placement's position is its fencing token. No record has position 0.
type Position int64

// MaxBatchRecords bounds the records of one log entry.
const MaxBatchRecords = 1 << positionIndexBits

const positionIndexBits = 10

// NewPosition returns the position of the record with an index in the entry at
// an offset.
func NewPosition(offset Offset, index int) Position {
	return Position((int64(offset)+1)<<positionIndexBits | int64(index))
}

// Offset returns the offset of the record's entry.
func (p Position) Offset() Offset { return Offset(p>>positionIndexBits) - 1 }
