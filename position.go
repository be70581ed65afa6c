package crank

// Position identifies a record in the event stream: the offset of its log entry
// and its index in that entry. Positions increase along the stream, and that of
// a placement is its fencing token. No record has position 0.
type Position int64

// MaxBatchRecords limits the records of one log entry.
const MaxBatchRecords = 1 << positionIndexBits

const positionIndexBits = 10

// NewPosition returns the position of a record.
func NewPosition(offset Offset, index int) Position {
	return Position((int64(offset)+1)<<positionIndexBits | int64(index))
}

// Offset returns the offset of the record's log entry.
func (p Position) Offset() Offset { return Offset(p>>positionIndexBits) - 1 }
