package load

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/buckthornshore/buckthornshore/internal/metrics"
)

// ReplicaShare holds the numbers of reads that replicas and primaries served.
type ReplicaShare struct {
	// Measured is the number of daemons whose counters were read both before and
	// after the load and that did not restart in between.
	Measured int `json:"measured_daemons"`
	Daemons  int `json:"daemons"`
	// Classes holds the counts by member and class.
	Classes []ClassShare `json:"classes"`
}

// ClassShare holds the numbers of reads of one class by the role of the database.
type ClassShare struct {
	Member  string `json:"member"`
	Class   string `json:"class"`
	Replica int64  `json:"replica"`
	Primary int64  `json:"primary"`
}

// Percent returns the percentage of reads that replicas served; false when there
// were no reads.
func (c ClassShare) Percent() (float64, bool) {
	total := c.Replica + c.Primary
	if total == 0 {
		return 0, false
	}
	return 100 * float64(c.Replica) / float64(total), true
}

// scrape holds the read counters of one daemon.
type scrape struct {
	address string
	reads   map[readKey]int64
	err     error
}

type readKey struct{ member, class, role string }

// scrapePause is the wait before the counters are read, so that the daemons have
// published the last changes.
const (
	scrapePause   = time.Second
	scrapeTimeout = 2 * time.Second
)

// scrapeAll reads the read counters of all daemons of the profiles.
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

// replicaShare adds up the differences of the counters of the daemons that
// answered both times. A daemon that restarted in between counts from zero again
// and is left out.
func replicaShare(before, after []scrape) ReplicaShare {
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
