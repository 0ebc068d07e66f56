package caller

import (
	"strconv"
	"time"

	"tarragongw/core/fault"
	"tarragongw/core/model"
)

var (
	errBadDeadline    = fault.New(fault.BadRequest, "the deadline is neither milliseconds nor a duration such as 1.5s")
	errDeadlinePassed = fault.New(fault.DeadlineUnmeetable, "the deadline had passed on arrival")
	errTurnTooLate    = fault.New(fault.DeadlineUnmeetable, "the deadline passed while the request waited for those before it on its connection")
)

// timeLeft returns how long the request may wait for its answer to begin, at most the timeout
// of the service. Zero means no limit.
func (s *source) timeLeft(e *model.Extract, timeout time.Duration) (time.Duration, *fault.Fault) {
	value, f := s.read(e)
	if f != nil {
		return 0, f
	}
	if value == "" {
		return timeout, nil
	}
	left, ok := parseTimeLeft(value)
	if !ok {
		return 0, errBadDeadline
	}
	if left <= 0 {
		return 0, errDeadlinePassed
	}
	if timeout > 0 && left > timeout {
		return timeout, nil
	}
	return left, nil
}

// maxMillis is the largest number of milliseconds that a time.Duration holds.
const maxMillis = int64(1<<63-1) / int64(time.Millisecond)

func parseTimeLeft(value string) (time.Duration, bool) {
	if millis, err := strconv.ParseInt(value, 10, 64); err == nil {
		return time.Duration(min(millis, maxMillis)) * time.Millisecond, millis >= -maxMillis
	}
	left, err := time.ParseDuration(value)
	return left, err == nil
}
