package main

import (
	"bytes"
	"html/template"
	"image/color"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Sizes of a plot. All plots have the same data area, so that their time axes line up.
const (
	plotWidth  = vg.Length(675)
	plotHeight = vg.Length(150)
	leftSpace  = vg.Length(58)
	textSize   = vg.Length(9)
	lineWidth  = vg.Length(1.4)
	// timeTicks is the approximate number of labels on the time axis.
	timeTicks = 12
)

// line is one line of a plot: a value for each point of the timeline, NaN where there is
// no data.
type line struct {
	name   string
	values []float64
	// The two lines of one class have the same color; one of them is dashed.
	dashed bool
	color  color.RGBA
}

// marker is a labelled point in time that all plots show.
type marker struct {
	at    time.Time
	label string
}

// chart holds the data of one plot.
type chart struct {
	from, to time.Time
	starts   []time.Time
	step     time.Duration
	lines    []line
	markers  []marker
	// unit is the label of the Y axis; floor is its lowest value.
	unit  string
	floor float64
}

// palette has colours that people with red-green colour blindness can tell apart.
var palette = []color.RGBA{
	{0x00, 0x72, 0xb2, 0xff}, {0xd5, 0x5e, 0x00, 0xff}, {0x00, 0x9e, 0x73, 0xff}, {0xcc, 0x79, 0xa7, 0xff},
	{0xe6, 0x9f, 0x00, 0xff}, {0x56, 0xb4, 0xe9, 0xff}, {0x6a, 0x3d, 0x9a, 0xff}, {0x44, 0x44, 0x44, 0xff},
}

var (
	gridColor   = color.RGBA{0xe4, 0xe4, 0xe4, 0xff}
	markerColor = color.RGBA{0x99, 0x99, 0x99, 0xff}
	textColor   = color.RGBA{0x33, 0x33, 0x33, 0xff}
)

// svg draws the chart. The X axis is in seconds since c.from.
func (c *chart) svg() (template.HTML, error) {
	p := plot.New()
	p.BackgroundColor = nil
	p.X.Min, p.X.Max = 0, c.to.Sub(c.from).Seconds()
	p.Y.Min, p.Y.Max = c.floor, c.maxY()
	p.X.Tick.Marker, p.Y.Tick.Marker = plot.ConstantTicks(c.timeTicks()), plot.ConstantTicks(valueTicks(p.Y.Min, p.Y.Max))
	p.Y.Label.Text = c.unit
	styleAxis(&p.X)
	styleAxis(&p.Y)
	grid := plotter.NewGrid()
	grid.Vertical.Color, grid.Horizontal.Color = gridColor, gridColor
	p.Add(grid)
	for _, m := range c.markers {
		if err := c.addMarker(p, m); err != nil {
			return "", err
		}
	}
	for i := range c.lines {
		if err := c.addLine(p, &c.lines[i]); err != nil {
			return "", err
		}
	}
	return render(p)
}

func styleAxis(a *plot.Axis) {
	sans := font.Font{Typeface: "Liberation", Variant: "Sans", Size: textSize}
	a.Label.TextStyle.Font, a.Tick.Label.Font = sans, sans
	a.Label.TextStyle.Color, a.Tick.Label.Color = textColor, textColor
	a.LineStyle.Color, a.Tick.LineStyle.Color = markerColor, markerColor
	a.Padding = 0
}

// maxY returns the upper end of the Y axis, which is above all lines.
func (c *chart) maxY() float64 {
	top := c.floor
	for i := range c.lines {
		for _, v := range c.lines[i].values {
			if !math.IsNaN(v) {
				top = max(top, v)
			}
		}
	}
	if top <= c.floor {
		return c.floor + 1
	}
	return c.floor + (top-c.floor)*1.1
}

func (c *chart) seconds(t time.Time) float64 { return t.Sub(c.from).Seconds() }

// addLine draws one segment for each run of values without a gap; a value holds for the
// whole step that begins at its start time.
func (c *chart) addLine(p *plot.Plot, l *line) error {
	var run plotter.XYs
	flush := func() error {
		if len(run) == 0 {
			return nil
		}
		drawn, err := plotter.NewLine(run)
		if err != nil {
			return errors.Wrap(err, "draw "+l.name)
		}
		drawn.Color, drawn.Width = l.color, lineWidth
		if l.dashed {
			drawn.Dashes = []vg.Length{vg.Points(4), vg.Points(2)}
		}
		p.Add(drawn)
		run = nil
		return nil
	}
	for i, v := range l.values {
		gap := i > 0 && c.starts[i].Sub(c.starts[i-1]) > c.step
		if math.IsNaN(v) || gap {
			if err := flush(); err != nil {
				return err
			}
		}
		if !math.IsNaN(v) {
			x := c.seconds(c.starts[i])
			run = append(run, plotter.XY{X: max(x, 0), Y: v}, plotter.XY{X: min(x+c.step.Seconds(), p.X.Max), Y: v})
		}
	}
	return flush()
}

func (c *chart) addMarker(p *plot.Plot, m marker) error {
	x := c.seconds(m.at)
	vertical, err := plotter.NewLine(plotter.XYs{{X: x, Y: p.Y.Min}, {X: x, Y: p.Y.Max}})
	if err != nil {
		return errors.Wrap(err, "draw a marker")
	}
	vertical.Color, vertical.Width = markerColor, vg.Points(0.7)
	vertical.Dashes = []vg.Length{vg.Points(1), vg.Points(2)}
	text, err := plotter.NewLabels(plotter.XYLabels{XYs: plotter.XYs{{X: x, Y: p.Y.Max}}, Labels: []string{m.label}})
	if err != nil {
		return errors.Wrap(err, "draw a marker")
	}
	text.TextStyle[0].Font = font.Font{Typeface: "Liberation", Variant: "Sans", Size: textSize - 1}
	text.TextStyle[0].Color = textColor
	text.Offset = vg.Point{X: 2, Y: -textSize}
	p.Add(vertical, text)
	return nil
}

// timeTicks returns ticks at round times of the day.
func (c *chart) timeTicks() []plot.Tick {
	step := roundStep(c.to.Sub(c.from) / timeTicks)
	layout := "15:04"
	if step < time.Minute {
		layout = "15:04:05"
	}
	var ticks []plot.Tick
	for t := c.from.Truncate(step); !t.After(c.to); t = t.Add(step) {
		if !t.Before(c.from) {
			ticks = append(ticks, plot.Tick{Value: c.seconds(t), Label: t.UTC().Format(layout)})
		}
	}
	return ticks
}

// roundSteps are the possible distances between time ticks, in ascending order.
var roundSteps = []time.Duration{
	5 * time.Second, 10 * time.Second, 15 * time.Second, 30 * time.Second, time.Minute, 2 * time.Minute,
	5 * time.Minute, 10 * time.Minute, 15 * time.Minute, 30 * time.Minute, time.Hour,
}

func roundStep(atLeast time.Duration) time.Duration {
	i, _ := slices.BinarySearch(roundSteps, atLeast)
	return roundSteps[min(i, len(roundSteps)-1)]
}

// valueTicks returns ticks at round values, about five.
func valueTicks(low, high float64) []plot.Tick {
	step := math.Pow(10, math.Floor(math.Log10((high-low)/4)))
	for _, factor := range []float64{1, 2, 5, 10} {
		if (high-low)/(step*factor) <= 5 {
			step *= factor
			break
		}
	}
	var ticks []plot.Tick
	for i := math.Ceil(low / step); i*step <= high; i++ {
		value := i * step
		ticks = append(ticks, plot.Tick{Value: value, Label: strconv.FormatFloat(value, 'g', 4, 64)})
	}
	return ticks
}

// render draws the plot so that its data area begins at leftSpace, whatever the width of
// the Y labels, and returns the svg element without the XML prologue of a separate file.
func render(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(plotWidth, plotHeight)
	whole := draw.New(canvas)
	data := p.DataCanvas(whole)
	p.Draw(draw.Crop(whole, leftSpace-(data.Min.X-whole.Min.X), -8, 0, -2))
	var out bytes.Buffer
	if _, err := canvas.WriteTo(&out); err != nil {
		return "", errors.Wrap(err, "write a plot")
	}
	text := out.String()
	begin := strings.Index(text, "<svg")
	if begin < 0 {
		return "", errors.New("the plotting library wrote no SVG")
	}
	// The library escapes the texts, the only part that comes from other processes.
	return template.HTML(text[begin:]), nil
}
