package ctl

import (
	"context"
	"crypto/rand"
	"net/http"
	"strconv"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/settings"
	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/config/store"
	"github.com/buckthornshore/buckthornshore/pkg/platform"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// defaultTimeout is the timeout of one command, including the look-up of a change
// whose answer was lost.
const defaultTimeout = settings.Duration(15 * time.Second)

// Settings is the tool's settings file.
type Settings struct {
	// PlatformURL is the base URL of the platform's service.
	PlatformURL string `json:"platform_url"`
	// Operator is the name that changes are recorded under.
	Operator string `json:"operator"`
	// Daemon is the admin or peer address of one daemon, which returns the addresses
	// of the others.
	Daemon string `json:"daemon"`
	// OperatorSecret is the operator secret in the daemons' settings.
	OperatorSecret string `json:"operator_secret"`
	// Timeout is the timeout of one command; 15 s if it is not set.
	Timeout settings.Duration `json:"timeout"`
}

// online is a run of a command that uses the platform or a daemon.
type online struct {
	*tool
	settings Settings
	store    *store.Store
}

func (t *tool) connect() (*online, error) {
	s := Settings{Timeout: defaultTimeout}
	if err := settings.Load(t.args.Settings, &s); err != nil {
		return nil, err
	}
	if s.PlatformURL == "" || s.Operator == "" || s.Timeout <= 0 {
		return nil, result.New(result.ConfigInvalid, "%s: platform_url, operator and a positive timeout are needed", t.args.Settings)
	}
	remote := platform.NewRemote(s.PlatformURL, programName+"/"+s.Operator, &http.Client{})
	return &online{tool: t, settings: s, store: &store.Store{
		Platform:    remote,
		Now:         time.Now,
		NewChangeID: rand.Text,
		Sleep:       sleep,
	}}, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// versionAnswer is the JSON output of an accepted change.
type versionAnswer struct {
	Version uint64 `json:"version"`
}

func (o *online) apply(ctx context.Context, c *applyCommand) error {
	doc, err := o.load(c.File)
	if err != nil {
		return err
	}
	version, err := o.store.Apply(ctx, doc, store.Expected{Version: c.ExpectVersion, ChangeID: c.ExpectChange}, o.settings.Operator)
	if err != nil {
		return err
	}
	return o.out.line(versionAnswer{version}, "configuration version %d accepted", version)
}

func (o *online) history(ctx context.Context) error {
	versions, err := o.store.History(ctx)
	if err != nil {
		return err
	}
	t := table{header: []string{"VERSION", "OPERATOR", "AT", "HASH", "ROLLBACK OF", "CHANGE"}}
	for _, v := range versions {
		t.rows = append(t.rows, []string{formatNumber(v.Version), v.Operator, formatTime(v.At), shortHash(v.Hash), formatNumber(v.RollbackOf), v.ChangeID})
	}
	return o.out.answer(append([]store.ConfigVersion{}, versions...), t)
}

func (o *online) rollback(ctx context.Context, c *rollbackCommand) error {
	current, err := o.store.Read(ctx)
	if err != nil {
		return err
	}
	expect := current.Config.Expected()
	if c.ExpectVersion != nil {
		expect = store.Expected{Version: *c.ExpectVersion}
	}
	version, err := o.store.Rollback(ctx, c.Version, expect, o.settings.Operator)
	if err != nil {
		return err
	}
	return o.out.line(versionAnswer{version}, "configuration version %d accepted, with the content of %d", version, c.Version)
}

// presetAnswer is one preset in the JSON output.
type presetAnswer struct {
	Name    string `json:"name"`
	InForce bool   `json:"in_force"`
}

func (o *online) listPresets(ctx context.Context) error {
	current, err := o.store.Read(ctx)
	if err != nil {
		return err
	}
	if current.Config.Version == 0 {
		return result.New(result.NotFound, "no configuration was applied yet")
	}
	doc, err := o.store.Load(ctx, current.Config)
	if err != nil {
		return err
	}
	answers, t := presetsOf(doc, current.Preset.Preset)
	return o.out.answer(answers, t)
}

func presetsOf(doc *config.Document, inForce string) ([]presetAnswer, table) {
	t := table{header: []string{"PRESET", "IN FORCE"}}
	var answers []presetAnswer
	for _, p := range doc.Presets {
		answer := presetAnswer{Name: p.Name, InForce: p.Name == inForce}
		answers = append(answers, answer)
		t.rows = append(t.rows, []string{p.Name, map[bool]string{true: "yes"}[answer.InForce]})
	}
	return answers, t
}

func (o *online) showPreset(ctx context.Context) error {
	current, err := o.store.Read(ctx)
	if err != nil {
		return err
	}
	p := current.Preset
	t := table{header: []string{"PRESET", "VERSION", "OPERATOR", "AT"}}
	t.rows = [][]string{{p.Preset, formatNumber(p.Version), orDash(p.Operator), formatTime(p.At)}}
	return o.out.answer(p, t)
}

func (o *online) switchPreset(ctx context.Context, c *presetSwitchCommand) error {
	current, err := o.store.Read(ctx)
	if err != nil {
		return err
	}
	expect := current.Preset.Expected()
	if c.ExpectVersion != nil {
		expect = store.Expected{Version: *c.ExpectVersion}
	}
	version, err := o.store.SwitchPreset(ctx, c.Name, expect, o.settings.Operator)
	if err != nil {
		return err
	}
	return o.out.line(versionAnswer{version}, "preset %s in force, switch %d", c.Name, version)
}

// formatNumber formats a version or term; 0 stands for none and is shown as a dash.
func formatNumber(n uint64) string {
	if n == 0 {
		return orDash("")
	}
	return strconv.FormatUint(n, 10)
}

func formatTime(at time.Time) string {
	if at.IsZero() {
		return orDash("")
	}
	return at.UTC().Format(time.RFC3339)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// shortHashLength is the number of characters of a hash that tables show, enough
// for a person to tell versions apart.
const shortHashLength = 12

func shortHash(hash string) string { return hash[:min(shortHashLength, len(hash))] }
