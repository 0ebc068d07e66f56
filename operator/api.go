// Package operator is the router's interface for operators: an HTTP+JSON endpoint and
// the client that tarragonctl uses.
package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"tarragongw/core/history"
	"tarragongw/eventlog"
)

// Paths of the endpoint.
const (
	PathConfig         = "/v1/config"
	PathCheck          = "/v1/check"
	PathDrain          = "/v1/drain"
	PathConfirmDead    = "/v1/confirm-dead"
	PathRevision       = "/v1/revision"
	PathStatus         = "/v1/status"
	PathEvents         = "/v1/events"
	PathExplainKey     = "/v1/explain/key"
	PathExplainRequest = "/v1/explain/request"
	PathExplainTarget  = "/v1/explain/target"
	PathSeries         = "/v1/series"
	PathRouters        = "/v1/routers"
	PathQuarantine     = "/v1/quarantine"
	PathRelease        = "/v1/quarantine/release"
	PathEvacuations    = "/v1/evacuations"
	PathTargetLimits   = "/v1/limits"
)

// ParamRouter is the query parameter that names the router to answer a call. A router
// that receives a call for another one passes it on; see PassedOn.
const ParamRouter = "router"

// PassedOn reports whether GET calls of the path may be passed on to another router. They
// may where the call only reads data that only the router which answers has.
func PassedOn(path string) bool {
	switch path {
	case PathStatus, PathEvents, PathExplainRequest, PathExplainTarget, PathSeries:
		return true
	}
	return false
}

// Code is the reason why an operator call failed; the codes below are all there are.
type Code string

// The codes.
const (
	CodeInvalid     Code = "invalid"
	CodeConflict    Code = "conflict"
	CodeNotFound    Code = "not_found"
	CodeUnavailable Code = "unavailable"
	CodeUnknown     Code = "unknown_outcome"
	CodeInternal    Code = "internal"
	// CodeUnauthenticated refuses a call without a valid certificate, CodeForbidden one whose
	// certificate has too low a role. Nothing was changed.
	CodeUnauthenticated Code = "unauthenticated"
	CodeForbidden       Code = "forbidden"
)

// httpStatuses maps each code to its HTTP status.
var httpStatuses = map[Code]int{
	CodeInvalid:     422,
	CodeConflict:    409,
	CodeNotFound:    404,
	CodeUnavailable: 503,
	CodeUnknown:     504,
	CodeInternal:    500,

	CodeUnauthenticated: 401,
	CodeForbidden:       403,
}

// Error is the typed failure of an operator call.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Problems lists all errors of a refused configuration.
	Problems []string `json:"problems,omitempty"`
	// Conflicts shows both sides of each conflicting change.
	Conflicts []Conflict `json:"conflicts,omitempty"`
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s: %s", e.Code, e.Message)
	for _, p := range e.Problems {
		text += "\n  " + p
	}
	for _, c := range e.Conflicts {
		text += "\n  " + c.String()
	}
	return text
}

// Errorf returns an Error of the code.
func Errorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// Conflict is an object that two operators changed differently.
type Conflict struct {
	Object string `json:"object"`
	Theirs string `json:"theirs"`
	Mine   string `json:"mine"`
}

// String returns the object with both sides of the conflict.
func (c Conflict) String() string {
	return fmt.Sprintf("%s: theirs %s; yours %s", c.Object, c.Theirs, c.Mine)
}

// Config is a whole configuration with its revision.
type Config struct {
	Revision uint64 `json:"revision"`
	// Model is the encoding of config.EncodeModel.
	Model json.RawMessage `json:"model"`
}

// ApplyRequest asks to make a whole configuration the present one.
type ApplyRequest struct {
	// Base is the revision that the operator edited; zero means an empty one.
	Base uint64 `json:"base"`
	// Author names the operator in the journal.
	Author string          `json:"author"`
	Model  json.RawMessage `json:"model"`
	// DryRun returns the changes without making them.
	DryRun bool `json:"dry_run,omitempty"`
}

