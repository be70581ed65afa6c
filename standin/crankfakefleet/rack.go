package crankfakefleet

import "time"

// workTime returns the time that a run takes at its worker.
func (f *Fleet) workTime(r *run) time.Duration {
	d := f.RunTime(r.id, r.worker.entry.ID)
	if rack := r.step.DataRack; rack != "" && rack != r.worker.entry.Rack {
		d = f.slowed(d)
	}
	return d
}

// gangTime returns the time that the members of a gang take together.
func (f *Fleet) gangTime(members []*run) time.Duration {
	longest := time.Duration(0)
	racks := make(map[string]bool)
	for _, m := range members {
		racks[m.worker.entry.Rack] = true
		longest = max(longest, f.workTime(m))
	}
	if s := members[0].step; s.SameRack && s.DataRack == "" && len(racks) > 1 {
		return f.slowed(longest)
	}
	return longest
}

func (f *Fleet) slowed(d time.Duration) time.Duration {
	if f.CrossRackSlowdown == 0 {
		return d
	}
	return time.Duration(float64(d) * f.CrossRackSlowdown)
}
