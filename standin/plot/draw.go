package main

import (
	"fmt"
	"image/color"
	"os"
	"slices"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	width   = 22 * vg.Centimeter
	height  = 16 * vg.Centimeter
	padding = 4 * vg.Millimeter
	// yAxisStretch is the factor that extends the vertical axis, so that no line
	// runs into the legend.
	yAxisStretch = 1.4
)

// panel is one of the plots of a deployment.
type panel struct {
	title string
	field func(l Result) float64
}

// drawRows returns a row of plots for each deployment.
func drawRows(groups []runGroup) [][]*plot.Plot {
	panels := []panel{{title: "goodput, share of bound", field: goodput}, {title: "wasted prefill, share", field: wastedPrefill}}
	var rows [][]*plot.Plot
	for _, deployment := range uniqueNames(groups, func(k runKey) string { return k.deployment }) {
		var row []*plot.Plot
		for _, p := range panels {
			row = append(row, p.plot(deployment, groups))
		}
		rows = append(rows, row)
	}
	return rows
}

func uniqueNames(groups []runGroup, name func(k runKey) string) []string {
	var out []string
	for _, g := range groups {
		if !slices.Contains(out, name(g.key)) {
			out = append(out, name(g.key))
		}
	}
	return out
}

func (p panel) plot(deployment string, groups []runGroup) *plot.Plot {
	out := plot.New()
	out.Title.Text = deployment + ": " + p.title
	out.X.Label.Text = "offered load, share of bound"
	out.Y.Min = 0
	out.Legend.Top = true
	for i, name := range uniqueNames(groups, func(k runKey) string { return k.policy }) {
		points := p.points(deployment, name, groups)
		if len(points) == 0 {
			continue
		}
		line, marks, err := plotter.NewLinePoints(points)
		if err != nil {
			continue
		}
		line.Color, marks.Color = lineColor(i), lineColor(i)
		marks.Shape = draw.CircleGlyph{}
		out.Add(line, marks)
		out.Legend.Add(name, line, marks)
	}
	out.Y.Max *= yAxisStretch
	return out
}

// points returns the medians over offered load. Only cases whose name is a number,
// the load as a share of the bound, are plotted.
func (p panel) points(deployment, policy string, groups []runGroup) plotter.XYs {
	var out plotter.XYs
	for _, g := range groups {
		x, err := strconv.ParseFloat(g.key.caseName, 64)
		if err != nil || g.key.deployment != deployment || g.key.policy != policy {
			continue
		}
		m, _, _ := g.medianAndRange(p.field)
		out = append(out, plotter.XY{X: x, Y: m})
	}
	slices.SortFunc(out, func(a, b plotter.XY) int {
		if a.X < b.X {
			return -1
		}
		return 1
	})
	return out
}

func lineColor(i int) color.Color {
	colors := []color.Color{
		color.RGBA{R: 0x1b, G: 0x5e, B: 0x9b, A: 0xff},
		color.RGBA{R: 0xc8, G: 0x55, B: 0x1b, A: 0xff},
		color.RGBA{R: 0x5b, G: 0x8c, B: 0x2a, A: 0xff},
	}
	return colors[i%len(colors)]
}

// drawFile writes the rows as an SVG file.
func drawFile(file string, rows [][]*plot.Plot) error {
	if len(rows) == 0 {
		return fmt.Errorf("%s: no runs to draw", file)
	}
	c := vgsvg.New(width, height)
	tiles := draw.Tiles{Rows: len(rows), Cols: len(rows[0]), PadX: padding, PadY: padding, PadTop: padding, PadBottom: padding, PadLeft: padding, PadRight: padding}
	canvases := plot.Align(rows, tiles, draw.New(c))
	for i, row := range rows {
		for j, p := range row {
			p.Draw(canvases[i][j])
		}
	}
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if _, err := c.WriteTo(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
