package operator

import (
	"net/http"

	"tarragongw/keys"
)

// Endpoint is a path of the operator listener and the role that it requires.
type Endpoint struct {
	// Pattern is a pattern of http.ServeMux.
	Pattern string
	// Role is the lowest role that is allowed; keys.RoleNone allows calls without a certificate.
	Role keys.Role
}

// Endpoints is the table of all paths of the operator listener, including those of health,
// metrics and profiles. A path that is not in it requires keys.RoleAdminister.
var Endpoints = []Endpoint{
	// The load balancer and the supervisor call these without a certificate.
	{"GET /livez", keys.RoleNone},
	{"GET /readyz", keys.RoleNone},

	{"GET /metrics", keys.RoleRead},
	{"GET /version", keys.RoleRead},
	{"GET /status", keys.RoleRead},
	{"GET " + PathConfig, keys.RoleRead},
	{"POST " + PathCheck, keys.RoleRead},
	{"GET " + PathRevision, keys.RoleRead},
	{"GET " + PathStatus, keys.RoleRead},
	{"GET " + PathEvents, keys.RoleRead},
	{"GET " + PathExplainKey, keys.RoleRead},
	{"GET " + PathExplainRequest, keys.RoleRead},
	{"GET " + PathExplainTarget, keys.RoleRead},
	{"GET " + PathSeries, keys.RoleRead},
	{"GET " + PathRouters, keys.RoleRead},
	{"GET " + PathQuarantine, keys.RoleRead},

	{"POST " + PathDrain, keys.RoleOperate},
	{"POST " + PathRelease, keys.RoleOperate},

	{"PUT " + PathConfig, keys.RoleAdminister},
	// A wrong confirmation can give a key two owners.
	{"POST " + PathConfirmDead, keys.RoleAdminister},
	// Profiles take CPU time and reveal what the process works on.
	{"/debug/pprof/", keys.RoleAdminister},
	{"/debug/pprof/cmdline", keys.RoleAdminister},
	{"/debug/pprof/profile", keys.RoleAdminister},
	{"/debug/pprof/symbol", keys.RoleAdminister},
	{"/debug/pprof/trace", keys.RoleAdminister},
}

// roleTable finds the role that a request requires.
type roleTable struct{ mux *http.ServeMux }

// requiredRole is the handler that marks a pattern of the mux with its role; it writes no
// answer.
type requiredRole keys.Role

func (requiredRole) ServeHTTP(http.ResponseWriter, *http.Request) {}

func newRoleTable(table []Endpoint) *roleTable {
	mux := http.NewServeMux()
	for _, e := range table {
		mux.Handle(e.Pattern, requiredRole(e.Role))
	}
	return &roleTable{mux}
}

// roleFor returns the role that a request requires. It fails closed: a path that is not in
// the table, or that the mux would redirect, requires the highest role.
func (r *roleTable) roleFor(req *http.Request) keys.Role {
	handler, _ := r.mux.Handler(req)
	if role, ok := handler.(requiredRole); ok {
		return keys.Role(role)
	}
	return keys.RoleAdminister
}
