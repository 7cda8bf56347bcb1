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
	width  = 22 * vg.Centimeter
	height = 16 * vg.Centimeter
	pad    = 4 * vg.Millimeter
	// legendRoom stretches the vertical axis, so that no line meets the legend.
	legendRoom = 1.4
)

// panel is one of the two figures drawn for each deployment.
type panel struct {
	title string
	field func(l Line) float64
}

// drawRows makes a row of panels for each deployment.
func drawRows(groups []runs) [][]*plot.Plot {
	panels := []panel{{title: "goodput, share of bound", field: goodput}, {title: "wasted prefill, share", field: wasted}}
	var rows [][]*plot.Plot
	for _, d := range names(groups, func(k key) string { return k.deployment }) {
		var row []*plot.Plot
		for _, p := range panels {
			row = append(row, p.plot(d, groups))
		}
		rows = append(rows, row)
	}
	return rows
}

func names(groups []runs, of func(k key) string) []string {
	var out []string
	for _, g := range groups {
		if !slices.Contains(out, of(g.key)) {
			out = append(out, of(g.key))
		}
	}
	return out
}

func (p panel) plot(deployment string, groups []runs) *plot.Plot {
	out := plot.New()
	out.Title.Text = deployment + ": " + p.title
	out.X.Label.Text = "offered load, share of bound"
	out.Y.Min = 0
	out.Legend.Top = true
	for i, name := range names(groups, func(k key) string { return k.policy }) {
		points := p.points(deployment, name, groups)
		if len(points) == 0 {
			continue
		}
		line, marks, err := plotter.NewLinePoints(points)
		if err != nil {
			continue
		}
		line.Color, marks.Color = shade(i), shade(i)
		marks.Shape = draw.CircleGlyph{}
		out.Add(line, marks)
		out.Legend.Add(name, line, marks)
	}
	out.Y.Max *= legendRoom
	return out
}

// points is the medians of the cases that are a plain share of the bound.
func (p panel) points(deployment, policy string, groups []runs) plotter.XYs {
	var out plotter.XYs
	for _, g := range groups {
		x, err := strconv.ParseFloat(g.key.kind, 64)
		if err != nil || g.key.deployment != deployment || g.key.policy != policy {
			continue
		}
		m, _, _ := g.median(p.field)
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

func shade(i int) color.Color {
	shades := []color.Color{
		color.RGBA{R: 0x1b, G: 0x5e, B: 0x9b, A: 0xff},
		color.RGBA{R: 0xc8, G: 0x55, B: 0x1b, A: 0xff},
		color.RGBA{R: 0x5b, G: 0x8c, B: 0x2a, A: 0xff},
	}
	return shades[i%len(shades)]
}

// drawFile writes the rows as one SVG file.
func drawFile(file string, rows [][]*plot.Plot) error {
	if len(rows) == 0 {
		return fmt.Errorf("%s: no runs to draw", file)
	}
	c := vgsvg.New(width, height)
	tiles := draw.Tiles{Rows: len(rows), Cols: len(rows[0]), PadX: pad, PadY: pad, PadTop: pad, PadBottom: pad, PadLeft: pad, PadRight: pad}
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
