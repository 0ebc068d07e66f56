package directory

// NoticeKind is what has been learned about a target.
type NoticeKind uint8

// The kinds of notices.
const (
	// NoticeDraining: the target has announced that it leaves.
	NoticeDraining NoticeKind = iota
	// NoticeGone: the target has no entry any more.
	NoticeGone
	// NoticeBack: the target was gone, and has an entry again.
	NoticeBack
	// NoticeOutdated: an older report says that a leaving target stays.
	NoticeOutdated
	// NoticeStated: the target has stated in an answer that it leaves.
	NoticeStated
	// NoticeOutlived: an instance with an earlier start than the known one writes on, so that the later start was another
	// writer's.
	NoticeOutlived
)

// String returns the kind as log lines have it.
func (k NoticeKind) String() string {
	return [...]string{"draining", "gone", "back", "outdated", "stated", "outlived"}[k]
}

// Notice is what was learned about one target, its leaving in particular.
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
	last := d.lastEntry(t)
	switch {
	case t.Draining && (last == nil || !last.target.Draining):
		d.notice(NoticeDraining, t)
	case last != nil && d.entries[t.ID] == nil:
		d.notice(NoticeBack, t)
	}
}

// noticeOutdated notes a report that is not recorded, if it denies that the target leaves.
func (d *Directory) noticeOutdated(t *Target) {
	if last := d.lastEntry(t); last != nil && !t.Draining && (last.target.Draining || d.entries[t.ID] == nil) {
		d.notice(NoticeOutdated, t)
	}
}

// noticeOutlived notes a report that is about to be recorded, if it takes an entry with a later start back.
func (d *Directory) noticeOutlived(t *Target) {
	if e := d.entries[t.ID]; e != nil && t.StartUnixMilli < e.target.StartUnixMilli {
		d.notice(NoticeOutlived, t)
	}
}
