package confirm

// Omitted names a check that a test disables to show that the test fails without it.
type Omitted = check

// The checks that may be disabled.
const (
	OmitNone        = omitNone
	OmitFresh       = omitFresh
	OmitIncarnation = omitIncarnation
	OmitFallback    = omitFallback
)

// Without returns the configuration with the check disabled.
func (c Config) Without(rule Omitted) Config {
	c.omit = rule
	return c
}

// Order returns the routers that this one asks, first choice first.
func (c *Core) Order() []string { return c.order }
