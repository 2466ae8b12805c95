// Package deps keeps the versions that resolve together in go.mod until the
// packages that use them have landed.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/alexflint/go-arg"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/dgryski/go-rendezvous"
	_ "github.com/jackc/pgx/v5"
	_ "github.com/jackc/pgx/v5/pgproto3"
	_ "github.com/jonboulle/clockwork"
	_ "github.com/onsi/ginkgo/v2"
	_ "github.com/onsi/gomega"
	_ "github.com/tailscale/hujson"
	_ "github.com/uber-go/tally/v4"
	_ "go.uber.org/fx"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "pgregory.net/rapid"
)