// ApplyReply describes the accepted change.
type ApplyReply struct {
	Revision uint64 `json:"revision"`
	// Merged reports whether the change was merged with other changes made since its base.
	Merged  bool     `json:"merged,omitempty"`
	Changes []string `json:"changes"`
}

// DrainRequest asks to drain a target, or with Undo to end its drain.
type DrainRequest struct {
	Target string `json:"target"`
	Undo   bool   `json:"undo,omitempty"`
	Author string `json:"author"`
}

// ConfirmDeadRequest is the operator's confirmation that the routers which may still send
// to a target are dead and will not come back.
type ConfirmDeadRequest struct {
	Target string `json:"target"`
	Author string `json:"author"`
}

// ConfirmDeadReply names the routers that are now treated as dead.
type ConfirmDeadReply struct {
	Target string   `json:"target"`
	Dead   []string `json:"dead"`
}

// RouterRevision is the configuration revision that a router has in force.
type RouterRevision struct {
	Router     string    `json:"router"`
	DataCentre string    `json:"data_centre"`
	Revision   uint64    `json:"revision"`
	Since      time.Time `json:"since"`
	// State is the router's membership state as the reporting router sees it: alive, suspect,
	// lost and so on.
	State string `json:"state"`
	// Silent reports that the router itself did not answer. The row is then the last report
	// that another router has of it, or has revision zero if there is none.
	Silent bool `json:"silent,omitempty"`
}

// KeyExplanation describes which target owns a key and why.
type KeyExplanation struct {
	Service string `json:"service"`
	Key     string `json:"key"`
	Unit    string `json:"unit"`
	Target  string `json:"target"`
	Token   uint64 `json:"token"`
	State   string `json:"state"`
	Grantor string `json:"grantor"`
	Term    uint64 `json:"term"`
	// FormerGrantors are routers that handed the target over with requests begun on the unit; the
	// unit does not move before these have ended.
	FormerGrantors []string `json:"former_grantors,omitempty"`
	Revision       uint64   `json:"revision"`
	// Eligible are the targets that the selectors allow.
	Eligible []string `json:"eligible"`
	// Selector is the selector that decided; empty if none did.
	Selector string `json:"selector,omitempty"`
	// Because lists the reasons in order, each as a sentence.
	Because []string `json:"because"`
	// Events are the latest moves of the unit.
	Events []eventlog.Event `json:"events,omitempty"`
}

// TargetExplanation describes the state of a target.
type TargetExplanation struct {
	Target     string `json:"target"`
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	Grantor    string `json:"grantor"`
	Term       uint64 `json:"term"`
	// Successors are the routers that may take the target over without the store, in order
	// of precedence.
	Successors []string `json:"successors"`
	// FormerGrantors are routers that handed the target over with requests begun there.
	FormerGrantors []string         `json:"former_grantors,omitempty"`
	Units          int              `json:"units"`
	Health         string           `json:"health"`
	Draining       bool             `json:"draining"`
	InFlight       int              `json:"in_flight"`
	Queued         int              `json:"queued"`
	Slots          int              `json:"slots"`
	Events         []eventlog.Event `json:"events,omitempty"`
}

// EventQuery selects events.
type EventQuery struct {
	// Since keeps events at or after the time.
	Since time.Time
	// After keeps events after the sequence number, in place of Since, if Life is the
	// router's present instance; of a later instance all events are returned.
	After uint64
	Life  uint64
}

// EventPage is a page of a router's journal.
type EventPage struct {
	Router string `json:"router"`
	// Life identifies the router's instance: each restart begins with an empty journal and
	// sequence number 1.
	Life   uint64           `json:"life"`
	Events []eventlog.Event `json:"events"`
	// Next is the sequence number to pass as EventQuery.After for the next page.
	Next uint64 `json:"next"`
	// Missed is the number of events that the journal no longer held.
	Missed uint64 `json:"missed,omitempty"`
}

