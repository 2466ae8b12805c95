package wait_test

import (
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/wait"
)

// Guards against tickers that wake the process at times of their own.
func TestTickersOfOnePeriodTickTogether(t *testing.T) {
	const period = 200 * time.Millisecond
	first := wait.NewTicker(t.Context(), period)
	defer first.Stop()
	time.Sleep(period / 3)
	second := wait.NewTicker(t.Context(), period)
	defer second.Stop()
	<-first.C // It may have been due while the second one waited.
	a, b := <-first.C, <-second.C
	apart := b.Sub(a).Abs() % period
	if min(apart, period-apart) > period/4 {
		t.Fatalf("%v apart", apart)
	}
}
