package operator

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"
)

const (
	// passOnTimeout bounds a call that is passed on, so that the operator learns of an
	// unresponsive router before the operator's own timeout.
	passOnTimeout = 4 * time.Second
	// maxPassedOnBytes bounds an answer that is passed on.
	maxPassedOnBytes = 16 << 20
)

// requestedRouter returns the router that the call names; empty if it names none.
func requestedRouter(r *http.Request) string {
	if r.URL.RawQuery == "" {
		return ""
	}
	return r.URL.Query().Get(ParamRouter)
}

// passOn passes a call on to the named router. If the answer is truncated, the answer to
// the operator is aborted too, so that a part of it isn't taken for the whole.
func (s *server) passOn(w http.ResponseWriter, r *http.Request, name string) {
	if r.Method != http.MethodGet || !PassedOn(r.URL.Path) {
		writeError(w, Errorf(CodeInvalid, "%s %s can't be passed on to another router; ask it itself", r.Method, r.URL.Path))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), passOnTimeout)
	defer cancel()
	resp, err := s.backend.PassOn(ctx, name, passedOnURI(r.URL))
	if err != nil {
		writeError(w, err)
		return
	}
	defer resp.Body.Close()
	w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
	w.WriteHeader(resp.StatusCode)
	limited := &io.LimitedReader{R: resp.Body, N: maxPassedOnBytes}
	if _, err := io.Copy(w, limited); err != nil || limited.N == 0 {
		panic(http.ErrAbortHandler)
	}
}

// passedOnURI returns the call's URI without the name of the router.
func passedOnURI(u *url.URL) string {
	q := u.Query()
	q.Del(ParamRouter)
	out := url.URL{Path: u.Path, RawQuery: q.Encode()}
	return out.RequestURI()
}
