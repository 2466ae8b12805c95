package retry

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
)

// Budgets limits the retries of each member and class with a token bucket:
// unlimited retries would multiply the load on a component that has just failed.
type Budgets struct {
	perSecond rate.Limit
	burst     int
	buckets   map[bucketKey]*rate.Limiter
}

type bucketKey struct{ member, class string }

// NewBudgets returns budgets that allow each member and class perSecond retries
// per second and bursts of up to burst retries. perSecond must be above zero.
func NewBudgets(perSecond float64, burst int) *Budgets {
	return &Budgets{perSecond: rate.Limit(perSecond), burst: burst, buckets: make(map[bucketKey]*rate.Limiter)}
}

// take takes one retry from the budget and reports whether the budget allowed it.
func (b *Budgets) take(member, class string, now mono.Time) bool {
	key := bucketKey{member, class}
	bucket, ok := b.buckets[key]
	if !ok {
		bucket = rate.NewLimiter(b.perSecond, b.burst)
		b.buckets[key] = bucket
	}
	return bucket.AllowN(time.Unix(0, int64(now)), 1)
}

// refillTime returns how long an empty bucket takes to gain one token.
func (b *Budgets) refillTime() time.Duration {
	return time.Duration(float64(time.Second) / float64(b.perSecond))
}
