package replay

import (
	"fmt"
	"image/color"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"cicadaslip/internal/errs"
)

// Size of a plot.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	barWidth   = 9 * vg.Millimeter
	plotMode   = 0o755
)

// plotted are the measures that get a plot, with the title of their axis.
var plotted = []struct{ measure, axis string }{
	{StallShare, "share of requests that waited for a load"},
	{BatchEfficiency, "tokens per step, used against possible"},
	{PeakRatio, "worth in time at peaks against the bound"},
	{WaitP99Ratio, "p99 wait with long jobs against without"},
	{HotWaitP99Ratio, "p99 wait without loads, with long jobs against without"},
	{LatencyP99Ratio, "p99 latency with stragglers against without"},
	{ShareDeviation, "largest deviation below the share"},
}

var barColours = []color.Color{color.RGBA{R: 31, G: 119, B: 180, A: 255}, color.RGBA{R: 255, G: 127, B: 14, A: 255}}

// WritePlots writes one PNG per deployment and measure: the median over the
// seeds as bars, each seed as a point.
func WritePlots(dir string, reports []*DeploymentReport) error {
	if err := os.MkdirAll(dir, plotMode); err != nil {
		return errs.Wrap(err, errs.Internal, "the directory of the plots cannot be made")
	}
	for _, r := range reports {
		for _, p := range plotted {
			if err := r.plot(dir, p.measure, p.axis); err != nil {
				return errs.Wrap(err, errs.Internal, "a plot cannot be written")
			}
		}
	}
	return nil
}

func (r *DeploymentReport) plot(dir, measure, axis string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, %s trace, %d seeds: %s", r.Deployment, r.Origin, len(r.Seeds), measure)
	p.Y.Label.Text, p.Y.Min = axis, 0
	p.NominalX(Variants()...)
	p.X.Min, p.X.Max = -0.5, float64(len(Variants()))-0.5
	for i, variant := range Variants() {
		bars, err := plotter.NewBarChart(plotter.Values{r.Spreads[variant][measure].Median}, barWidth)
		if err != nil {
			return err
		}
		bars.XMin, bars.Color = float64(i), barColours[i]
		var points plotter.XYs
		for _, v := range r.values(variant, measure) {
			points = append(points, plotter.XY{X: float64(i), Y: v})
		}
		seeds, err := plotter.NewScatter(points)
		if err != nil {
			return err
		}
		p.Add(bars, seeds)
	}
	return p.Save(plotWidth, plotHeight, filepath.Join(dir, r.Deployment+"-"+measure+".png"))
}
