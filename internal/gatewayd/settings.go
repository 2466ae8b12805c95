// Package gatewayd puts the parts of the gateway daemon together. It is the one place
// outside of the adapter that knows on which platform the product runs.
package gatewayd

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/settings"
	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Settings are the daemon's own: its addresses and its place.
type Settings struct {
	VM         topology.VMID       `json:"vm"`
	DataCentre topology.DataCentre `json:"data_centre"`
	Region     string              `json:"region"`
	// CallerAddress is where callers connect, ip:port.
	CallerAddress string `json:"caller_address"`
	// ReadyAddress is where the balancer asks whether the VM takes connections.
	ReadyAddress string `json:"ready_address"`
	// PeerAddress is where other VMs send to, ip:port over UDP and TCP.
	PeerAddress string `json:"peer_address"`
	// AdminAddress serves metrics, ip:port; optional.
	AdminAddress string `json:"admin_address"`
	// StoreAddress of the platform's metadata store, and PromotionAddress of its
	// promotions.
	StoreAddress     string `json:"store_address"`
	PromotionAddress string `json:"promotion_address"`
	// CPUShare is the part of a core that the VM has, of cores CPUSpeed times as fast as usual.
	CPUShare float64 `json:"cpu_share"`
	CPUSpeed float64 `json:"cpu_speed"`
	// QuotaWindow is the time over which customers' limits are counted. In any such time a part QuotaExcess
	// and QuotaSlack operations beyond a limit are allowed, for what VMs admit before they hear of each other.
	QuotaWindow settings.Duration `json:"quota_window"`
	QuotaExcess float64           `json:"quota_excess"`
	QuotaSlack  float64           `json:"quota_slack"`
	// Drain is for how long after it was announced a target that leaves may be sent new work.
	Drain settings.Duration `json:"drain"`
	// Grace is how long the daemon may take to stop.
	Grace settings.Duration `json:"grace"`
	// MemoryMB is the process's limit; the garbage collector keeps below.
	MemoryMB int64 `json:"memory_mb"`
	// MaxSessions bounds the open sessions.
	MaxSessions int    `json:"max_sessions"`
	LogLevel    string `json:"log_level"`
}

// Defaults and bounds of the settings.
const (
	defaultDrain       = settings.Duration(target.DefaultDrain)
	defaultGrace       = settings.Duration(6 * time.Second)
	minGrace           = settings.Duration(time.Second)
	defaultMaxSessions = 3000
	defaultQuotaWindow = settings.Duration(5 * time.Second)
	minQuotaWindow     = settings.Duration(time.Second)
)

// LoadSettings reads and checks a settings file.
func LoadSettings(path string) (Settings, error) {
	s := Settings{CPUShare: 1, CPUSpeed: 1, Drain: defaultDrain, Grace: defaultGrace, MaxSessions: defaultMaxSessions, QuotaWindow: defaultQuotaWindow, LogLevel: "info"}
	if err := settings.Load(path, &s); err != nil {
		return s, err
	}
	return s, s.check()
}

// check reports all that is wrong at once.
func (s *Settings) check() error {
	var wrong []string
	for name, value := range map[string]string{"vm": string(s.VM), "data_centre": string(s.DataCentre)} {
		if value == "" {
			wrong = append(wrong, name+" is missing")
		}
	}
	addresses := map[string]string{
		"caller_address": s.CallerAddress, "ready_address": s.ReadyAddress, "peer_address": s.PeerAddress,
		"store_address": s.StoreAddress, "promotion_address": s.PromotionAddress,
	}
	if s.AdminAddress != "" {
		addresses["admin_address"] = s.AdminAddress
	}
	for name, address := range addresses {
		if _, _, err := net.SplitHostPort(address); err != nil {
			wrong = append(wrong, fmt.Sprintf("%s: %v; ip:port is wanted", name, err))
		}
	}
	if s.Drain < 0 {
		wrong = append(wrong, "drain must be 0 or more")
	}
	if s.Grace < minGrace {
		wrong = append(wrong, fmt.Sprintf("grace is %v; %v or more is wanted", s.Grace.Std(), minGrace.Std()))
	}
	if s.CPUShare <= 0 || s.CPUSpeed <= 0 {
		wrong = append(wrong, "cpu_share and cpu_speed must be above 0")
	}
	if s.QuotaWindow < minQuotaWindow {
		wrong = append(wrong, fmt.Sprintf("quota_window is %v; %v or more is wanted", s.QuotaWindow.Std(), minQuotaWindow.Std()))
	}
	if s.QuotaExcess < 0 || s.QuotaSlack < 0 {
		wrong = append(wrong, "quota_excess and quota_slack must be 0 or more")
	}
	if s.MaxSessions < 1 {
		wrong = append(wrong, "max_sessions must be 1 or more")
	}
	if len(wrong) == 0 {
		return nil
	}
	slices.Sort(wrong)
	return result.New(result.ConfigInvalid, "%s", strings.Join(wrong, "; "))
}
