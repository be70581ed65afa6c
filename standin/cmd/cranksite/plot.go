package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/go-analyze/charts"

	crank "cranberrycrank"
	"cranberrycrank/standin/crankfakereport"
)

// Size of the plot.
const (
	plotWidth  = 900
	plotHeight = 500
	plotFile   = "waits.svg"
)

// plot writes the percentiles of waits, in seconds, as a picture.
func plot(dir string, list []crankfakereport.Series) error {
	const op = "plot write"
	var values [][]float64
	var names, labels []string
	for p := range 101 {
		labels = append(labels, fmt.Sprint(p))
	}
	for _, s := range list {
		var row []float64
		for p := range labels {
			row = append(row, s.Percentile(p).Seconds())
		}
		values, names = append(values, row), append(names, s.Name)
	}
	if len(values) == 0 {
		return nil
	}
	painter, err := charts.LineRender(values, charts.SVGOutputOptionFunc(), charts.DimensionsOptionFunc(plotWidth, plotHeight),
		charts.XAxisLabelsOptionFunc(labels), charts.LegendLabelsOptionFunc(names))
	if err != nil {
		return crank.Wrap(op, crank.KindInvalid, err)
	}
	picture, err := painter.Bytes()
	if err != nil {
		return crank.Wrap(op, crank.KindInvalid, err)
	}
	return crank.Wrap(op, crank.KindUnavailable, os.WriteFile(filepath.Join(dir, plotFile), picture, 0o600))
}
