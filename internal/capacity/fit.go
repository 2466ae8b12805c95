package capacity

import "slices"

// Point is one measured value at one size.
type Point struct{ Size, Value float64 }

// Line is the line Value = Base + Slope * Size.
type Line struct{ Base, Slope float64 }

// At returns the line's value at a size.
func (l Line) At(size float64) float64 { return l.Base + l.Slope*size }

// Fit returns the least-squares line through points: a flat line through the mean if
// all sizes are equal, and the zero Line if there are no points.
func Fit(points []Point) Line {
	n := float64(len(points))
	if n == 0 {
		return Line{}
	}
	var meanSize, meanValue float64
	for _, p := range points {
		meanSize += p.Size / n
		meanValue += p.Value / n
	}
	var covariance, variance float64
	for _, p := range points {
		covariance += (p.Size - meanSize) * (p.Value - meanValue)
		variance += (p.Size - meanSize) * (p.Size - meanSize)
	}
	if variance == 0 {
		return Line{Base: meanValue}
	}
	slope := covariance / variance
	return Line{Base: meanValue - slope*meanSize, Slope: slope}
}

// Spread is the median and the extremes of repeated measurements.
type Spread struct{ Median, Least, Greatest float64 }

// SpreadOf returns the spread of values. With an even number of values, the median is
// the upper of the two in the middle.
func SpreadOf(values []float64) Spread {
	if len(values) == 0 {
		return Spread{}
	}
	sorted := slices.Sorted(slices.Values(values))
	return Spread{Median: sorted[len(sorted)/2], Least: sorted[0], Greatest: sorted[len(sorted)-1]}
}
