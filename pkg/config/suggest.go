package config

import (
	"fmt"
	"strings"
)

// maxSuggestDistance is the maximum edit distance between a misspelt name and the
// name that is suggested for it.
const maxSuggestDistance = 3

// listAndSuggest lists the allowed names and suggests the nearest one.
func listAndSuggest(name string, allowed []string) string {
	list := strings.Join(allowed, ", ")
	if near := nearest(name, allowed); near != "" {
		return fmt.Sprintf("%s (did you mean %q?)", list, near)
	}
	return list
}

func nearest(name string, allowed []string) string {
	// A name that differs in more than half of its letters is not a misspelling.
	best, bestDistance := "", min(maxSuggestDistance, len(name)/2)+1
	for _, a := range allowed {
		if d := editDistance(name, a); d < bestDistance {
			best, bestDistance = a, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance in bytes. Names whose lengths
// differ by more than maxSuggestDistance are not compared: the time for a long key
// in a hostile file would grow with the square of its length.
func editDistance(a, b string) int {
	if len(a)-len(b) > maxSuggestDistance || len(b)-len(a) > maxSuggestDistance {
		return maxSuggestDistance + 1
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			substitute := diagonal
			if a[i] != b[j] {
				substitute++
			}
			diagonal = row[j+1]
			row[j+1] = min(substitute, row[j]+1, diagonal+1)
		}
	}
	return row[len(b)]
}
