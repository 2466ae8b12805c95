package load

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/internal/metrics"
)

// ReplicaShare tells how many of the reads replicas served.
type ReplicaShare struct {
	// Measured counts the daemons whose counters were read before and after.
	Measured int `json:"measured_daemons"`
	Daemons  int `json:"daemons"`
	// Members has the counts by member and class.
	Classes []ClassShare `json:"classes"`
}

// ClassShare is the share of one class.
type ClassShare struct {
	Member  string `json:"member"`
	Class   string `json:"class"`
	Replica int64  `json:"replica"`
	Primary int64  `json:"primary"`
}

// Percent returns the share of replicas; false when there were no reads.
func (c ClassShare) Percent() (float64, bool) {
	all := c.Replica + c.Primary
	if all == 0 {
		return 0, false
	}
	return 100 * float64(c.Replica) / float64(all), true
}

// scrape is what one daemon's metrics said.
type scrape struct {
	address string
	reads   map[readKey]int64
	err     error
}

type readKey struct{ member, class, role string }

// scrapePause lets the daemons report what they counted last.
const (
	scrapePause   = time.Second
	scrapeTimeout = 2 * time.Second
)

// scrapeAll reads the daemons' counters.
func scrapeAll(ctx context.Context, profiles []Profile) []scrape {
	var out []scrape
	seen := map[string]bool{}
	for _, p := range profiles {
		for _, address := range p.AdminAddresses {
			if seen[address] {
				continue
			}
			if len(seen) == 0 {
				time.Sleep(scrapePause)
			}
			seen[address] = true
			reads, err := scrapeOne(ctx, address)
			out = append(out, scrape{address, reads, err})
		}
	}
	return out
}

func scrapeOne(ctx context.Context, address string) (map[readKey]int64, error) {
	ctx, cancel := context.WithTimeout(ctx, scrapeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+metrics.PathJSON, nil)
	if err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	defer resp.Body.Close()
	var s metrics.Snapshot
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		return nil, errors.Wrap(err, "metrics")
	}
	reads := map[readKey]int64{}
	for _, c := range s.Counters {
		if c.Name == metrics.ReadsServed {
			reads[readKey{c.Tags[metrics.TagMember], c.Tags[metrics.TagClass], c.Tags[metrics.TagRole]}] += c.Value
		}
	}
	return reads, nil
}

// shareOf adds up the differences of the daemons that answered both times. One
// that was replaced meanwhile counts from zero again, and is left out.
func shareOf(before, after []scrape) ReplicaShare {
	share := ReplicaShare{Daemons: len(after)}
	sums := map[classKey]*ClassShare{}
	for n := range after {
		if before[n].err != nil || after[n].err != nil || restarted(before[n].reads, after[n].reads) {
			continue
		}
		share.Measured++
		for key, value := range after[n].reads {
			name := classKey{key.member, key.class}
			if sums[name] == nil {
				sums[name] = &ClassShare{Member: key.member, Class: key.class}
			}
			sums[name].add(key.role, value-before[n].reads[key])
		}
	}
	for _, key := range sortedKeys(sums) {
		share.Classes = append(share.Classes, *sums[key])
	}
	return share
}

func (c *ClassShare) add(role string, reads int64) {
	if role == metrics.RoleReplica {
		c.Replica += reads
		return
	}
	c.Primary += reads
}

func restarted(before, after map[readKey]int64) bool {
	for key, value := range before {
		if after[key] < value {
			return true
		}
	}
	return false
}
