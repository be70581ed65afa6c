package crankplan

import (
	"encoding/csv"
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"text/tabwriter"

	crank "cranberrycrank"
)

var (
	measure      = flag.Bool("measure", false, "run the measurement")
	measureSeeds = flag.Int("measure-seeds", 10, "draws of each workload")
	measureOnly  = flag.String("measure-only", "", "workload to run, all by default")
	measureOut   = flag.String("measure-out", "", "CSV file to write")
)

// comparedPolicies returns the policies under their names in the CSV output.
func comparedPolicies() []struct {
	name   string
	policy crank.Policy
} {
	return []struct {
		name   string
		policy crank.Policy
	}{
		{"first-fit", FirstFit{}},
		{"best-fit", BestFit{}},
		{"guarded", NewGuaranteePolicy()},
		{"unscored", NewGuaranteePolicy().WithFragmentationScoring(false)},
	}
}

// TestMeasure simulates every workload under every policy and prints the results.
func TestMeasure(t *testing.T) {
	if !*measure {
		t.Skip("run by make measure")
	}
	var mu sync.Mutex
	rows := map[string][][]string{}
	var wg sync.WaitGroup
	slots := make(chan struct{}, 8)
	var order []string
	for _, w := range workloads() {
		if *measureOnly != "" && w.name != *measureOnly {
			continue
		}
		for _, p := range comparedPolicies() {
			name := w.name + " " + p.name
			order = append(order, name)
			rows[name] = make([][]string, *measureSeeds)
			for seed := range *measureSeeds {
				wg.Go(func() {
					slots <- struct{}{}
					defer func() { <-slots }()
					r := simulate(w, p.policy, uint64(seed+1))
					mu.Lock()
					defer mu.Unlock()
					rows[name][seed] = r.row(w.name, p.name, uint64(seed+1))
				})
			}
		}
	}
	wg.Wait()
	var all [][]string
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', tabwriter.AlignRight)
	fmt.Fprintln(out, strings.Join(columns, "\t")+"\t")
	for _, name := range order {
		fmt.Fprintln(out, strings.Join(aggregate(rows[name]), "\t")+"\t")
		all = append(all, rows[name]...)
	}
	out.Flush()
	if *measureOut != "" {
		writeCSV(t, *measureOut, all)
	}
}

// aggregate returns the mean and the range of each column over the seeds.
func aggregate(rows [][]string) []string {
	cells := append([]string{}, rows[0][:2]...)
	cells = append(cells, fmt.Sprint(len(rows)))
	for c := 3; c < len(columns); c++ {
		var total, least, most float64
		for i, row := range rows {
			var v float64
			_, _ = fmt.Sscan(row[c], &v)
			total += v
			if i == 0 || v < least {
				least = v
			}
			most = max(most, v)
		}
		cells = append(cells, fmt.Sprintf("%.4g(%.4g..%.4g)", total/float64(len(rows)), least, most))
	}
	return cells
}

func writeCSV(t *testing.T, path string, rows [][]string) {
	file, err := os.Create(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	w := csv.NewWriter(file)
	if err := w.WriteAll(append([][]string{columns}, rows...)); err != nil {
		t.Fatal(err)
	}
}
