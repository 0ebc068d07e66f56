package request

// ParseClass returns the class with the name.
func ParseClass(name string) (Class, bool) {
	switch name {
	case Interactive.String():
		return Interactive, true
	case Batch.String():
		return Batch, true
	default:
		return Interactive, false
	}
}
