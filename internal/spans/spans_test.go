package spans_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/spans"
)

func TestSpansAreSentToAnEndpoint(t *testing.T) {
	paths := make(chan string, 1)
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		select {
		case paths <- r.URL.Path:
		default:
		}
	}))
	defer srv.Close()
	done, err := spans.Export("nord-1", "", srv.URL+"/v1/traces")
	require.NoError(t, err)
	ctx, end := spans.Start(context.Background(), "caller", "id")
	require.NotEmpty(t, spans.TraceParent(ctx))
	end()
	done()
	require.Equal(t, "/v1/traces", <-paths)
}

func TestExportReportsFileThatCannotBeOpened(t *testing.T) {
	_, err := spans.Export("nord-1", filepath.Join(t.TempDir(), "no", "file"), "")
	require.Error(t, err)
}
