// Package operator is the side of the router that operators meet: an HTTP+JSON
// endpoint and the client that tarragonctl uses.
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
)

// ParamRouter names the router that is to answer a call in place of the one that is
// asked, which passes the call on; see PassedOn.
const ParamRouter = "router"

// PassedOn reports whether a router answers GET calls of the path to others that pass
// them on: those that only read what that router alone knows.
func PassedOn(path string) bool {
	switch path {
	case PathStatus, PathEvents, PathExplainRequest, PathExplainTarget, PathSeries:
		return true
	}
	return false
}

// Code is the closed list of reasons for which an operators' call fails.
type Code string

// The codes.
const (
	CodeInvalid     Code = "invalid"
	CodeConflict    Code = "conflict"
	CodeNotFound    Code = "not_found"
	CodeUnavailable Code = "unavailable"
	CodeUnknown     Code = "unknown_outcome"
	CodeInternal    Code = "internal"
	// CodeUnauthenticated and CodeForbidden refuse a call without a valid certificate and
	// one whose certificate has too low a role; nothing was changed.
	CodeUnauthenticated Code = "unauthenticated"
	CodeForbidden       Code = "forbidden"
)

// statuses maps each code to its HTTP status.
var statuses = map[Code]int{
	CodeInvalid:     422,
	CodeConflict:    409,
	CodeNotFound:    404,
	CodeUnavailable: 503,
	CodeUnknown:     504,
	CodeInternal:    500,

	CodeUnauthenticated: 401,
	CodeForbidden:       403,
}

// Error is the typed failure of an operators' call.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Problems lists every fault of a refused configuration.
	Problems []string `json:"problems,omitempty"`
	// Conflicts shows both sides of each change that clashes.
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

// Conflict is one object that two operators changed differently.
type Conflict struct {
	Object string `json:"object"`
	Theirs string `json:"theirs"`
	Mine   string `json:"mine"`
}

// String shows both sides.
func (c Conflict) String() string {
	return fmt.Sprintf("%s: theirs %s; yours %s", c.Object, c.Theirs, c.Mine)
}

// Config is a whole configuration with its revision.
type Config struct {
	Revision uint64 `json:"revision"`
	// Model is the encoding of config.EncodeModel.
	Model json.RawMessage `json:"model"`
}

// ApplyRequest asks to put a whole configuration in force.
type ApplyRequest struct {
	// Base is the revision that the operator edited; zero means an empty one.
	Base uint64 `json:"base"`
	// Author names the operator in the journal.
	Author string          `json:"author"`
	Model  json.RawMessage `json:"model"`
	// DryRun only shows what would change.
	DryRun bool `json:"dry_run,omitempty"`
}

// ApplyReply says what was accepted.
type ApplyReply struct {
	Revision uint64 `json:"revision"`
	// Merged says that another operator's disjoint changes were kept.
	Merged  bool     `json:"merged,omitempty"`
	Changes []string `json:"changes"`
}

// DrainRequest marks a target as leaving, or takes the mark away.
type DrainRequest struct {
	Target string `json:"target"`
	Undo   bool   `json:"undo,omitempty"`
	Author string `json:"author"`
}

// ConfirmDeadRequest is the operator's word that the routers which may still send to
// a target are dead and will not come back.
type ConfirmDeadRequest struct {
	Target string `json:"target"`
	Author string `json:"author"`
}

// ConfirmDeadReply names the routers that were taken for dead.
type ConfirmDeadReply struct {
	Target string   `json:"target"`
	Dead   []string `json:"dead"`
}

// RouterRevision is what one router has in force.
type RouterRevision struct {
	Router     string    `json:"router"`
	DataCentre string    `json:"data_centre"`
	Revision   uint64    `json:"revision"`
	Since      time.Time `json:"since"`
	// State is what the reporting router holds of it: alive, suspect, lost and so on.
	State string `json:"state"`
	// Silent says that the router itself did not answer: the row is another's last report
	// on it, or has revision zero where there is none.
	Silent bool `json:"silent,omitempty"`
}

