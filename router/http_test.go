package router

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/config"
	"opalbridge.dev/kv/kvtest"
)

func newTestRouter(t testing.TB) *Router {
	r := &Router{options: Options{KV: &kvtest.Service{}}.withDefaults()}
	require.True(t, r.holder.Offer(&config.Document{
		Revision: 1,
		Accounts: []config.Account{{ID: 1, Name: "a", Share: 1, Keys: []config.Key{{Hash: config.HashKey("key")}}}},
		Pools:    []config.Pool{{Name: "small", Kind: config.Model}, {Name: "booking", Kind: config.Service}},
	}))
	return r
}

func TestParseOptionHeaders(t *testing.T) {
	r := newTestRouter(t)
	tests := []struct {
		name, method, path string
		header             http.Header
		urgent, repeatable bool
	}{
		{"model requests are repeatable by default", "POST", "/v1/completions", http.Header{}, false, true},
		{"headers override the defaults", "POST", "/v1/completions", http.Header{UrgentHeader: {"true"}, NotRepeatableHeader: {"true"}}, true, false},
		{"service POST is not repeatable by default", "POST", "/services/booking/x", http.Header{}, false, false},
		{"service GET is repeatable by default", "GET", "/services/booking/x", http.Header{}, false, true},
		{"header overrides the default of service GET", "GET", "/services/booking/x", http.Header{NotRepeatableHeader: {"true"}}, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := httptest.NewRequest(test.method, test.path, strings.NewReader(`{"model":"small"}`))
			h.Header = test.header
			h.Header.Set("Authorization", "Bearer key")
			q, f := r.parse(h)
			require.Nil(t, f)
			if strings.HasPrefix(test.path, "/services") {
				c := httptest.NewRequest(test.method, test.path, nil)
				c.Header = test.header
				require.Nil(t, parseServiceNamed(q, c, r.holder.Current(), "booking"))
				require.Equal(t, "/x", q.Path)
			}
			require.Equal(t, test.urgent, q.Urgent)
			require.Equal(t, test.repeatable, q.Repeatable)
		})
	}
}

// FuzzRequest checks that any body and headers are either accepted or rejected with
// a status and code, without a panic.
func FuzzRequest(f *testing.F) {
	f.Add(`{"model":"small","max_tokens":3}`, "true", "100", "text/plain")
	f.Add(`{"model":`, "x", "-1", ";;")
	f.Add("", "", "99999999999999999999", "")
	r := newTestRouter(f)
	f.Fuzz(func(t *testing.T, body, urgent, deadline, contentType string) {
		h := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(body))
		h.Header.Set("Authorization", "Bearer key")
		h.Header.Set(UrgentHeader, urgent)
		h.Header.Set(DeadlineHeader, deadline)
		h.Header.Set("Content-Type", contentType)
		q, e := r.parse(h)
		if e == nil {
			e = parseModel(q, r.holder.Current())
		}
		if e != nil {
			require.GreaterOrEqual(t, e.status, 400)
			require.NotEmpty(t, e.code)
			return
		}
		require.Equal(t, "small", q.Pool)
		require.GreaterOrEqual(t, q.Estimate, 1.0)
	})
}
