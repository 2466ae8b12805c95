package database

import "fmt"

// invariant panics with the formatted message if holds is false.
func invariant(holds bool, format string, args ...any) {
	if !holds {
		panic("database stand-in: invariant broken: " + fmt.Sprintf(format, args...))
	}
}
