// Package eventlog records what the router did and why. It keeps a bounded ring of events, each
// of which is also logged as one key=value line, and a bounded ring of refused and failed
// requests, which are found by their id. Both are kept in memory only.
package eventlog

import (
	"log/slog"
	"strings"
	"time"
	"unicode/utf8"
)

// Kind names one kind of event.
type Kind string

// The kinds of events. All kinds are declared here, so that operators find them in one place.
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
	MoveWaits         Kind = "move_waits"
	MoveGoesOn        Kind = "move_goes_on"
	FormerRevoked     Kind = "former_grantor_revoked"
	FinishEnded       Kind = "finish_right_ended"
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

// Field is an additional key and value of an event.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// F returns a field.
func F(key, value string) Field { return Field{Key: key, Value: value} }

// Event is one action or observation of the router. Empty fields are omitted from logs and
// answers.
type Event struct {
	// Seq is the sequence number, which increases by one with each event of this process. It is
	// set by Record.
	Seq uint64 `json:"seq"`
	// Time is set by Record if it is zero.
	Time time.Time `json:"time"`
	Kind Kind      `json:"kind"`
	// Cause is the reason, in plain text for operators.
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
	// maxText limits each text of an event in bytes, maxFields the number of its fields, and
	// maxKey the length of a field's key in bytes. With all texts at their limits the default
	// ring takes about 9 MB.
	maxText   = 256
	maxFields = 8
	maxKey    = 32
	// redacted replaces the value of a field that may contain a secret.
	redacted = "REDACTED"
)

// secretNames are parts of field names whose values are never stored. The list has no "token",
// because the field named token holds a fencing token, which is not secret.
var secretNames = []string{"authorization", "cookie", "password", "secret", "credential", "private_key", "api_key", "bearer"}

// bounded returns the event with its texts and fields truncated to their limits and with
// secrets redacted. It shares no memory with the caller's fields.
func (e Event) bounded() Event {
	for _, text := range []*string{&e.Cause, &e.Service, &e.Unit, &e.Target, &e.Router, &e.Caller, &e.RequestID} {
		*text = truncate(*text, maxText)
	}
	if len(e.Fields) == 0 {
		return e
	}
	fields := make([]Field, min(len(e.Fields), maxFields))
	for i := range fields {
		fields[i] = Field{Key: truncate(e.Fields[i].Key, maxKey), Value: truncate(e.Fields[i].Value, maxText)}
		if isSecret(fields[i].Key) {
			fields[i].Value = redacted
		}
	}
	e.Fields = fields
	return e
}

// truncate shortens the text to at most limit bytes without splitting a character.
func truncate(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	end := limit
	for end > 0 && !utf8.RuneStart(text[end]) {
		end--
	}
	return strings.Clone(text[:end])
}

// isSecret reports whether the value of the field with the key may contain a secret.
func isSecret(key string) bool {
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
