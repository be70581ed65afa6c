package crankjobs

import (
	"testing"
	"time"

	crank "cranberrycrank"

	"github.com/matryer/is"
)

func TestAnnouncementsExpire(t *testing.T) {
	is := is.New(t)
	begun := time.Now()
	s := NewState()
	for i, id := range []string{"entry-1", "entry-2"} {
		r, err := AnnouncementRecord(Announcement{ID: id, Zone: "z1", Addr: "10.0.0.1:7000", Key: "key"})
		is.NoErr(err)
		s, err = s.With(r, begun.Add(time.Duration(i)*AnnouncePeriod))
		is.NoErr(err)
	}
	live, expired := s.Instances(begun.Add(announcementTTL))
	is.Equal(len(live), 2)
	is.Equal(len(expired), 0)
	live, expired = s.Instances(begun.Add(announcementTTL + time.Second))
	is.Equal(len(live), 1)
	is.Equal(live[0], Announcement{ID: "entry-2", Zone: "z1", Addr: "10.0.0.1:7000", Key: "key"})
	is.Equal(expired, []string{"entry-1"})

	s, err := s.With(InstanceRemovalRecord("entry-1"), begun)
	is.NoErr(err)
	_, expired = s.Instances(begun.Add(announcementTTL + time.Second))
	is.Equal(len(expired), 0)
}

func TestUnreadableAnnouncementChangesNothing(t *testing.T) {
	is := is.New(t)
	s, err := NewState().With(crank.KeyedRecord{Key: instancePrefix + "entry-1", Value: []byte("{")}, time.Now())
	is.True(err != nil)
	live, expired := s.Instances(time.Now())
	is.Equal(len(live)+len(expired), 0)
}
