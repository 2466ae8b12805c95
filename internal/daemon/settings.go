// Package daemon assembles the proxy daemon from its components.
package daemon

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/entry"
	"github.com/buckthornshore/buckthornshore/internal/opauth"
	"github.com/buckthornshore/buckthornshore/internal/settings"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/session"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Settings are the settings of one daemon, such as its addresses and its data
// centre.
type Settings struct {
	VM         topology.VMID       `json:"vm"`
	DataCentre topology.DataCentre `json:"data_centre"`
	Region     string              `json:"region"`
	// CallerAddress is the address for callers, ip:port.
	CallerAddress string `json:"caller_address"`
	// PeerAddress is the address for other VMs, ip:port.
	PeerAddress string `json:"peer_address"`
	// AdminAddress is the address for metrics, health checks and operators,
	// ip:port; optional.
	AdminAddress string `json:"admin_address"`
	// Peers are the peer addresses of a few other VMs, ip:port. They are queried
	// when the platform is unavailable and no VM is known yet; optional.
	Peers []string `json:"peers"`
	// PlatformURL is the URL of the platform's service.
	PlatformURL string `json:"platform_url"`
	// ConfigFile is the configuration document that is used until the platform has
	// one; optional.
	ConfigFile string `json:"config_file"`
	// AddressMap replaces addresses before they are dialled, for data centres that
	// reach each other under translated addresses.
	AddressMap map[string]string `json:"address_map"`
	// PlatformTimeout is how long a call to the platform may go without receiving
	// data, before the response begins and while it is read.
	PlatformTimeout settings.Duration `json:"platform_timeout"`
	LogLevel        string            `json:"log_level"`
	// OperatorSecret is the key that signs operators' requests. If it is empty, no
	// operator's request is served.
	OperatorSecret string `json:"operator_secret"`
	// TokenKeys are the hexadecimal keys that sign session tokens, by key id. They
	// must be the same on all daemons. TokenKey is the id of the key that signs new
	// tokens.
	TokenKeys map[session.KeyID]string `json:"token_keys"`
	TokenKey  session.KeyID            `json:"token_key"`
	// Baseline replaces routing and admission by a simpler policy for comparative
	// measurements: primary_only or random_replica, both first come, first served.
	// It is empty in production.
	Baseline entry.Baseline `json:"baseline"`
	// CheckInvariants makes the process exit when an invariant is broken. Otherwise
	// it continues.
	CheckInvariants bool `json:"check_invariants"`
}

// defaultPlatformTimeout is used when the settings have no platform_timeout.
const defaultPlatformTimeout = settings.Duration(time.Second)

// LoadSettings reads and checks a settings file.
func LoadSettings(path string) (Settings, error) {
	s := Settings{PlatformTimeout: defaultPlatformTimeout, LogLevel: "info"}
	if err := settings.Load(path, &s); err != nil {
		return s, err
	}
	return s, s.check()
}

func (s *Settings) check() error {
	if s.Baseline != "" && s.Baseline != entry.PrimaryOnly && s.Baseline != entry.RandomReplica {
		return result.New(result.ConfigInvalid, "baseline: %q is neither %s nor %s", s.Baseline, entry.PrimaryOnly, entry.RandomReplica)
	}
	for name, value := range map[string]string{
		"vm": string(s.VM), "data_centre": string(s.DataCentre), "platform_url": s.PlatformURL,
	} {
		if value == "" {
			return result.New(result.ConfigInvalid, "%s is missing", name)
		}
	}
	if n := len(s.OperatorSecret); n > 0 && n < opauth.MinSecretLength {
		return result.New(result.ConfigInvalid, "operator_secret has %d bytes; %d or more are wanted", n, opauth.MinSecretLength)
	}
	addresses := map[string]string{"caller_address": s.CallerAddress, "peer_address": s.PeerAddress}
	if s.AdminAddress != "" {
		addresses["admin_address"] = s.AdminAddress
	}
	for i, address := range s.Peers {
		addresses[fmt.Sprintf("peers[%d]", i)] = address
	}
	for name, address := range addresses {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return result.New(result.ConfigInvalid, "%s: %v; ip:port is wanted", name, err)
		}
	}
	return nil
}

// keyRing decodes the token keys. If there are none, it generates a random key, and
// tokens are valid only at this daemon until it restarts.
func (s *Settings) keyRing() (*session.KeyRing, error) {
	keys := map[session.KeyID][]byte{}
	for id, text := range s.TokenKeys {
		key, err := hex.DecodeString(text)
		if err != nil {
			return nil, result.New(result.ConfigInvalid, "token_keys %d: %v", id, err)
		}
		keys[id] = key
	}
	if len(keys) == 0 {
		keys[s.TokenKey] = make([]byte, session.MinKeyLength)
		_, _ = rand.Read(keys[s.TokenKey]) // Never fails on Linux.
	}
	return session.NewKeyRing(s.TokenKey, keys)
}
