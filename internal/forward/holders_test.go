package forward_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Guards against a target that counts as failing because one of its holders has ended: another
// holder is tried.
func TestAnUnreachableHolderIsSkipped(t *testing.T) {
	others := []topology.VM{{ID: "ended", DataCentre: "dc", PeerAddress: "127.0.0.1:1"}}
	for i := range 12 {
		others = append(others, topology.VM{ID: topology.VMID(fmt.Sprintf("far-%d", i)), DataCentre: "far"})
	}
	_, driver := startDriver(t, others, 10)
	for range 40 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		c, err := driver.Dial(ctx, theTarget, "")
		cancel()
		if err != nil {
			t.Fatal(err)
		}
		c.Close()
	}
}