// RouterState is a router's membership state as the answering router sees it.
type RouterState struct {
	Router     string `json:"router"`
	DataCentre string `json:"data_centre"`
	State      string `json:"state"`
}

// Series are the measurements that a router keeps.
type Series struct {
	Router     string `json:"router"`
	DataCentre string `json:"data_centre"`
	history.Series
}

// RequestExplanation describes how a request was handled and why it ended as it did.
type RequestExplanation struct {
	ID      string           `json:"id"`
	Request eventlog.Request `json:"request"`
}

// Status is the status screen for operators: what is wrong, since when, what the system
// does about it and what the operator should do.
type Status struct {
	Router     string    `json:"router"`
	DataCentre string    `json:"data_centre"`
	Ready      bool      `json:"ready"`
	Causes     []string  `json:"causes,omitempty"`
	Revision   uint64    `json:"revision"`
	Since      time.Time `json:"since"`
	Store      string    `json:"store"`
	Routers    []string  `json:"routers"`
	Problems   []Problem `json:"problems"`
}

// Problem is a present fault, what the system does about it and the operator's action.
type Problem struct {
	What   string    `json:"what"`
	Since  time.Time `json:"since"`
	Doing  string    `json:"doing"`
	Action string    `json:"action"`
}

// Quarantine is the list of requests that are suspected of crashing targets.
type Quarantine struct {
	Router   string             `json:"router"`
	Requests []SuspectedRequest `json:"requests"`
}

// SuspectedRequest is a request that was in flight when targets crashed. Its fingerprint is that of the
// log lines of its attempts.
type SuspectedRequest struct {
	Fingerprint string `json:"fingerprint"`
	Service     string `json:"service"`
	// Refused says that it is no longer sent.
	Refused bool `json:"refused"`
	// Crashes is how many targets crashed, First and Last when, and Targets which ones the last were.
	Crashes int       `json:"crashes"`
	First   time.Time `json:"first"`
	Last    time.Time `json:"last"`
	Targets []string  `json:"targets"`
	// Trials is how often it was sent again since it is refused.
	Trials int `json:"trials"`
}

// ReleaseRequest asks to send a refused request again.
type ReleaseRequest struct {
	Fingerprint string `json:"fingerprint"`
	Author      string `json:"author"`
}

// ReleaseReply names the released request.
type ReleaseReply struct {
	Fingerprint string `json:"fingerprint"`
}

// QuarantineBackend does the work of the calls about requests that crash targets. Its methods return
// errors of type *Error.
type QuarantineBackend interface {
	Quarantine(ctx context.Context) (*Quarantine, error)
	Release(ctx context.Context, req *ReleaseRequest) (*ReleaseReply, error)
}

// Backend is implemented by the router and does the work of operator calls. Its methods
// return errors of type *Error.
type Backend interface {
	QuarantineBackend
	Config(ctx context.Context) (*Config, error)
	Apply(ctx context.Context, req *ApplyRequest) (*ApplyReply, error)
	Drain(ctx context.Context, req *DrainRequest) (*ApplyReply, error)
	ConfirmDead(ctx context.Context, req *ConfirmDeadRequest) (*ConfirmDeadReply, error)
	Revisions(ctx context.Context, all bool) ([]RouterRevision, error)
	Status(ctx context.Context) (*Status, error)
	Events(ctx context.Context, query EventQuery) (*EventPage, error)
	// Routers returns this router and all others that it knows of.
	Routers(ctx context.Context) ([]RouterState, error)
	Series(ctx context.Context, since time.Time) (*Series, error)
	ExplainKey(ctx context.Context, service, key string) (*KeyExplanation, error)
	ExplainRequest(ctx context.Context, id string) (*RequestExplanation, error)
	ExplainTarget(ctx context.Context, name string) (*TargetExplanation, error)
	// Self is the name of this router.
	Self() string
	// PassOn sends a GET call to another router and returns its answer, whose body the caller
	// must close. The URI consists of path and query.
	PassOn(ctx context.Context, router, uri string) (*http.Response, error)
}
