package fault

import "time"

// Kind is an error kind. The list of kinds is closed.
type Kind uint8

// The kinds. Their order is not part of any wire format; Row().Code is. The table below
// describes each of them.
const (
	Internal Kind = iota
	BadRequest
	KeyMissing
	NoRoute
	SelectorRefused
	Unauthenticated
	Forbidden
	TooLarge
	CallerGone
	NotReady
	Stopping
	NoOwner
	Moving
	StaleRoute
	OwnerUnreachable
	Isolated
	QueueFull
	CallerLimit
	DeadlineUnmeetable
	DeadlineExceeded
	TargetUnreachable
	TargetRefused
	TargetLost
	TargetStalled
	AnswerTruncated
	PeerLost
	AnswerInvalid
	Unsupported
	RouterBusy
	BodyStalled
	Quarantined
	kindCount
)

// Row is one row of the answer table.
type Row struct {
	// Code is the machine-readable name, stable across releases.
	Code string
	// Status is the HTTP status of the answer.
	Status int
	// Ran is the default of Fault.Ran.
	Ran Ran
	// Retryable says whether the router itself may retry, if Ran and the request's
	// repeatability allow it.
	Retryable bool
	// RetryAfter is the default advised wait before the caller retries; zero means none.
	RetryAfter time.Duration
	// Text explains on the page of errors what happened and how to correct it.
	Text string
	// Proof says why a request that ends with this kind cannot have run. It is set if and
	// only if Ran is NotRun.
	Proof Proof
}

// Proof is the reason why a request is known not to have run.
type Proof uint8

const (
	// NoProof means that nothing rules out that the request ran.
	NoProof Proof = iota
	// NeverSent means that no byte of the request was written to a target's connection.
	NeverSent
	// RefusedByTarget means that the target itself said that it did not run the request.
	RefusedByTarget
)

// String returns the text used on the page of errors.
func (p Proof) String() string {
	switch p {
	case NeverSent:
		return "never sent"
	case RefusedByTarget:
		return "refused by the target"
	default:
		return "-"
	}
}

// Default advised waits.
const (
	shortWait = 200 * time.Millisecond
	longWait  = time.Second
	// quarantineWait is longer than most callers wait: the request will not be sent before the
	// service is corrected.
	quarantineWait = time.Minute
)

// table maps each kind to its answer. The statuses are those of RFC 9110 and, for 429, of
// RFC 6585. 499 is the customary non-standard status for a caller that closed the
// connection; it appears only in logs and metrics.
var table = [kindCount]Row{
	Internal:           {"internal", 500, RanUnknown, false, 0, "The router failed. Report the request id.", NoProof},
	BadRequest:         {"bad_request", 400, NotRun, false, 0, "The request is malformed. Correct it.", NeverSent},
	KeyMissing:         {"key_missing", 400, NotRun, false, 0, "The service divides its work by key and the request has none. Add the key.", NeverSent},
	NoRoute:            {"no_route", 404, NotRun, false, 0, "No service matches the request's host and path.", NeverSent},
	SelectorRefused:    {"selector_refused", 403, NotRun, false, 0, "A selector refuses this caller or key.", NeverSent},
	Unauthenticated:    {"unauthenticated", 401, NotRun, false, 0, "The caller's identity is missing or invalid.", NeverSent},
	Forbidden:          {"forbidden", 403, NotRun, false, 0, "The identity lacks the role that the call needs.", NeverSent},
	TooLarge:           {"too_large", 413, NotRun, false, 0, "The request exceeds a limit of size or count.", NeverSent},
	CallerGone:         {"caller_gone", 499, RanUnknown, false, 0, "The caller closed the connection or cancelled.", NoProof},
	NotReady:           {"not_ready", 503, NotRun, true, longWait, "The router has no configuration yet.", NeverSent},
	Stopping:           {"stopping", 503, NotRun, true, shortWait, "The router is stopping. Retry; another router answers.", NeverSent},
	NoOwner:            {"no_owner", 503, NotRun, false, longWait, "The key has no owner now, because no target is eligible or alive.", NeverSent},
	Moving:             {"moving", 503, NotRun, true, shortWait, "The key was moving to another owner, and the router waited for this as long as it may.", NeverSent},
	StaleRoute:         {"stale_route", 503, NotRun, true, shortWait, "The router's information on where the key is was out of date.", NeverSent},
	OwnerUnreachable:   {"owner_unreachable", 503, NotRun, false, longWait, "The router that is responsible for the key's owner cannot be reached.", NeverSent},
	Isolated:           {"isolated", 503, NotRun, false, longWait, "The data centre of the key's owner cannot be reached.", NeverSent},
	QueueFull:          {"queue_full", 503, NotRun, false, shortWait, "The target's queue is full.", NeverSent},
	CallerLimit:        {"caller_limit", 429, NotRun, false, longWait, "The caller exceeds its share of the target's queue.", NeverSent},
	DeadlineUnmeetable: {"deadline_unmeetable", 503, NotRun, false, shortWait, "The work cannot finish within its deadline.", NeverSent},
	DeadlineExceeded:   {"deadline_exceeded", 504, RanUnknown, false, 0, "The deadline passed before the target had answered. If part of a long answer was passed on, the caller's connection is aborted instead.", NoProof},
	TargetUnreachable:  {"target_unreachable", 502, NotRun, true, shortWait, "No connection to the target could be opened.", NeverSent},
	TargetRefused:      {"target_refused", 503, NotRun, true, shortWait, "The target refused the request before running it.", RefusedByTarget},
	TargetLost:         {"target_lost", 502, RanUnknown, true, 0, "The connection to the target broke before its answer began.", NoProof},
	TargetStalled:      {"target_stalled", 504, RanUnknown, false, 0, "The connection to the target made no progress.", NoProof},
	AnswerTruncated:    {"answer_truncated", 502, RanFully, false, 0, "The target's answer ended early. If part of it was passed on, the caller's connection is aborted instead.", NoProof},
	PeerLost:           {"peer_lost", 502, RanUnknown, true, 0, "The connection to the router that is responsible for the key's owner broke before its answer began.", NoProof},
	AnswerInvalid:      {"answer_invalid", 502, RanUnknown, false, 0, "The target's answer is malformed or exceeds a limit.", NoProof},
	Unsupported:        {"unsupported", 501, NotRun, false, 0, "The router supports neither tunnels nor upgraded connections.", NeverSent},
	RouterBusy:         {"router_busy", 503, NotRun, false, shortWait, "The router is at its limit of requests in flight, or requests wait too long for its processor. Retry; another router answers.", NeverSent},
	BodyStalled:        {"body_stalled", 408, RanUnknown, false, 0, "The request's body arrived too slowly. Send it again.", NoProof},
	Quarantined:        {"quarantined", 503, NotRun, false, quarantineWait, "Targets crashed while they ran requests with the same content, so this one was not sent; earlier ones may have run. Correct the request or the service; an operator can release it.", NeverSent},
}

// Row returns the kind's row; an unknown kind gets the row of Internal.
func (k Kind) Row() Row {
	if k >= kindCount {
		return table[Internal]
	}
	return table[k]
}

// String returns the machine-readable code.
func (k Kind) String() string { return k.Row().Code }

// Kinds returns all kinds in order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, kindCount)
	for k := Kind(0); k < kindCount; k++ {
		kinds = append(kinds, k)
	}
	return kinds
}

// ByCode returns the kind with the machine-readable code.
func ByCode(code string) (Kind, bool) {
	for k := Kind(0); k < kindCount; k++ {
		if table[k].Code == code {
			return k, true
		}
	}
	return Internal, false
}
