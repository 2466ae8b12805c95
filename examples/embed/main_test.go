package main

import "os"

// The output is deterministic: run reads no clock and seeds its random sources.
func Example() {
	if err := run(os.Stdout); err != nil {
		panic(err)
	}
	// Output:
	// poolers: db-a at vm-a, db-b at vm-b
	// the write may be acknowledged for 1.5s
	// after 2.5s without an answer it may not: true
	// the session's floor at another entry: 1/7
	// the read goes to db-b
	// started 1, waiting 1
}
