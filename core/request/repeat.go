package request

// RepeatableMethod reports whether requests with the method may run more than once by
// default. These are the safe methods of RFC 9110. PUT and DELETE are idempotent by the
// RFC too, but a target for which they trigger a publication or a payment must not run them
// twice, so callers or operators have to declare them repeatable.
func RepeatableMethod(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE":
		return true
	default:
		return false
	}
}

// ParseRepeatable parses the value by which a caller overrides the default.
func ParseRepeatable(value string) (repeatable, ok bool) {
	switch value {
	case "true", "repeatable":
		return true, true
	case "false", "at-most-once":
		return false, true
	default:
		return false, false
	}
}
