package wait

import (
	"context"
	"time"
)

// processStart is the common origin of all tickers.
var processStart = time.Now()

// NewTicker returns a ticker whose first tick is a multiple of the period after the start of the process, as
// are those of other tickers: ticks of several goroutines then take one wake-up of the process in place of
// one each. It waits for the first period to begin, or until ctx ends.
func NewTicker(ctx context.Context, period time.Duration) *time.Ticker {
	elapsed := time.Since(processStart)
	For(ctx, elapsed.Truncate(period)+period-elapsed)
	return time.NewTicker(period)
}
