package crankentryproof

import (
	"fmt"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/internal/crankfleet"
	crankadapter "cranberrycrank/platform"
	"cranberrycrank/standin/crankfakefleet"
	"cranberrycrank/standin/crankfakeplatform"

	"github.com/matryer/is"
)

// entryWith returns a worker's entry with one field replaced, or removed if text is empty.
func entryWith(field, text string) []byte {
	fields := [][2]string{
		{"service", `"desk"`}, {"address", `"192.0.2.1:8080"`}, {"zone", `"z1"`}, {"version", `"v1"`}, {"slots", "8"}, {"state", `"ready"`}, {"cold_remaining_ms", "0"},
		{"capacity", `{"cpu":16000,"memory_limit_mb":32768,"gpu":2}`}, {"labels", `["a","r1"]`}, {"clock_ms", "482113"}, {"sequence", "4"}, {"born", "1700000000000"},
	}
	var parts []string
	for _, f := range fields {
		if f[0] == field {
			f[1] = text
		}
		if f[1] != "" {
			parts = append(parts, fmt.Sprintf("%q:%s", f[0], f[1]))
		}
	}
	return []byte("{" + strings.Join(parts, ",") + "}")
}

// oddEntries returns records of the worker topic that name no worker.
func oddEntries() []crank.KeyedRecord {
	nested := strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)
	digits := strings.Repeat("9", 3<<20)
	values := [][]byte{
		[]byte(nested), []byte(strings.Repeat("[", 100_000)), []byte(strings.Repeat(`{"a":`, 100_000)), []byte(digits), []byte(`"` + digits + `"`), {0}, {0xff, 0xfe}, []byte("null"),
		entryWith("extra", ""), // a whole entry, whose key is odd below
	}
	texts := map[string][]string{
		"address": {
			"", "null", "7", nested, `""`, `"192.0.2.1"`, `"192.0.2.1:"`, `"192.0.2.1:0"`, `"192.0.2.1:70000"`, `"192.0.2.1:65536"`, `"192.0.2.1:-1"`, `"192.0.2.1:http"`, `"192.0.2.1:1e3"`,
			`"192.0.2.1:8080/path"`, `"192.0.2.1:8080?a=b"`, `"192.0.2.1:8080#a"`, `"name@192.0.2.1:8080"`, `"name:word@192.0.2.1:8080"`, `"http://192.0.2.1:8080"`, `":8080"`, `"0.0.0.0:8080"`, `"[::]:8080"`,
			`"[fe80::1%lo]:8080"`, `"worker.example:8080"`, `"192.0.2.1:8080\r\nHost: x"`, `" 192.0.2.1:8080"`, `"192.0.2.999:8080"`, `"224.0.0.1:8080"`,
		},
		"capacity": {
			"", "null", "7", nested, `{"cpu":-1}`, `{"memory_limit_mb":-5}`, `{"gpu":-9223372036854775808}`, `{"cpu":1.5}`, `{"cpu":1e400}`, `{"cpu":9223372036854775807}`, `{"gpu":99999999999999999999}`, `{"cpu":` + digits + `}`,
			`{"cpu":"1"}`,
		},
		"born":    {`"now"`, "1.5", "0", "-1", "9223372036854775807", "1e400", digits, nested, "{}"},
		"service": {"", "null", "7", `""`, nested},
		"zone":    {"", "null", "7", `""`},
		"state":   {"", "null", "7", `""`, `"resting"`, `"` + strings.Repeat("x", 2<<20) + `"`},
		"labels":  {"", "null", "7", `"a"`, "[7]", nested},
		"version": {"7", "{}"}, "slots": {`"8"`, "[]"}, "cold_remaining_ms": {`"0"`}, "sequence": {`"4"`, nested},
	}
	for field, odd := range texts {
		for _, text := range odd {
			values = append(values, entryWith(field, text))
		}
	}
	var records []crank.KeyedRecord
	for i, v := range values {
		records = append(records, crank.KeyedRecord{Key: fmt.Sprintf("odd%d", i), Value: v})
	}
	records[8].Key = ""
	for _, key := range []string{"odd\x00", "odd\n", "odd\r\nHost: x", "odd\x7f", "odd\xff", "odd\ufffd", " odd", "odd "} {
		records = append(records, crank.KeyedRecord{Key: key, Value: entryWith("", "")})
	}
	return records
}

func TestOddEntryNamesNoWorker(t *testing.T) {
	is := is.New(t)
	_, err := crankadapter.DecodeWorker(crank.KeyedRecord{Key: "w1", Value: entryWith("", "")})
	is.NoErr(err)
	for _, r := range oddEntries() {
		e, err := crankadapter.DecodeWorker(r)
		if err == nil || crank.KindOf(err) != crank.KindInvalid {
			t.Errorf("key %q, %.300s: entry %+v, error %v", r.Key, r.Value, e, err)
			continue
		}
		is.True(len(err.Error()) < 300) // logged at each write of the entry
	}
}

// An entry of another writer without a start time must not end the incarnation that is
// listed under its key, however often it is written.
func TestEntryWithoutStartTimeDoesNotReplaceAWorker(t *testing.T) {
	is := is.New(t)
	list := newWorkerList()
	list.Reset(bornAt("1700000000000"))
	for range 2 {
		list.Apply(bornAt(""))
		is.Equal(len(list.Entries()), 0)
	}
	list.Reset(bornAt(""))
	is.Equal(len(list.Entries()), 0)
	list.Apply(bornAt("1700000000000"))
	is.Equal(list.Entries()["w1"].StartTimeMs, int64(1700000000000))
}

