package crankjobs

import (
	"time"

	crank "cranberrycrank"
)

// Announcement tells other instances how to call the store through an entry
// instance.
type Announcement struct {
	ID   string `json:"id"`
	Zone string `json:"zone"`
	Addr string `json:"addr"` // for other instances, IP:port
	Key  string `json:"key"`  // required from other instances; new at each start
	// What the instance may use; 0 where it is not known or its version does not tell.
	Descriptors    int     `json:"descriptors,omitempty"`
	MemoryMiB      int     `json:"memory-mib,omitempty"`
	LinkMbps       float64 `json:"link-mbps,omitempty"`
	ProcessorShare float64 `json:"processor-share,omitempty"`
}

// Timing of announcements.
const (
	AnnouncePeriod  = 5 * time.Minute    // between announcements of one instance
	announcementTTL = 3 * AnnouncePeriod // age at which an announcement expires
)

type seenAnnouncement struct {
	Announcement
	seen time.Time // when this instance read it
}

// AnnouncementRecord returns the record of an announcement.
func AnnouncementRecord(a Announcement) (crank.KeyedRecord, error) {
	return encode(instancePrefix+a.ID, a)
}

// InstanceRemovalRecord returns the record that removes an instance's announcement.
func InstanceRemovalRecord(id string) crank.KeyedRecord {
	return crank.KeyedRecord{Key: instancePrefix + id}
}

func (s State) withInstance(id string, value []byte, now time.Time) (State, error) {
	if len(value) == 0 {
		s.instances = s.instances.Delete(id)
		return s, nil
	}
	a := seenAnnouncement{seen: now}
	if err := decode(value, &a.Announcement); err != nil {
		return s, err
	}
	s.instances = s.instances.Set(id, a)
	return s, nil
}

// Instance returns the announcement of an instance if it has not expired.
func (s State) Instance(id string, now time.Time) (Announcement, bool) {
	a, ok := s.instances.Get(id)
	return a.Announcement, ok && now.Sub(a.seen) <= announcementTTL
}

// InstanceCount returns the number of announcements, including expired ones.
func (s State) InstanceCount() int { return s.instances.Len() }

// Instances returns the announcements that have not expired, and the IDs of
// those that have.
func (s State) Instances(now time.Time) (live []Announcement, expired []string) {
	for i := s.instances.Iterator(); !i.Done(); {
		id, a, _ := i.Next()
		if now.Sub(a.seen) > announcementTTL {
			expired = append(expired, id)
			continue
		}
		live = append(live, a.Announcement)
	}
	return live, expired
}
