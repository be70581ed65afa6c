package crank

// Position identifies a record in the event stream by the offset of its log
// entry and its index within that entry. Positions increase along the stream;
// the position of a placement serves as its fencing token. 0 is never used.
type Position int64

// MaxBatchRecords is the maximum number of records in one log entry.
const MaxBatchRecords = 1 << positionIndexBits

const positionIndexBits = 10

// NewPosition returns the position of the record at index in the log entry at
// offset.
func NewPosition(offset Offset, index int) Position {
	return Position((int64(offset)+1)<<positionIndexBits | int64(index))
}

// Offset returns the offset of the log entry that contains the record.
func (p Position) Offset() Offset { return Offset(p>>positionIndexBits) - 1 }
