package directory

// NoticeKind is what has been learned about a target.
type NoticeKind uint8

// The kinds of notices.
const (
	// Draining targets have announced that they leave.
	Draining NoticeKind = iota
	// Gone targets have no entry any more.
	Gone
	// TakenBack targets were known to leave, and a report of the same start says that they don't.
	TakenBack
)

// String returns the kind as log lines have it.
func (k NoticeKind) String() string { return [...]string{"draining", "gone", "taken-back"}[k] }

// Notice is what was learned about the leaving of one target.
type Notice struct {
	Kind   NoticeKind
	Target Target
}

// Notices returns the notices since the last call.
func (d *Directory) Notices() []Notice {
	all := d.notices
	d.notices = nil
	return all
}

func (d *Directory) notice(kind NoticeKind, t *Target) {
	d.notices = append(d.notices, Notice{kind, *t})
}

// noticeReport notes what a report that is about to be recorded says of the target's leaving.
func (d *Directory) noticeReport(t *Target) {
	leaving, known := d.leaving(t)
	switch {
	case t.Draining && !(known && leaving):
		d.notice(Draining, t)
	case !t.Draining && leaving:
		d.notice(TakenBack, t)
	}
}

// leaving reports whether the same start of a target is known to leave, and whether it is known at all.
func (d *Directory) leaving(t *Target) (leaving, known bool) {
	if e := d.entries[t.ID]; e != nil && e.target.StartUnixMilli == t.StartUnixMilli {
		return e.target.Draining, true
	}
	if gone, departed := d.departed[t.ID]; departed && gone.target.StartUnixMilli == t.StartUnixMilli {
		return true, true
	}
	return false, false
}
