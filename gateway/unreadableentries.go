package gateway

import (
	"time"

	"github.com/pkg/errors"
)

// errOtherService is the error of an entry that names another service than the same instance of the target did before.
var errOtherService = errors.New("the target belongs to another service")

// reasonOtherService is the reason of errOtherService, and reasonOther that of an error that names none.
const (
	reasonOtherService = "other_service"
	reasonOther        = "other"
)

// unreadableEntries counts the entries that name no target, and logs some of them. They come from another writer, which may
// write any number of them.
type unreadableEntries struct {
	// loggedAt is when one was logged last, and skipped how many were not since.
	loggedAt time.Time
	skipped  int
}

func (u *unreadableEntries) observe(g *Gateway, key string, err error) {
	reason := entryReason(err)
	if tel := g.opts.Telemetry; tel != nil {
		tel.Scope().Tagged(map[string]string{"reason": reason}).Counter("target_entries_unreadable_total").Inc(1)
	}
	now := time.Now()
	if !u.loggedAt.IsZero() && now.Sub(u.loggedAt) < unreadableLogInterval {
		u.skipped++
		return
	}
	g.log.Warn("entry of a target ignored", "key", key, "reason", reason, "skipped", u.skipped, "err", err)
	u.loggedAt, u.skipped = now, 0
}

// entryReason returns why an entry names no target, in one word.
func entryReason(err error) string {
	if errors.Is(err, errOtherService) {
		return reasonOtherService
	}
	var reasoned interface{ Reason() string }
	if errors.As(err, &reasoned) {
		return reasoned.Reason()
	}
	return reasonOther
}