// An entry of an earlier incarnation may have been stored late, but a worker whose
// machine's clock was set back must be listed.
func TestOnlyRepeatedEntryOfAnEarlierLifeIsListed(t *testing.T) {
	is := is.New(t)
	list := newWorkerList()
	list.Reset(bornAt("1700000000000"))
	for range 3 {
		list.Apply(bornAt("1600000000000"))
		is.Equal(list.Entries()["w1"].StartTimeMs, int64(1700000000000))
		list.Apply(bornAt("1700000000000"))
	}
	list.Apply(bornAt("1600000000000"))
	list.Apply(bornAt("1600000000000"))
	is.Equal(list.Entries()["w1"].StartTimeMs, int64(1600000000000))
	list.Apply(bornAt("1700000000000"))
	list.Apply([]crank.KeyedRecord{{Key: "w1"}})
	list.Apply(bornAt("1600000000000"))
	is.Equal(list.Entries()["w1"].StartTimeMs, int64(1600000000000))
}

func newWorkerList() *crankfleet.List {
	return crankfleet.NewList(crankfleet.ListConfig{Decode: crankadapter.DecodeWorker, Logger: slog.New(slog.NewTextHandler(io.Discard, nil))})
}

// bornAt returns the entry of a worker with a start time, or without one if it is empty.
func bornAt(ms string) []crank.KeyedRecord {
	return []crank.KeyedRecord{{Key: "w1", Value: entryWith("born", ms)}}
}

// Odd entries that are there when the list is loaded, or are written later, change
// nothing for the other workers, for the planner and for the next leader.
func TestOddEntriesDoNotDisturbTheWorkers(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		putOdd := func() {
			for _, r := range oddEntries() {
				c.store.Put(crank.WorkerTopic, r.Key, r.Value)
			}
		}
		called := make(map[string]bool)
		c.update(func() {
			c.workerFaults = func(_, worker, _ string) crankfakefleet.Fault {
				called[worker] = true
				return crankfakefleet.Fault{}
			}
		})
		putOdd()
		c.setUp(4)
		is.NoErr(c.submit("a", "patient", "job1", independentTasks(32, 2*time.Second)))
		putOdd()
		c.awaitPhase("b", "patient", "job1", crank.PhaseCompleted, 4*time.Second)
		is.NoErr(c.submit("a", "patient", "job2", independentTasks(64, 4*time.Second))) // half of them wait
		time.Sleep(time.Second)
		leader := c.leader()
		c.kill(leader)
		c.startAll(leader)
		c.awaitPhase("b", "patient", "job2", crank.PhaseCompleted, 7*time.Second)
		is.Equal(c.fleet.Runs(), 32+64)
		c.update(func() { is.Equal(len(called), 4) })
	})
}

// Tasks run on at a worker while its key holds an entry without a start time.
func TestEntryWithoutStartTimeStopsNoTask(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(2)
		is.NoErr(c.submit("a", "patient", "job1", independentTasks(8, 3*time.Second)))
		time.Sleep(time.Second)
		c.update(func() { c.silent["w00"], c.silent["w01"] = true, true })
		for _, id := range []string{"w00", "w01"} {
			c.store.Put(crank.WorkerTopic, id, entryWith("born", ""))
		}
		c.awaitPhase("b", "patient", "job1", crank.PhaseCompleted, 4*time.Second)
		is.Equal(c.fleet.Runs(), 8)
	})
}

// A write of a worker's earlier life that the store carries out late must not end the
// life that is listed: its tasks run on.
func TestLateEntryOfAnEarlierLifeStopsNoTask(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(2)
		var earlier crank.WorkerEntry
		c.update(func() { earlier = c.workerEntries["w00"] })
		c.addWorker(0) // starts again under its ID
		time.Sleep(time.Second)
		is.NoErr(c.submit("a", "patient", "job1", independentTasks(8, 3*time.Second)))
		time.Sleep(time.Second)
		c.update(func() { c.silent["w00"] = true })
		c.store.Put(crank.WorkerTopic, "w00", crankfakeplatform.EncodeEntry(earlier))
		time.Sleep(time.Second)
		c.update(func() { c.silent["w00"] = false })
		c.awaitPhase("b", "patient", "job1", crank.PhaseCompleted, 4*time.Second)
		is.Equal(c.fleet.Runs(), 8)
	})
}

// After an entry with a later start time than the worker's own, the worker got no tasks
// any more.
func TestWorkerIsUsedAgainAfterAForgedStart(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.setUp(2)
		var forged crank.WorkerEntry
		c.update(func() { forged = c.workerEntries["w00"] })
		forged.StartTimeMs += time.Hour.Milliseconds()
		c.store.Put(crank.WorkerTopic, "w00", crankfakeplatform.EncodeEntry(forged))
		time.Sleep(8 * time.Second)
		is.NoErr(c.submit("a", "patient", "job1", independentTasks(16, time.Second)))
		c.awaitPhase("b", "patient", "job1", crank.PhaseCompleted, 1800*time.Millisecond) // both workers at once
	})
}
