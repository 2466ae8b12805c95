// Package daemon puts the parts of a proxy daemon together.
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

// Settings are a daemon's own: its addresses and its data centre.
type Settings struct {
	VM         topology.VMID       `json:"vm"`
	DataCentre topology.DataCentre `json:"data_centre"`
	Region     string              `json:"region"`
	// CallerAddress is where callers connect, ip:port.
	CallerAddress string `json:"caller_address"`
	// PeerAddress is where other VMs connect, ip:port.
	PeerAddress string `json:"peer_address"`
	// AdminAddress serves metrics, health and operators, ip:port; optional.
	AdminAddress string `json:"admin_address"`
	// Peers are peer addresses of a few other VMs, ip:port, asked when the
	// platform is out and no VM is known yet; optional.
	Peers []string `json:"peers"`
	// PlatformURL of the platform's service.
	PlatformURL string `json:"platform_url"`
	// ConfigFile is used until the platform has a configuration; optional.
	ConfigFile string `json:"config_file"`
	// AddressMap replaces addresses before they are dialled, where networks of
	// two data centres see each other under other numbers.
	AddressMap map[string]string `json:"address_map"`
	// PlatformTimeout is how long the platform may be silent in a call, before its answer and
	// within it.
	PlatformTimeout settings.Duration `json:"platform_timeout"`
	LogLevel        string            `json:"log_level"`
	// OperatorSecret signs operators' requests; without it none is served.
	OperatorSecret string `json:"operator_secret"`
	// TokenKeys sign the sessions' tokens, hexadecimal by key id; all daemons have
	// the same. TokenKey is the id that new tokens are signed with.
	TokenKeys map[session.KeyID]string `json:"token_keys"`
	TokenKey  session.KeyID            `json:"token_key"`
	// Baseline replaces routing and admission by simpler ones to measure against:
	// primary_only or random_replica, both first come first served. Empty in earnest.
	Baseline entry.Baseline `json:"baseline"`
	// CheckInvariants has a broken invariant end the process instead of being
	// carried on with.
	CheckInvariants bool `json:"check_invariants"`
}

// defaultPlatformTimeout is used when the settings name none.
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
	if n := len(s.OperatorSecret); n > 0 && n < opauth.MinSecret {
		return result.New(result.ConfigInvalid, "operator_secret has %d bytes; %d or more are wanted", n, opauth.MinSecret)
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

// keyRing reads the token keys. Without any, a key of this start's own is used:
// then tokens are good at this daemon only, and the log says so.
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
