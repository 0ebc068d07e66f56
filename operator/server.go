package operator

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxBodyBytes bounds the body of a call; a whole configuration fits well below.
	maxBodyBytes = 8 << 20
	// bodyTimeout bounds the time to receive a call's body.
	bodyTimeout = 10 * time.Second
	// maxConcurrentCalls bounds the calls in flight: each may hold a body and an answer of
	// megabytes.
	maxConcurrentCalls = 64
	// callTimeout bounds the handling of one call.
	callTimeout = 10 * time.Second
	// defaultSince is how far back events and series go if the call doesn't say.
	defaultSince = time.Minute
)

// Names of query parameters.
const (
	paramSince = "since"
	paramAfter = "after"
	paramLife  = "life"
)

// NewHandler returns a handler that serves the backend to operators. A refused call has
// no effect.
func NewHandler(b Backend) http.Handler {
	return newServer(b)
}

func newServer(b Backend) *server {
	s := &server{backend: b, quarantineBackend: b, slots: make(chan struct{}, maxConcurrentCalls), bodyTimeout: bodyTimeout}
	mux := http.NewServeMux()
	for pattern, handle := range handlers(s) {
		mux.HandleFunc(pattern, handle)
	}
	s.mux = mux
	return s
}

// Patterns returns the patterns that NewHandler serves.
func Patterns() []string { return slices.Sorted(maps.Keys(handlers(nil))) }

func handlers(s *server) map[string]http.HandlerFunc {
	return map[string]http.HandlerFunc{
		"GET " + PathConfig:         s.getConfig,
		"PUT " + PathConfig:         s.putConfig,
		"POST " + PathCheck:         s.check,
		"POST " + PathDrain:         s.drain,
		"POST " + PathConfirmDead:   s.confirmDead,
		"GET " + PathRevision:       s.revision,
		"GET " + PathStatus:         s.status,
		"GET " + PathEvents:         s.events,
		"GET " + PathExplainKey:     s.explainKey,
		"GET " + PathExplainRequest: s.explainRequest,
		"GET " + PathExplainTarget:  s.explainTarget,
		"GET " + PathSeries:         s.series,
		"GET " + PathRouters:        s.routers,
		"GET " + PathQuarantine:     s.quarantine,
		"POST " + PathRelease:       s.release,
	}
}

type server struct {
	backend Backend
	// quarantineBackend is the part of backend that a handler of its own may serve.
	quarantineBackend QuarantineBackend
	mux               *http.ServeMux
	// slots limits the calls in flight: each holds one place in the channel.
	slots       chan struct{}
	bodyTimeout time.Duration
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	default:
		writeError(w, Errorf(CodeUnavailable, "%d operators' calls are under way; ask again", maxConcurrentCalls))
		return
	}
	if name := requestedRouter(r); name != "" && name != s.backend.Self() {
		s.passOn(w, r, name)
		return
	}
	s.mux.ServeHTTP(w, r)
}

func (s *server) getConfig(w http.ResponseWriter, r *http.Request) {
	answer(w, r, s.backend.Config)
}

func (s *server) putConfig(w http.ResponseWriter, r *http.Request) {
	answerBody(s, w, r, func(ctx context.Context, req *ApplyRequest) (*ApplyReply, error) {
		req.Author = authorOf(ctx, req.Author)
		return s.backend.Apply(ctx, req)
	})
}

func (s *server) check(w http.ResponseWriter, r *http.Request) {
	answerBody(s, w, r, func(ctx context.Context, req *ApplyRequest) (*ApplyReply, error) {
		req.DryRun = true
		return s.backend.Apply(ctx, req)
	})
}

func (s *server) drain(w http.ResponseWriter, r *http.Request) {
	answerBody(s, w, r, func(ctx context.Context, req *DrainRequest) (*ApplyReply, error) {
		req.Author = authorOf(ctx, req.Author)
		return s.backend.Drain(ctx, req)
	})
}

func (s *server) confirmDead(w http.ResponseWriter, r *http.Request) {
	answerBody(s, w, r, func(ctx context.Context, req *ConfirmDeadRequest) (*ConfirmDeadReply, error) {
		req.Author = authorOf(ctx, req.Author)
		return s.backend.ConfirmDead(ctx, req)
	})
}

