package fault

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestTableIsComplete(t *testing.T) {
	codes := map[string]bool{}
	for _, kind := range Kinds() {
		row := kind.Row()
		assert.Assert(t, row.Code != "" && row.Text != "", "kind %d has no row", kind)
		assert.Assert(t, !codes[row.Code], "code %s is listed twice", row.Code)
		codes[row.Code] = true
		assert.Assert(t, row.Status >= 400 && row.Status < 600, row.Code)
		assert.Assert(t, !strings.Contains(row.Text, "|"), row.Code)
		found, ok := ByCode(row.Code)
		assert.Assert(t, ok && found == kind, row.Code)
	}
	_, ok := ByCode("no such code")
	assert.Assert(t, !ok)
	assert.Equal(t, Kind(255).Row(), Internal.Row())
}

func TestNotRunNeedsProof(t *testing.T) {
	for _, kind := range Kinds() {
		row := kind.Row()
		assert.Equal(t, row.Ran == NotRun, row.Proof != NoProof, row.Code)
	}
}

// Guards against a "not run" answer for a request that may have run: a byte of a payout
// reached the target, the connection broke, the failure was reported with a kind whose
// default is "not run", and the caller repeated the payout. What was observed has to override
// the kind's default.
func TestNotRunIsHeldToEvidence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		evidence := Evidence{
			Written: rapid.Bool().Draw(t, "written"),
			Refused: rapid.Bool().Draw(t, "refused"),
			Began:   rapid.Bool().Draw(t, "began"),
		}
		claim := New(rapid.SampledFrom(Kinds()).Draw(t, "kind"), "")
		claim.Ran = rapid.SampledFrom([]Ran{RanUnknown, NotRun, RanFully}).Draw(t, "ran")
		before := *claim
		limited := claim.WithEvidence(evidence)
		notRunProved := !evidence.Began && (evidence.Refused || !evidence.Written)
		assert.Assert(t, limited.Ran != NotRun || notRunProved)
		assert.Assert(t, limited.Ran != RanFully || evidence.Began)
		assert.Assert(t, !evidence.Began || limited.Ran == RanFully)
		assert.Equal(t, limited.Kind, claim.Kind)
		assert.DeepEqual(t, *claim, before)
	})
}

func TestErrorTextAndUnwrapIncludeTheCause(t *testing.T) {
	cause := errors.New("connection reset")
	f := Wrap(TargetLost, cause, "while sending")
	assert.Equal(t, f.Error(), "target_lost: while sending: connection reset")
	assert.Assert(t, errors.Is(f, cause))
	assert.Equal(t, f.Ran, RanUnknown)
}

func TestWaitPrefersRetryAfterOfTheFault(t *testing.T) {
	f := New(QueueFull, "")
	assert.Equal(t, f.Wait(), shortWait)
	f.RetryAfter = 3 * time.Second
	assert.Equal(t, f.Wait(), 3*time.Second)
}

func TestPageMatchesTable(t *testing.T) {
	page, err := os.ReadFile("../../docs/ERRORS.md")
	assert.NilError(t, err)
	assert.Equal(t, string(page), Page(), "run: go run ./lab/gen errors")
}
