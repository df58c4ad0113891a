package comfreyreplay

import (
	"bytes"
	"fmt"
	"html"
	"io"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	_ "gonum.org/v1/plot/vg/vgsvg" // registers the SVG format
)

const (
	pictureWidth  = 9 * vg.Inch
	pictureHeight = 4 * vg.Inch
)

// WriteHTML writes a page that holds the table and its pictures and refers to
// nothing outside.
func WriteHTML(w io.Writer, results []Result) error {
	var table bytes.Buffer
	if err := WriteTable(&table, results); err != nil {
		return err
	}
	if err := WriteCustomers(&table, results); err != nil {
		return err
	}
	fmt.Fprintf(w, "<!doctype html><meta charset=utf-8><title>comfreyridge replay</title>\n<h1>comfreyridge replay</h1>\n<pre>%s</pre>\n", html.EscapeString(table.String()))
	if err := writePicture(w, "Stall time", results, func(r Result) Histogram { return r.Stall }, time.Second); err != nil {
		return err
	}
	return writePicture(w, "Inter-token time", results, func(r Result) Histogram { return r.InterToken }, time.Millisecond)
}

// quantiles are the points of each line of a picture.
var quantiles = []float64{0.5, 0.6, 0.7, 0.8, 0.85, 0.9, 0.925, 0.95, 0.97, 0.98, 0.985, 0.99, 0.995, 0.999}

// writePicture draws the upper quantiles of one histogram of each result.
func writePicture(w io.Writer, title string, results []Result, of func(r Result) Histogram, unit time.Duration) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "callers or tokens (%)"
	p.Y.Label.Text = "time (" + unit.String()[1:] + ")"
	p.Legend.Top = true
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
	for i, r := range results {
		var points plotter.XYs
		for _, q := range quantiles {
			points = append(points, plotter.XY{X: q * 100, Y: float64(of(r).Quantile(q)) / float64(unit)})
		}
		l, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("comfreyreplay: %w", err)
		}
		l.Color = plotutil.Color(i)
		l.Width = vg.Points(1.5)
		p.Add(l)
		p.Legend.Add(r.Policy, l)
	}
	return writeCanvas(w, p)
}

// writeCanvas writes a plot as an SVG element.
func writeCanvas(w io.Writer, p *plot.Plot) error {
	c, err := p.WriterTo(pictureWidth, pictureHeight, "svg")
	if err != nil {
		return fmt.Errorf("comfreyreplay: %w", err)
	}
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return fmt.Errorf("comfreyreplay: %w", err)
	}
	svg := b.Bytes()
	if i := bytes.Index(svg, []byte("<svg")); i > 0 {
		svg = svg[i:]
	}
	_, err = w.Write(svg)
	return err
}
