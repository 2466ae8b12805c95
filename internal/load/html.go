package load

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

//go:embed report.html
var reportPage string

// Sizes of the charts in pixels.
const (
	chartWidth  = 900
	chartHeight = 220
	barHeight   = 16
)

var reportTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"short":      short,
	"after":      after,
	"bars":       bars,
	"throughput": throughput,
	"colour":     colour,
}).Parse(reportPage))

// WriteHTML writes the report as a self-contained HTML page.
func (r *RunReport) WriteHTML(path string) error {
	var page bytes.Buffer
	if err := reportTemplate.Execute(&page, r); err != nil {
		return errors.Wrap(err, "report")
	}
	return errors.Wrap(os.WriteFile(path, page.Bytes(), fileMode), "report")
}

// colours are the colours of the classes in tables and charts.
var colours = []string{"#1b6ca8", "#c8553d", "#3a7d44", "#8b5fbf", "#c29200", "#007f7f", "#7a4419", "#555555"}

func colour(n int) string { return colours[n%len(colours)] }

// bars draws the latency percentiles of each class as a bar chart.
func bars(r *RunReport) template.HTML {
	slowest := time.Duration(1)
	for _, c := range r.Classes {
		slowest = max(slowest, c.Latency.P999)
	}
	var b strings.Builder
	y := 0
	for n, c := range r.Classes {
		for _, p := range []struct {
			name  string
			value time.Duration
		}{{"p50", c.Latency.P50}, {"p90", c.Latency.P90}, {"p99", c.Latency.P99}, {"p99.9", c.Latency.P999}} {
			width := float64(p.value) / float64(slowest) * chartWidth / 2
			fmt.Fprintf(&b, `<text x="0" y="%d">%s %s</text>`, y+barHeight-4, template.HTMLEscapeString(c.Class), p.name)
			fmt.Fprintf(&b, `<rect x="220" y="%d" width="%.1f" height="%d" fill="%s"/>`, y+2, width, barHeight-4, colour(n))
			fmt.Fprintf(&b, `<text x="%.1f" y="%d">%s</text>`, 226+width, y+barHeight-4, short(p.value))
			y += barHeight
		}
		y += barHeight / 2
	}
	return svg(y, b.String())
}

// throughput draws the completed requests per second of each class and marks the
// faults.
func throughput(r *RunReport) template.HTML {
	highest, seconds := 1, 1
	for _, c := range r.Classes {
		seconds = max(seconds, len(c.Seconds))
		for _, n := range c.Seconds {
			highest = max(highest, n)
		}
	}
	x := func(second float64) float64 { return second / float64(seconds) * chartWidth }
	var b strings.Builder
	for n, c := range r.Classes {
		var points []string
		for second, count := range c.Seconds {
			y := chartHeight - float64(count)/float64(highest)*chartHeight
			points = append(points, fmt.Sprintf("%.1f,%.1f", x(float64(second)+0.5), y))
		}
		fmt.Fprintf(&b, `<polyline points="%s" fill="none" stroke="%s" stroke-width="2"/>`, strings.Join(points, " "), colour(n))
	}
	for _, f := range r.Faults {
		at := x(f.At.Seconds())
		fmt.Fprintf(&b, `<line x1="%.1f" y1="0" x2="%.1f" y2="%d" stroke="#000" stroke-dasharray="4"/>`, at, at, chartHeight)
		fmt.Fprintf(&b, `<text x="%.1f" y="12">%s</text>`, at+4, template.HTMLEscapeString(f.Fault))
	}
	fmt.Fprintf(&b, `<text x="0" y="%d">0 to %d a second over %d s</text>`, chartHeight+14, highest, seconds)
	return svg(chartHeight+20, b.String())
}

// svg wraps shapes in an svg element. Their texts must be escaped already.
func svg(height int, shapes string) template.HTML {
	return template.HTML(fmt.Sprintf(`<svg viewBox="0 0 %d %d" width="%d" height="%d">%s</svg>`,
		chartWidth, height, chartWidth, height, shapes))
}
