package users

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-chi/chi/v5"

	"pollencroft/internal/store"
)

// hostOf returns the name of the host that made a request. Faults are set for single hosts.
type hostOf func(r *http.Request) string

// writePage writes a page as text, because a record may have a field that the JSON encoder refuses.
func (l *Log) writePage(w http.ResponseWriter, a store.Answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	items := make([]string, len(a.Records))
	for i, r := range a.Records {
		items[i] = fmt.Sprintf(`{"key":%s,"value":%q,"offset":%d`, quoted(r.Key), base64.StdEncoding.EncodeToString(r.Value), r.Offset)
		if raw, ok := l.fields[r.Key]; ok {
			items[i] += `,"extra":` + raw
		}
		items[i] += "}"
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"items":[%s],"more":%t,"end":%d}`, strings.Join(items, ","), a.More, a.End)
}

// quoted returns a string in JSON.
func quoted(s string) []byte {
	b, _ := json.Marshal(s)
	return b
}

// keyed is the prefix of the topics that retain the newest record of each key.
const keyed = "keyed."

// Handler returns the handler that serves the log over HTTP.
func (l *Log) Handler(host hostOf) http.Handler {
	r := chi.NewRouter()
	r.Post("/pollencroft/log-append", func(w http.ResponseWriter, r *http.Request) { l.serve(w, r, host, appendCall) })
	r.Get("/pollencroft/log-read", func(w http.ResponseWriter, r *http.Request) { l.serve(w, r, host, readCall) })
	r.Get("/pollencroft/log-newest", func(w http.ResponseWriter, r *http.Request) { l.serve(w, r, host, newestCall) })
	r.Get("/pollencroft/log-owners", func(w http.ResponseWriter, r *http.Request) { l.serve(w, r, host, ownersCall) })
	r.Post("/pollencroft/log-join", func(w http.ResponseWriter, r *http.Request) { l.serve(w, r, host, joinCall(store.Join)) })
	r.Post("/pollencroft/log-leave", func(w http.ResponseWriter, r *http.Request) { l.serve(w, r, host, joinCall(store.Leave)) })
	return r
}

// decoder decodes a call from an HTTP request.
type decoder func(r *http.Request) (store.Call, error)

func (l *Log) serve(w http.ResponseWriter, r *http.Request, host hostOf, read decoder) {
	c, err := read(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a, err := l.For(host(r)).Do(r.Context(), c)
	var unanswered *store.UnansweredError
	if errors.As(err, &unanswered) {
		// Closes the connection without an answer.
		panic(http.ErrAbortHandler)
	}
	if err != nil {
		refuse(w, err)
		return
	}
	l.answer(w, c, a)
}

func refuse(w http.ResponseWriter, err error) {
	var fenced *store.FencedError
	var moved *store.EndMismatchError
	var bad *store.InvalidError
	switch {
	case store.NotDone(err):
		w.WriteHeader(http.StatusServiceUnavailable)
	case errors.As(err, &fenced):
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "fenced"})
	case errors.As(err, &moved):
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": moved.End})
	case errors.As(err, &bad):
		writeJSON(w, http.StatusConflict, map[string]any{"reason": bad.Reason})
	default:
		w.WriteHeader(http.StatusInternalServerError)
	}
}

func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(v)
}

func topicOf(r *http.Request) (store.Call, error) {
	q := r.URL.Query()
	topic := q.Get("topic")
	part, err := strconv.Atoi(q.Get("part"))
	if err != nil || len(topic) <= len(keyed) || topic[:len(keyed)] != keyed {
		return store.Call{}, &store.InvalidError{Reason: "topic " + topic}
	}
	return store.Call{Topic: topic[len(keyed):], Part: part, Keyed: true}, nil
}

func number(r *http.Request, name string) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// maxRecordBytes is the largest record, maxCallBytes the largest append.
const (
	maxRecordBytes = 262_144
	maxCallBytes   = 2_097_152
)

func appendCall(r *http.Request) (store.Call, error) {
	c, err := topicOf(r)
	if err != nil {
		return c, err
	}
	c.Op = store.Append
	if r.URL.Query().Has("at") {
		at := number(r, "at")
		c.At = &at
	}
	c.Epoch, c.Seq = number(r, "epoch"), number(r, "seq")
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return c, errors.Wrap(err, "read records")
	}
	if len(b) > maxCallBytes {
		return c, &store.InvalidError{Op: store.Append, Reason: "call of " + strconv.Itoa(len(b)) + " bytes"}
	}
	for len(b) > 4 {
		n := int(binary.BigEndian.Uint32(b))
		if n > maxRecordBytes {
			return c, &store.InvalidError{Op: store.Append, Reason: "record of " + strconv.Itoa(n) + " bytes"}
		}
		k := int(b[4])
		c.Records = append(c.Records, store.Record{Key: string(b[5 : 5+k]), Value: append([]byte(nil), b[5+k:4+n]...)})
		b = b[4+n:]
	}
	return c, nil
}

func readCall(r *http.Request) (store.Call, error) {
	c, err := topicOf(r)
	c.Op, c.From = store.Read, number(r, "from")
	c.Wait = time.Duration(number(r, "waitMs")) * time.Millisecond
	return c, err
}

func newestCall(r *http.Request) (store.Call, error) {
	c, err := topicOf(r)
	c.Op, c.After = store.Newest, r.URL.Query().Get("after")
	return c, err
}

func ownersCall(r *http.Request) (store.Call, error) {
	return store.Call{Op: store.Owners, Group: r.URL.Query().Get("group")}, nil
}

func joinCall(op store.Op) decoder {
	return func(r *http.Request) (store.Call, error) {
		var body struct {
			Group, Member string
			Topics        []string
			TTLMs         int64 `json:"ttlMs"`
		}
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			return store.Call{}, errors.Wrap(err, "read body")
		}
		c := store.Call{Op: op, Group: body.Group, Member: body.Member, TTL: time.Duration(body.TTLMs) * time.Millisecond}
		for _, t := range body.Topics {
			c.Topics = append(c.Topics, t[len(keyed):])
		}
		return c, nil
	}
}

func (l *Log) answer(w http.ResponseWriter, c store.Call, a store.Answer) {
	switch c.Op {
	case store.Append:
		writeJSON(w, http.StatusOK, map[string]any{"offset": a.Offset, "end": a.End})
	case store.Read:
		b := binary.BigEndian.AppendUint64(nil, uint64(a.End))
		b = binary.BigEndian.AppendUint64(b, uint64(a.First))
		for _, r := range a.Records {
			b = binary.BigEndian.AppendUint32(b, uint32(1+len(r.Key)+len(r.Value)))
			b = append(b, byte(len(r.Key)))
			b = append(append(b, r.Key...), r.Value...)
		}
		_, _ = w.Write(b)
	case store.Newest:
		l.writePage(w, a)
	default:
		rows := make([][]any, 0, len(a.Shares))
		for _, s := range a.Shares {
			rows = append(rows, []any{keyed + s.Topic, s.Part, s.Member, 0})
		}
		writeJSON(w, http.StatusOK, map[string]any{"generation": a.Generation, "parts": rows})
	}
}