func (s *server) revision(w http.ResponseWriter, r *http.Request) {
	all := r.URL.Query().Get("all") == "true"
	answer(w, r, func(ctx context.Context) ([]RouterRevision, error) {
		return s.backend.Revisions(ctx, all)
	})
}

func (s *server) status(w http.ResponseWriter, r *http.Request) {
	answer(w, r, s.backend.Status)
}

func (s *server) events(w http.ResponseWriter, r *http.Request) {
	query, err := eventQuery(r.URL.Query())
	if err != nil {
		writeError(w, err)
		return
	}
	answer(w, r, func(ctx context.Context) (*EventPage, error) {
		return s.backend.Events(ctx, query)
	})
}

func eventQuery(q url.Values) (query EventQuery, err error) {
	if query.Since, err = sinceOf(q); err != nil {
		return query, err
	}
	for name, dst := range map[string]*uint64{paramAfter: &query.After, paramLife: &query.Life} {
		text := q.Get(name)
		if text == "" {
			continue
		}
		if *dst, err = strconv.ParseUint(text, 10, 64); err != nil {
			return query, Errorf(CodeInvalid, "%s %q is not a number", name, text)
		}
	}
	return query, nil
}

// sinceOf returns the start of the period that the call asks for.
func sinceOf(q url.Values) (time.Time, error) {
	since := defaultSince
	if text := q.Get(paramSince); text != "" {
		parsed, err := time.ParseDuration(text)
		if err != nil || parsed < 0 {
			return time.Time{}, Errorf(CodeInvalid, "since %q is not a duration; write for example 90s or 5m", text)
		}
		since = parsed
	}
	return time.Now().Add(-since), nil
}

func (s *server) series(w http.ResponseWriter, r *http.Request) {
	since, err := sinceOf(r.URL.Query())
	if err != nil {
		writeError(w, err)
		return
	}
	answer(w, r, func(ctx context.Context) (*Series, error) { return s.backend.Series(ctx, since) })
}

func (s *server) routers(w http.ResponseWriter, r *http.Request) {
	answer(w, r, s.backend.Routers)
}

func (s *server) explainKey(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	answer(w, r, func(ctx context.Context) (*KeyExplanation, error) {
		return s.backend.ExplainKey(ctx, q.Get("service"), q.Get("key"))
	})
}

func (s *server) explainRequest(w http.ResponseWriter, r *http.Request) {
	answer(w, r, func(ctx context.Context) (*RequestExplanation, error) {
		return s.backend.ExplainRequest(ctx, r.URL.Query().Get("id"))
	})
}

func (s *server) explainTarget(w http.ResponseWriter, r *http.Request) {
	answer(w, r, func(ctx context.Context) (*TargetExplanation, error) {
		return s.backend.ExplainTarget(ctx, r.URL.Query().Get("name"))
	})
}

// answer runs a call and writes its result.
func answer[T any](w http.ResponseWriter, r *http.Request, call func(context.Context) (T, error)) {
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	reply, err := call(ctx)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, reply)
}

// answerBody decodes the call's body strictly, runs the call and writes its result.
func answerBody[Q, T any](s *server, w http.ResponseWriter, r *http.Request, call func(context.Context, *Q) (T, error)) {
	req := new(Q)
	if err := s.readBody(w, r, req); err != nil {
		writeError(w, Errorf(CodeInvalid, "the body is not a valid call: %v", err))
		return
	}
	answer(w, r, func(ctx context.Context) (T, error) { return call(ctx, req) })
}

// readBody reads a body of one JSON value to its end. If that fails, the read deadline
// stays set, as net/http goes on to read the rest of the body. If it succeeds, the body is
// read whole, and the deadline is removed because it would cut off a call that takes long.
func (s *server) readBody(w http.ResponseWriter, r *http.Request, dst any) error {
	control := http.NewResponseController(w)
	// Only the response writers of tests don't support deadlines.
	_ = control.SetReadDeadline(time.Now().Add(s.bodyTimeout))
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(dst); err != nil {
		return err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return errors.New("more follows the call")
	}
	_ = control.SetReadDeadline(time.Time{})
	return nil
}

func writeError(w http.ResponseWriter, err error) {
	var e *Error
	if !errors.As(err, &e) {
		e = Errorf(CodeInternal, "%v", err)
	}
	writeJSON(w, httpStatuses[e.Code], e)
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	// If this fails, the operator has disconnected and the error can't be reported to them.
	_ = encoder.Encode(value)
}