// KeyExplanation says who owns a key and why.
type KeyExplanation struct {
	Service  string `json:"service"`
	Key      string `json:"key"`
	Unit     string `json:"unit"`
	Target   string `json:"target"`
	Token    uint64 `json:"token"`
	State    string `json:"state"`
	Grantor  string `json:"grantor"`
	Term     uint64 `json:"term"`
	Revision uint64 `json:"revision"`
	// Eligible are the targets that the selectors allow.
	Eligible []string `json:"eligible"`
	// Selector is the selector that decided; empty where none did.
	Selector string `json:"selector,omitempty"`
	// Because are the reasons in order, each a sentence.
	Because []string `json:"because"`
	// Events are the latest moves of the unit.
	Events []eventlog.Event `json:"events,omitempty"`
}

// TargetExplanation says how a target stands.
type TargetExplanation struct {
	Target     string `json:"target"`
	Service    string `json:"service"`
	DataCentre string `json:"data_centre"`
	Address    string `json:"address"`
	Grantor    string `json:"grantor"`
	Term       uint64 `json:"term"`
	// Successors may take the target over without the store, the first one first.
	Successors []string         `json:"successors"`
	Units      int              `json:"units"`
	Health     string           `json:"health"`
	Draining   bool             `json:"draining"`
	InFlight   int              `json:"in_flight"`
	Queued     int              `json:"queued"`
	Slots      int              `json:"slots"`
	Events     []eventlog.Event `json:"events,omitempty"`
}

// EventQuery selects events.
type EventQuery struct {
	// Since keeps events at or after the time.
	Since time.Time
	// After keeps events after the sequence number, in place of Since, where Life is
	// still that of the router; of a later life all events are returned.
	After uint64
	Life  uint64
}

// EventPage is a part of a router's journal.
type EventPage struct {
	Router string `json:"router"`
	// Life tells the router's restarts apart: each begins with an empty journal and
	// sequence number 1.
	Life   uint64           `json:"life"`
	Events []eventlog.Event `json:"events"`
	// Next is the sequence number to ask after for what follows.
	Next uint64 `json:"next"`
	// Missed is the number of events that the journal no longer held.
	Missed uint64 `json:"missed,omitempty"`
}

// RouterState is what one router holds of another.
type RouterState struct {
	Router     string `json:"router"`
	DataCentre string `json:"data_centre"`
	State      string `json:"state"`
}

// Series are the measures that one router keeps.
type Series struct {
	Router     string `json:"router"`
	DataCentre string `json:"data_centre"`
	history.Series
}

// RequestExplanation says why a request ended as it did.
type RequestExplanation struct {
	ID      string           `json:"id"`
	Request eventlog.Request `json:"request"`
}

// Status is the screen for an owner: what is wrong, since when, what the system
// does about it and what is to be done.
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

// Problem is one thing that is wrong.
type Problem struct {
	What   string    `json:"what"`
	Since  time.Time `json:"since"`
	Doing  string    `json:"doing"`
	Action string    `json:"action"`
}

// Backend is what the router offers to operators. Each method fails with *Error.
type Backend interface {
	Config(ctx context.Context) (*Config, error)
	Apply(ctx context.Context, req *ApplyRequest) (*ApplyReply, error)
	Drain(ctx context.Context, req *DrainRequest) (*ApplyReply, error)
	ConfirmDead(ctx context.Context, req *ConfirmDeadRequest) (*ConfirmDeadReply, error)
	Revisions(ctx context.Context, all bool) ([]RouterRevision, error)
	Status(ctx context.Context) (*Status, error)
	Events(ctx context.Context, query EventQuery) (*EventPage, error)
	// Routers returns this router and all others that it remembers.
	Routers(ctx context.Context) ([]RouterState, error)
	Series(ctx context.Context, since time.Time) (*Series, error)
	ExplainKey(ctx context.Context, service, key string) (*KeyExplanation, error)
	ExplainRequest(ctx context.Context, id string) (*RequestExplanation, error)
	ExplainTarget(ctx context.Context, name string) (*TargetExplanation, error)
	// Self is the name of this router.
	Self() string
	// PassOn asks another router and returns its answer, whose body is to be closed. The
	// URI is path and query.
	PassOn(ctx context.Context, router, uri string) (*http.Response, error)
}
