package standin_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/standin"
)

// Other tests rely on the faults and the record of this stand-in. The Silent fault must affect only
// the request that it applies to, and the record must contain both requests.
func TestSilentFaultAffectsOneConnection(t *testing.T) {
	m := standin.NewBackend(8)
	srv := httptest.NewServer(m.Handler())
	defer srv.Close()
	put, err := http.NewRequest(http.MethodPut, srv.URL+"/faults", strings.NewReader(`{"silent":1}`))
	require.NoError(t, err)
	resp, err := srv.Client().Do(put)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	ask := func(ctx context.Context, id string) error {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, srv.URL+"/gate", strings.NewReader("pass"))
		require.NoError(t, err)
		req.Header.Set(standin.HeaderID, id)
		resp, err := srv.Client().Do(req)
		if err == nil {
			err = resp.Body.Close()
		}
		return err
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, ask(ctx, "a"), context.DeadlineExceeded)
	require.NoError(t, ask(t.Context(), "b"))
	require.Equal(t, map[string]int{"a": 1, "b": 1}, m.Record().Ran)
}
