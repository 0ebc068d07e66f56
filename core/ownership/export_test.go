package ownership

// Omitted names a rule that a test disables to verify that its absence is detected.
type Omitted = omission

// The rules that may be disabled.
const (
	OmitNone        = omitNone
	OmitWaitOut     = omitWaitOut
	OmitTermCheck   = omitTermCheck
	OmitReadBack    = omitReadBack
	OmitValidity    = omitValidity
	OmitRelease     = omitRelease
	OmitConfirm     = omitConfirm
	OmitPromiseMode = omitPromiseMode

	OmitRecordedYield   = omitRecordedYield
	OmitYieldWait       = omitYieldWait
	OmitClaimBack       = omitClaimBack
	OmitUnproved        = omitUnproved
	OmitOrderBoundCheck = omitOrderBoundCheck
	OmitJustChanged     = omitJustChanged
	OmitFormers         = omitFormers
)

// Without returns the settings with the rule disabled.
func (c Config) Without(rule Omitted) Config {
	c.omit = rule
	return c
}
