package kv

// CallKind is a kind of call to the platform; its value is used in metrics and on the wire.
type CallKind string

// The kinds of calls.
const (
	CallGet     CallKind = "get"
	CallList    CallKind = "list"
	CallCAS     CallKind = "cas"
	CallWatch   CallKind = "watch"
	CallAcquire CallKind = "acquire"
	CallRenew   CallKind = "renew"
	CallRelease CallKind = "release"
	CallVMs     CallKind = "vms"
)

// Writes reports whether a call of the kind may change the store, so that its outcome is
// unknown if the reply is lost.
func (k CallKind) Writes() bool {
	switch k {
	case CallCAS, CallAcquire, CallRenew, CallRelease:
		return true
	default:
		return false
	}
}

// CallKinds returns all kinds in a fixed order.
func CallKinds() []CallKind {
	return []CallKind{CallGet, CallList, CallCAS, CallWatch, CallAcquire, CallRenew, CallRelease, CallVMs}
}
