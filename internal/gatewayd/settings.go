// Package gatewayd assembles the gateway daemon. It is the only package outside the
// platform adapter that depends on the platform on which the product runs.
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

// Settings are the settings of one daemon, such as its addresses and its location.
type Settings struct {
	VM         topology.VMID       `json:"vm"`
	DataCentre topology.DataCentre `json:"data_centre"`
	Region     string              `json:"region"`
	// CallerAddress is where callers connect, ip:port.
	CallerAddress string `json:"caller_address"`
	// ReadyAddress is where the balancer checks whether the VM accepts connections, ip:port.
	ReadyAddress string `json:"ready_address"`
	// PeerAddress is where other VMs send their messages, ip:port over UDP and TCP.
	PeerAddress string `json:"peer_address"`
	// AdminAddress serves metrics, ip:port; optional.
	AdminAddress string `json:"admin_address"`
	// StoreAddress is the address of the platform's metadata store, and PromotionAddress
	// that of its promotion service.
	StoreAddress     string `json:"store_address"`
	PromotionAddress string `json:"promotion_address"`
	// CPUShare is the share of a core that the VM has; its cores are CPUSpeed times as fast as usual.
	CPUShare float64 `json:"cpu_share"`
	CPUSpeed float64 `json:"cpu_speed"`
	// QuotaWindow is the time over which customers' limits are counted. In any such time the fraction
	// QuotaExcess of a limit and QuotaSlack operations are allowed beyond it, to cover what VMs admit before
	// they learn of each other's operations.
	QuotaWindow settings.Duration `json:"quota_window"`
	QuotaExcess float64           `json:"quota_excess"`
	QuotaSlack  float64           `json:"quota_slack"`
	// Drain is for how long a target may be sent new work after it was announced that it leaves.
	Drain settings.Duration `json:"drain"`
	// Grace is how long the daemon may take to stop.
	Grace settings.Duration `json:"grace"`
	// MemoryMB is the memory limit of the process in MiB; the garbage collector stays below it. 0 is no limit.
	MemoryMB int64 `json:"memory_mb"`
	// MaxSessions is the maximum number of open sessions.
	MaxSessions int    `json:"max_sessions"`
	LogLevel    string `json:"log_level"`
	// Contracts are the parts of the platform's rules that are in force, as named by the platform.
	Contracts []string `json:"contracts"`
	// Overload selects the mechanisms that share scarce capacity. If it is missing, Contracts decide.
	Overload *Overload `json:"overload"`
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
	s.applyContracts()
	return s, s.check()
}

// check returns one error with all invalid settings.
func (s *Settings) check() error {
	var problems []string
	for name, value := range map[string]string{"vm": string(s.VM), "data_centre": string(s.DataCentre)} {
		if value == "" {
			problems = append(problems, name+" is missing")
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
			problems = append(problems, fmt.Sprintf("%s: %v; ip:port is wanted", name, err))
		}
	}
	if s.Drain < 0 {
		problems = append(problems, "drain must be 0 or more")
	}
	if s.Grace < minGrace {
		problems = append(problems, fmt.Sprintf("grace is %v; %v or more is wanted", s.Grace.Std(), minGrace.Std()))
	}
	if s.CPUShare <= 0 || s.CPUSpeed <= 0 {
		problems = append(problems, "cpu_share and cpu_speed must be above 0")
	}
	if s.QuotaWindow < minQuotaWindow {
		problems = append(problems, fmt.Sprintf("quota_window is %v; %v or more is wanted", s.QuotaWindow.Std(), minQuotaWindow.Std()))
	}
	if s.QuotaExcess < 0 || s.QuotaSlack < 0 {
		problems = append(problems, "quota_excess and quota_slack must be 0 or more")
	}
	if s.MaxSessions < 1 {
		problems = append(problems, "max_sessions must be 1 or more")
	}
	if len(problems) == 0 {
		return nil
	}
	slices.Sort(problems)
	return result.New(result.ConfigInvalid, "%s", strings.Join(problems, "; "))
}
