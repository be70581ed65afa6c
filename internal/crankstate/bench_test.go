package crankstate

import (
	"fmt"
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankrecord"
)

// benchState returns a state at a multiple of the design size: 1,600 workers,
// 820 ended jobs (one day's) and 160 running gangs of 100 tasks.
func benchState(b *testing.B, scale float64) State {
	b.Helper()
	s := New()
	at := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	offset := crank.Offset(0)
	apply := func(records ...crankrecord.Record) {
		data, err := crankrecord.Encode(crankrecord.Batch{Writer: "bench", Sequence: int64(offset) + 1, At: at, Records: records})
		if err != nil {
			b.Fatal(err)
		}
		var result BatchResult
		s, result = s.Apply(crank.LogEntry{Offset: offset, Data: data})
		for _, v := range result.Verdicts {
			if !v.Accepted {
				b.Fatal(v.Reason)
			}
		}
		offset++
	}
	workers := int(1600 * scale)
	shape := crank.Shape{Tasks: 100, PerTask: crank.Resources{Cores: 1, MemoryMiB: 1024, Slots: 1}, Span: crank.SpanAny}
	config := crank.Config{Zones: []crank.Zone{{Name: "z"}}, Profiles: []crank.Profile{{Name: "p", Class: crank.ClassPatient, Idempotent: true, Shape: shape, Attempts: 3, Latency: time.Hour, RunTime: time.Hour}}}
	for n := range 60 {
		config.Workspaces = append(config.Workspaces, crank.Workspace{Name: fmt.Sprintf("w%d", n), MaxWaiting: 10000})
	}
	apply(crankrecord.Record{Publish: &crankrecord.Publish{Config: config}})
	apply(crankrecord.Record{Term: &crankrecord.Term{Instance: "bench"}})
	term := s.Term.Number
	var list []crank.Instance
	for n := range workers {
		list = append(list, crank.Instance{ID: fmt.Sprintf("worker-%04d", n), Role: crank.RoleWorker, Addr: fmt.Sprintf("10.0.%d.%d:7500", n/250, n%250), Zone: "z", Rack: fmt.Sprintf("rack-%d", n/16), Epoch: "worker-0000-1893456000000000000", Capacity: crank.Resources{Accelerators: 2, Cores: 32, MemoryMiB: 1 << 17, Slots: 16}})
	}
	apply(crankrecord.Record{Workers: &crankrecord.Workers{Term: term, Update: list}})
	running := int(160 * scale)
	for n := range int(820*scale) + running {
		id := fmt.Sprintf("job-%024d", n)
		apply(crankrecord.Record{Submit: &crank.Submission{Job: id, Key: id, Workspace: fmt.Sprintf("w%d", n%60), Profile: "p", Payload: make([]byte, 1024), Digest: "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef", ValidUntil: at.Add(24 * time.Hour)}})
		place := &crankrecord.Place{Term: term, Job: id, Number: 1, Owner: "bench"}
		for part := range 10 {
			place.Parts = append(place.Parts, crank.Part{Worker: list[(n*10+part)%workers].ID, Tasks: 10})
		}
		apply(crankrecord.Record{Place: place})
		if n >= int(820*scale) {
			continue
		}
		for part := range 10 {
			status := crank.PartStatus{Attempt: crank.AttemptID{Job: id, Number: 1}, State: crank.PartDone, Size: 500, Inline: make([]byte, 500)}
			apply(crankrecord.Record{Ended: &crankrecord.Ended{Worker: list[(n*10+part)%workers].ID, Status: status}})
		}
	}
	return s
}

var scales = []float64{0.125, 0.25, 0.5, 1, 2}

// BenchmarkSnapshot measures the time to encode a snapshot, and its size.
func BenchmarkSnapshot(b *testing.B) {
	for _, scale := range scales {
		b.Run(fmt.Sprintf("x%g", scale), func(b *testing.B) {
			s := benchState(b, scale)
			size := 0
			for b.Loop() {
				data, err := s.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				size = len(data)
			}
			b.ReportMetric(float64(size), "snapshot-bytes")
		})
	}
}

// BenchmarkRestore measures the time to decode a snapshot.
func BenchmarkRestore(b *testing.B) {
	for _, scale := range scales {
		b.Run(fmt.Sprintf("x%g", scale), func(b *testing.B) {
			data, err := benchState(b, scale).Snapshot()
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Restore(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkApply measures the time to apply one submission.
func BenchmarkApply(b *testing.B) {
	s := benchState(b, 1)
	data, err := crankrecord.Encode(crankrecord.Batch{Writer: "other", Sequence: 1, At: s.LogTime, Records: []crankrecord.Record{{Submit: &crank.Submission{
		Job: "new", Workspace: "w1", Profile: "p", Payload: make([]byte, 1024), ValidUntil: s.LogTime.Add(time.Hour)}}}})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		s.Apply(crank.LogEntry{Offset: s.Next, Data: data})
	}
}
