package ownership

// Omitted is a rule that a test leaves out to see that its absence is caught.
type Omitted = omission

// The rules that may be left out.
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
)

// Without returns the settings with the rule left out.
func (c Config) Without(rule Omitted) Config {
	c.omit = rule
	return c
}
