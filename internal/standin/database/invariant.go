package database

import "fmt"

// invariant stops the program when a condition that must always hold does not.
func invariant(holds bool, format string, args ...any) {
	if !holds {
		panic("database stand-in: invariant broken: " + fmt.Sprintf(format, args...))
	}
}
