package operator_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"tarragongw/keys"
	"tarragongw/operator"
)

// guardFixture sends calls under an identity through a Guard, and counts those admitted and records
// the refusals.
type guardFixture struct {
	identity operator.Identity
	err      error
	admitted int
	refusals []operator.Refusal
	guard    *operator.Guard
}

func newGuardFixture(next http.Handler) *guardFixture {
	g := &guardFixture{}
	counted := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.admitted++
		next.ServeHTTP(w, r)
	})
	g.guard = operator.NewGuard(counted,
		func(*http.Request) (operator.Identity, error) { return g.identity, g.err },
		func(r operator.Refusal) { g.refusals = append(g.refusals, r) })
	return g
}

func (g *guardFixture) call(pattern string) int {
	method, path, found := strings.Cut(pattern, " ")
	if !found {
		method, path = "GET", pattern
	}
	w := httptest.NewRecorder()
	g.guard.ServeHTTP(w, httptest.NewRequest(method, path, nil))
	return w.Code
}

// Calls each endpoint under each role: a refused call must not reach the endpoint and must
// be reported with its cause.
func TestEachEndpointNeedsItsRole(t *testing.T) {
	g := newGuardFixture(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {}))
	for _, e := range operator.Endpoints {
		for _, have := range []keys.Role{keys.RoleNone, keys.RoleRead, keys.RoleOperate, keys.RoleAdminister, keys.RoleRouter} {
			g.identity, g.admitted, g.refusals = operator.Identity{Name: "ann", Role: have}, 0, nil
			status := g.call(e.Pattern)
			if e.Role == keys.RoleNone || have.Covers(e.Role) {
				assert.Equal(t, status, 200, "%s %s", e.Pattern, have)
				assert.Equal(t, g.admitted, 1)
				continue
			}
			assert.Equal(t, status, http.StatusForbidden, "%s %s", e.Pattern, have)
			assert.Equal(t, g.admitted, 0, e.Pattern)
			assert.Equal(t, g.refusals[0].Cause, operator.CauseRole)
		}
	}
}

// The router that receives a passed-on call does not check the operator's role again, so
// only calls that read may be passed on.
func TestOnlyReadingIsPassedOn(t *testing.T) {
	var passed int
	for _, e := range operator.Endpoints {
		method, path, _ := strings.Cut(e.Pattern, " ")
		if method == "GET" && operator.PassedOn(path) {
			passed++
			assert.Equal(t, e.Role, keys.RoleRead, e.Pattern)
		}
	}
	assert.Assert(t, passed > 0)
}

// A path or method that is not in the table, or a path that is not in its clean form,
// requires the highest role.
func TestUnknownPathsFailClosed(t *testing.T) {
	g := newGuardFixture(http.NotFoundHandler())
	for _, call := range []string{"GET /v1/new", "DELETE /v1/config", "GET /", "PUT /v1//config", "PUT /x/../v1/config", "POST /livez", "CONNECT /v1/drain"} {
		g.identity = operator.Identity{Name: "ann", Role: keys.RoleOperate}
		assert.Equal(t, g.call(call), http.StatusForbidden, call)
	}
	assert.Equal(t, g.admitted, 0)
}

func TestRefusalsReportTheirCause(t *testing.T) {
	g := newGuardFixture(http.NotFoundHandler())
	assert.Equal(t, g.call("POST /v1/drain"), http.StatusUnauthorized)
	g.err = errors.New("it ended")
	assert.Equal(t, g.call("POST /v1/drain"), http.StatusUnauthorized)
	assert.Equal(t, g.refusals[0].Cause, operator.CauseNoCertificate)
	assert.Equal(t, g.refusals[1].Cause, operator.CauseCertificate)
	assert.Equal(t, g.admitted, 0)
}

// Guards against a journal that names the wrong operator: a call claims another name than
// its certificate has, and the claimed name is recorded.
func TestAuthorIsTakenFromCertificate(t *testing.T) {
	f := &fakeBackend{}
	g := newGuardFixture(operator.NewHandler(f))
	server := httptest.NewServer(g.guard)
	defer server.Close()
	c := &operator.Client{Base: server.URL}
	g.identity = operator.Identity{Name: "ann", Role: keys.RoleAdminister}
	_, err := c.Drain(context.Background(), &operator.DrainRequest{Target: "t", Author: "bob"})
	assert.NilError(t, err)
	assert.Equal(t, f.drain.Author, "ann")
	_, err = c.Apply(context.Background(), &operator.ApplyRequest{Author: "bob", Model: []byte(`{}`)})
	assert.NilError(t, err)
	assert.Equal(t, f.apply.Author, "ann")
	// Without TLS the call itself is the only source of the name.
	g.identity.Name = ""
	_, err = c.Drain(context.Background(), &operator.DrainRequest{Target: "t", Author: "bob"})
	assert.NilError(t, err)
	assert.Equal(t, f.drain.Author, "bob")
}
