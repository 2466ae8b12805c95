package retry

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
)

// Budgets bounds the retries of each member and class by a token bucket: retries
// without a bound multiply the load on what has just failed.
type Budgets struct {
	perSecond rate.Limit
	burst     int
	buckets   map[bucketKey]*rate.Limiter
}

type bucketKey struct{ member, class string }

// NewBudgets allows perSecond retries, and burst at once, to each member and
// class. perSecond must be above zero.
func NewBudgets(perSecond float64, burst int) *Budgets {
	return &Budgets{perSecond: rate.Limit(perSecond), burst: burst, buckets: make(map[bucketKey]*rate.Limiter)}
}

// take takes a retry out of the budget and reports whether there was one.
func (b *Budgets) take(member, class string, now mono.Time) bool {
	key := bucketKey{member, class}
	bucket, ok := b.buckets[key]
	if !ok {
		bucket = rate.NewLimiter(b.perSecond, b.burst)
		b.buckets[key] = bucket
	}
	return bucket.AllowN(time.Unix(0, int64(now)), 1)
}

// refill returns the time in which an empty bucket gets a token.
func (b *Budgets) refill() time.Duration {
	return time.Duration(float64(time.Second) / float64(b.perSecond))
}
