package crank

import (
	"testing"

	"github.com/matryer/is"
)

func TestPositionOfFirstRecordIsNotZero(t *testing.T) {
	is := is.New(t)
	first := NewPosition(0, 0)
	is.True(first > 0)
	is.Equal(first.Offset(), Offset(0))
	is.True(NewPosition(0, 1) > first)
	is.True(NewPosition(1, 0) > NewPosition(0, MaxBatchRecords-1))
	is.Equal(NewPosition(7, MaxBatchRecords-1).Offset(), Offset(7))
}
