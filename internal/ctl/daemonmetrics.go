package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/metrics"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// metricsTimeout is the timeout for reading the metrics of one VM.
const metricsTimeout = 3 * time.Second

// readAllMetrics returns the metrics of the daemons with the given admin addresses, each once. It fails if one of them
// can't be read, since sums over the others would look complete.
func readAllMetrics(ctx context.Context, addresses []string) ([]metrics.Snapshot, error) {
	for _, address := range addresses {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return nil, result.New(result.BadArgument, "%v; want ip:port", err)
		}
	}
	var all []metrics.Snapshot
	for i, address := range addresses {
		if slices.Contains(addresses[:i], address) {
			continue
		}
		s, err := readMetrics(ctx, address)
		if err != nil {
			return nil, result.New(result.PlatformUnavailable, "daemon %s: %v", address, err)
		}
		all = append(all, s)
	}
	return all, nil
}

func readMetrics(ctx context.Context, address string) (metrics.Snapshot, error) {
	var s metrics.Snapshot
	ctx, cancel := context.WithTimeout(ctx, metricsTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+metrics.PathJSON, nil)
	if err != nil {
		return s, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return s, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return s, fmt.Errorf("%s answered %s", metrics.PathJSON, response.Status)
	}
	return s, json.NewDecoder(response.Body).Decode(&s)
}

// formatCounts formats the counts other than zero by ascending key, or "-" if there are none.
func formatCounts[N int | int64](counts map[string]N) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		if counts[name] != 0 {
			parts = append(parts, name+"="+strconv.FormatInt(int64(counts[name]), 10))
		}
	}
	return orDash(strings.Join(parts, " "))
}
