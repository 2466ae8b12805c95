// Package opauth signs operators' requests with a shared secret and verifies
// them. A signature covers the path, the time, a nonce and the body, so that a
// request can't be modified, redirected to another path or replayed. Neither
// requests nor responses are encrypted, and responses are not signed.
package opauth

import (
	"bytes"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// Headers of a signed request.
const (
	headerTime      = "Bts-Time"
	headerNonce     = "Bts-Nonce"
	headerSignature = "Bts-Signature"
)

const (
	// MinSecretLength is the minimum length of a secret in bytes.
	MinSecretLength = 16
	// MaxClockSkew is the largest accepted difference between the operator's clock and the
	// daemon's. Requests beyond it are refused; nonces are remembered for as long as
	// their requests are within it.
	MaxClockSkew = 30 * time.Second
	// maxBody is the maximum size of an operator's request body in bytes.
	maxBody = 1 << 20
	// maxNonces is the maximum number of remembered nonces, which bounds memory.
	// Requests beyond it are refused until older nonces expire.
	maxNonces = 10000
)

func sign(secret, path, at, nonce string, body []byte) string {
	mac := hmac.New(sha256.New, []byte(secret))
	for _, part := range []string{path, at, nonce} {
		mac.Write([]byte(part))
		mac.Write([]byte{0}) // Headers and paths contain no zero byte, so the parts are unambiguous.
	}
	mac.Write(body)
	return hex.EncodeToString(mac.Sum(nil))
}

// Signer is an http.RoundTripper that signs requests.
type Signer struct {
	Secret string
	Next   http.RoundTripper
	Now    func() time.Time
}

// RoundTrip implements http.RoundTripper.
func (s *Signer) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	_ = r.Body.Close()
	r = r.Clone(r.Context())
	r.Body = io.NopCloser(bytes.NewReader(body))
	at := strconv.FormatInt(s.Now().UnixMilli(), 10)
	nonce := rand.Text()
	r.Header.Set(headerTime, at)
	r.Header.Set(headerNonce, nonce)
	r.Header.Set(headerSignature, sign(s.Secret, r.URL.Path, at, nonce, body))
	return s.Next.RoundTrip(r)
}

// Verifier passes correctly signed requests to the next handler. With a secret
// shorter than MinSecretLength it refuses all requests. It is safe for concurrent use.
type Verifier struct {
	Secret string
	Next   http.Handler
	Now    func() time.Time

	mu     sync.Mutex
	nonces map[string]time.Time
}

// ServeHTTP implements http.Handler.
func (v *Verifier) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		refuse(w, "the body can't be read")
		return
	}
	if reason := v.check(r, body); reason != "" {
		refuse(w, reason)
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	v.Next.ServeHTTP(w, r)
}

// check returns why the request is refused, or "" if it is accepted.
func (v *Verifier) check(r *http.Request, body []byte) string {
	if len(v.Secret) < MinSecretLength {
		return "this daemon has no operator_secret"
	}
	at, nonce := r.Header.Get(headerTime), r.Header.Get(headerNonce)
	want := sign(v.Secret, r.URL.Path, at, nonce, body)
	if !hmac.Equal([]byte(want), []byte(r.Header.Get(headerSignature))) {
		return "the credential is missing or wrong"
	}
	ms, err := strconv.ParseInt(at, 10, 64)
	if err != nil || v.Now().Sub(time.UnixMilli(ms)).Abs() > MaxClockSkew {
		return "the request's time is too far from this daemon's"
	}
	if !v.firstUse(nonce) {
		return "the request was sent before"
	}
	return ""
}

// firstUse reports whether the nonce is new, and remembers it for as long as its
// request could be replayed. It also returns false when too many nonces are stored.
func (v *Verifier) firstUse(nonce string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := v.Now()
	if v.nonces == nil {
		v.nonces = map[string]time.Time{}
	}
	for n, until := range v.nonces {
		if now.After(until) {
			delete(v.nonces, n)
		}
	}
	if _, used := v.nonces[nonce]; used || len(v.nonces) >= maxNonces {
		return false
	}
	v.nonces[nonce] = now.Add(2 * MaxClockSkew)
	return true
}

func refuse(w http.ResponseWriter, reason string) {
	e := result.New(result.NotAuthorized, "%s", reason)
	_ = twirp.WriteError(w, twirp.NewError(twirp.Unauthenticated, e.Error()))
}
