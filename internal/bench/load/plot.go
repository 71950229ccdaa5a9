package load

import (
	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// PlotLatency writes a plot of the median and 99th percentile latency per second; the file extension (.svg or
// .png) selects the format.
func (rep *Report) PlotLatency(nam string) error {
	p50 := make(plotter.XYs, 0, len(rep.Seconds))
	p99 := make(plotter.XYs, 0, len(rep.Seconds))
	for _, sec := range rep.Seconds {
		p50 = append(p50, plotter.XY{X: float64(sec.Second), Y: sec.P50})
		p99 = append(p99, plotter.XY{X: float64(sec.Second), Y: sec.P99})
	}
	return savePlot(nam, "Latency from the intended send time", "ms", "median", p50, "99th percentile", p99)
}

// PlotUnavailable writes a plot of unavailable keys and unserved requests per second; the file extension selects
// the format.
func (rep *Report) PlotUnavailable(nam string) error {
	key := make(plotter.XYs, 0, len(rep.Seconds))
	uns := make(plotter.XYs, 0, len(rep.Seconds))
	for _, sec := range rep.Seconds {
		key = append(key, plotter.XY{X: float64(sec.Second), Y: float64(sec.Unavailable)})
		uns = append(uns, plotter.XY{X: float64(sec.Second), Y: float64(sec.Unserved)})
	}
	return savePlot(nam, "Unavailable keys and requests not served", "count", "keys", key, "requests", uns)
}

func savePlot(nam, ttl, unit string, lines ...any) error {
	plt := plot.New()
	plt.Title.Text = ttl
	plt.X.Label.Text = "seconds since the start"
	plt.Y.Label.Text = unit
	plt.Y.Min = 0
	if err := plotutil.AddLinePoints(plt, lines...); err != nil {
		return errors.Wrap(err, "draw plot")
	}
	if err := plt.Save(plotWidth, plotHeight, nam); err != nil {
		return errors.Wrap(err, "save plot")
	}
	return nil
}
