package crankbook

import (
	"time"

	crank "cranberrycrank"
)

// Announcement is what an entry instance says of itself, so that others can
// reach the store through it.
type Announcement struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	Addr string `json:"addr"` // for other instances, IP:port
	Key  string `json:"key"`  // that it asks of other instances, new in each life
}

// Times of announcements.
const (
	AnnouncePeriod = 5 * time.Minute    // between two announcements of an instance
	announceKept   = 3 * AnnouncePeriod // an instance that is silent for longer is forgotten
)

// announced is an announcement and when this instance learned of it.
type announced struct {
	Announcement
	seen time.Time
}

// AnnouncementRecord returns the record of an announcement.
func AnnouncementRecord(a Announcement) (crank.KeyedRecord, error) {
	return encode(instancePrefix+a.ID, a)
}

// ForgetRecord returns the record that removes an instance's announcement.
func ForgetRecord(id string) crank.KeyedRecord {
	return crank.KeyedRecord{Key: instancePrefix + id}
}

func (s State) withInstance(id string, value []byte, now time.Time) (State, error) {
	if len(value) == 0 {
		s.instances = s.instances.Delete(id)
		return s, nil
	}
	a := announced{seen: now}
	if err := decode(value, &a.Announcement); err != nil {
		return s, err
	}
	s.instances = s.instances.Set(id, a)
	return s, nil
}

// Instances returns the instances that announced themselves, and the
// identities of those that have been silent for long.
func (s State) Instances(now time.Time) (live []Announcement, silent []string) {
	for i := s.instances.Iterator(); !i.Done(); {
		id, a, _ := i.Next()
		if now.Sub(a.seen) > announceKept {
			silent = append(silent, id)
			continue
		}
		live = append(live, a.Announcement)
	}
	return live, silent
}
