// Package eventlog keeps what the router did and why: a bounded ring of events,
// each also logged as one key=value line, and a bounded ring of requests that
// were refused or failed, found by their id. Both live in memory only.
package eventlog

import (
	"log/slog"
	"strings"
	"time"
	"unicode/utf8"
)

// Kind names one kind of event.
type Kind string

// The kinds of events. A package that needs another adds it here, so that
// operators find all of them in one place.
const (
	RouterReady       Kind = "router_ready"
	RouterNotReady    Kind = "router_not_ready"
	RouterStopping    Kind = "router_stopping"
	ConfigApplied     Kind = "config_applied"
	ConfigRefused     Kind = "config_refused"
	ConfigChanged     Kind = "config_changed"
	OwnerChanged      Kind = "owner_changed"
	UnitReleasing     Kind = "unit_releasing"
	UnitUnserved      Kind = "unit_unserved"
	UnitServed        Kind = "unit_served"
	GrantorChanged    Kind = "grantor_changed"
	GrantorDead       Kind = "grantor_confirmed_dead"
	GrantorLost       Kind = "grantor_lost"
	GrantRefused      Kind = "grant_refused"
	GrantLapsed       Kind = "grant_lapsed"
	TargetEjected     Kind = "target_ejected"
	TargetLossHeld    Kind = "target_loss_held"
	TargetReadmitted  Kind = "target_readmitted"
	TargetDraining    Kind = "target_draining"
	TargetDrained     Kind = "target_drained"
	MemberJoined      Kind = "member_joined"
	MemberSuspected   Kind = "member_suspected"
	MemberLost        Kind = "member_lost"
	MemberLeft        Kind = "member_left"
	DataCentreCutOff  Kind = "data_centre_cut_off"
	DataCentreBack    Kind = "data_centre_back"
	IsolationBegan    Kind = "isolation_began"
	IsolationEnded    Kind = "isolation_ended"
	StoreUnavailable  Kind = "store_unavailable"
	StoreAvailable    Kind = "store_available"
	StoreUnknown      Kind = "store_outcome_unknown"
	WatchRestarted    Kind = "watch_restarted"
	MailboxOverflowed Kind = "mailbox_overflowed"
	HotKeyFound       Kind = "hot_key_found"
	KeysReloaded      Kind = "keys_reloaded"
	KeysRefused       Kind = "keys_refused"
	CertEndsSoon      Kind = "certificate_ends_soon"
	CertEnded         Kind = "certificate_ended"
	CertRefused       Kind = "certificate_refused"
	CertRevoked       Kind = "certificate_revoked"
	ListOverdue       Kind = "revocation_list_overdue"
	CallerRefused     Kind = "caller_refused"
	OperatorRefused   Kind = "operator_refused"
	DatagramsBlocked  Kind = "datagrams_blocked"
	DatagramsPass     Kind = "datagrams_pass"
	PeerRefused       Kind = "peer_refused"
	RouterSaturated   Kind = "router_saturated"
	RouterRelieved    Kind = "router_relieved"
)

// Field is one further fact of an event.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// F returns a field.
func F(key, value string) Field { return Field{Key: key, Value: value} }

// Event is one thing that the router did or noticed. Empty members are left out
// of logs and answers.
type Event struct {
	// Seq grows by one with each event of this process. It is set by Record.
	Seq uint64 `json:"seq"`
	// Time is set by Record where it is zero.
	Time time.Time `json:"time"`
	Kind Kind      `json:"kind"`
	// Cause says why, in words for operators.
	Cause     string  `json:"cause,omitempty"`
	Service   string  `json:"service,omitempty"`
	Unit      string  `json:"unit,omitempty"`
	Target    string  `json:"target,omitempty"`
	Router    string  `json:"router,omitempty"`
	Caller    string  `json:"caller,omitempty"`
	RequestID string  `json:"request_id,omitempty"`
	Fields    []Field `json:"fields,omitempty"`
}

const (
	// maxText bounds each text of an event in bytes, maxFields the number of its fields
	// and maxKey their keys in bytes: with texts at their limits, the default ring
	// takes about 9 MB.
	maxText   = 256
	maxFields = 8
	maxKey    = 32
	// redacted replaces the value of a field that may be a secret.
	redacted = "REDACTED"
)

// secretNames are parts of field names whose values are never kept. A fencing
// token is no secret: its field is named token.
var secretNames = []string{"authorization", "cookie", "password", "secret", "credential", "private_key", "api_key", "bearer"}

// bounded returns the event with its texts and fields cut to their limits and
// without secrets. It shares no memory with the caller's fields.
func (e Event) bounded() Event {
	for _, text := range []*string{&e.Cause, &e.Service, &e.Unit, &e.Target, &e.Router, &e.Caller, &e.RequestID} {
		*text = cut(*text, maxText)
	}
	if len(e.Fields) == 0 {
		return e
	}
	fields := make([]Field, min(len(e.Fields), maxFields))
	for i := range fields {
		fields[i] = Field{Key: cut(e.Fields[i].Key, maxKey), Value: cut(e.Fields[i].Value, maxText)}
		if secret(fields[i].Key) {
			fields[i].Value = redacted
		}
	}
	e.Fields = fields
	return e
}

// cut shortens the text to limit bytes without splitting a character.
func cut(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	end := limit
	for end > 0 && !utf8.RuneStart(text[end]) {
		end--
	}
	return strings.Clone(text[:end])
}

func secret(key string) bool {
	key = strings.ReplaceAll(strings.ToLower(key), "-", "_")
	for _, name := range secretNames {
		if strings.Contains(key, name) {
			return true
		}
	}
	return false
}

// attrs returns the event as attributes of a log line.
func (e *Event) attrs() []slog.Attr {
	attrs := make([]slog.Attr, 0, 9+len(e.Fields))
	attrs = append(attrs, slog.Uint64("seq", e.Seq), slog.String("kind", string(e.Kind)))
	for _, text := range []Field{
		{"cause", e.Cause}, {"service", e.Service}, {"unit", e.Unit}, {"target", e.Target},
		{"router", e.Router}, {"caller", e.Caller}, {"request_id", e.RequestID},
	} {
		if text.Value != "" {
			attrs = append(attrs, slog.String(text.Key, text.Value))
		}
	}
	for _, field := range e.Fields {
		attrs = append(attrs, slog.String(field.Key, field.Value))
	}
	return attrs
}
