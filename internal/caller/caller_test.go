package caller_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/stretchr/testify/require"

	"pollencroft/internal/call"
	"pollencroft/internal/caller"
	"pollencroft/internal/cell"
	"pollencroft/internal/table"
)

var now = time.Unix(1_700_000_000, 0).UTC()

// serve handles a request as an entry host does. It returns the requests that
// were forwarded and the recorded answer.
func serve(r *http.Request) ([]call.Request, *httptest.ResponseRecorder) {
	var sent []call.Request
	mux := chi.NewRouter()
	caller.New(caller.Deps{
		Row: func(name string) (table.Row, int64) {
			if name != "scan" {
				return table.Row{}, 0
			}
			return table.Row{Name: name, Deadline: cell.Duration{Duration: 2 * time.Second}}, 1
		},
		Do: func(_ context.Context, r call.Request) call.Reply {
			sent = append(sent, r)
			return call.Reply{Outcome: cell.Done, Status: http.StatusOK}
		},
		MaxBody: 16, MaxWait: time.Minute, Clock: func() time.Time { return now },
	}).Routes(mux)
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, r)
	return sent, w
}

func request(path, body string, header ...string) *http.Request {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	for i := 0; i < len(header); i += 2 {
		r.Header.Add(header[i], header[i+1])
	}
	return r
}

// A caller sends invalid input. The answer must name the invalid field and say
// that the request was refused, and nothing may be forwarded; a scan must not run
// under a corrupted key.
func TestWrongInputIsRefusedAndNothingIsSent(t *testing.T) {
	wrong := map[string]struct {
		r      *http.Request
		status int
		field  string
	}{
		"long key":           {request("/do/scan/gate", "", caller.HeaderKey, strings.Repeat("k", 129)), 400, caller.HeaderKey},
		"control character":  {request("/do/scan/gate", "", caller.HeaderKey, "a\tb"), 400, caller.HeaderKey},
		"escape":             {request("/do/scan/gate", "", caller.HeaderKey, "a\x7f"), 400, caller.HeaderKey},
		"C1 control":         {request("/do/scan/gate", "", caller.HeaderKey, "a\u0085"), 400, caller.HeaderKey},
		"not text":           {request("/do/scan/gate", "", caller.HeaderKey, "a\xff"), 400, caller.HeaderKey},
		"empty key":          {request("/do/scan/gate", "", caller.HeaderKey, ""), 400, caller.HeaderKey},
		"two keys":           {request("/do/scan/gate", "", caller.HeaderKey, "a", caller.HeaderKey, "b"), 400, caller.HeaderKey},
		"attempt zero":       {request("/do/scan/gate", "", caller.HeaderAttempt, "0"), 400, caller.HeaderAttempt},
		"attempt negative":   {request("/do/scan/gate", "", caller.HeaderAttempt, "-1"), 400, caller.HeaderAttempt},
		"attempt fraction":   {request("/do/scan/gate", "", caller.HeaderAttempt, "1.5"), 400, caller.HeaderAttempt},
		"attempt huge":       {request("/do/scan/gate", "", caller.HeaderAttempt, "99999999999999999999"), 400, caller.HeaderAttempt},
		"two attempts":       {request("/do/scan/gate", "", caller.HeaderAttempt, "1", caller.HeaderAttempt, "2"), 400, caller.HeaderAttempt},
		"deadline past":      {request("/do/scan/gate", "", caller.HeaderDeadline, now.Add(-time.Second).Format(time.RFC3339Nano)), 400, caller.HeaderDeadline},
		"deadline negative":  {request("/do/scan/gate", "", caller.HeaderDeadline, "-1s"), 400, caller.HeaderDeadline},
		"deadline no time":   {request("/do/scan/gate", "", caller.HeaderDeadline, "soon"), 400, caller.HeaderDeadline},
		"two deadlines":      {request("/do/scan/gate", "", caller.HeaderDeadline, "1s", caller.HeaderDeadline, "2s"), 400, caller.HeaderDeadline},
		"body over limit":    {request("/do/scan/gate", strings.Repeat("b", 17)), 413, "body"},
		"row not in table":   {request("/do/none/gate", ""), 404, "workload"},
		"path not known":     {request("/gate", ""), 404, "path"},
		"method not allowed": {request("/jobs/1/trail", ""), 405, "method"},
	}
	for name, c := range wrong {
		t.Run(name, func(t *testing.T) {
			sent, w := serve(c.r)
			require.Empty(t, sent)
			require.Equal(t, c.status, w.Code)
			require.Equal(t, "refused", w.Header().Get(caller.HeaderOutcome))
			require.Contains(t, w.Body.String(), `"outcome":"refused"`)
			require.Contains(t, strings.ToLower(w.Body.String()), strings.ToLower(c.field))
			require.NotEmpty(t, w.Header().Get("Retry-After"))
		})
	}
}

// Valid input is forwarded unchanged, and the deadline is limited to the longest
// allowed wait.
func TestRightInputIsSentOn(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"": 2 * time.Second, "800ms": 800 * time.Millisecond, "2h": time.Minute,
		now.Add(3 * time.Second).Format(time.RFC3339Nano): 3 * time.Second,
	} {
		header := []string{caller.HeaderKey, strings.Repeat("k", 128), caller.HeaderAttempt, "3"}
		if text != "" {
			header = append(header, caller.HeaderDeadline, text)
		}
		sent, w := serve(request("/do/scan/gate?x=1", strings.Repeat("b", 16), header...))
		require.Equal(t, http.StatusOK, w.Code)
		require.Len(t, sent, 1)
		require.Equal(t, 3, sent[0].Attempt)
		require.Equal(t, "/gate?x=1", sent[0].Path)
		require.Len(t, sent[0].Body, 16)
		require.Equal(t, want, sent[0].Deadline.Sub(now), text)
	}
}
