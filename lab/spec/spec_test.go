package spec

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// check is one run of spin over one model.
type check struct {
	model string
	// flags are the models' own macros.
	flags []string
	// cycles looks for infinite executions instead of failed assertions.
	cycles bool
	// violated is part of the assertion that must fail; empty means none may.
	violated string
}

// right are the checks of the specification itself: safety with up to two moves
// and two takeovers, and that the unit is served again once faults end, which
// needs that no execution goes on for ever.
var right = []check{
	{model: "ownership", flags: []string{"TAKEOVERS=1", "TOKENS=3"}},
	{model: "ownership", flags: []string{"TAKEOVERS=2", "TOKENS=2"}},
	{model: "ownership", flags: []string{"READ_BEFORE_PROOF", "TAKEOVERS=2", "TOKENS=2"}},
	{model: "ownership", flags: []string{"PROGRESS", "TAKEOVERS=1", "TOKENS=2", "FAULTS=2"}},
	{model: "ownership", flags: []string{"PROGRESS", "TAKEOVERS=1", "TOKENS=2", "FAULTS=1"}, cycles: true},
	{model: "promise"},
	{model: "promise", flags: []string{"PROGRESS"}},
	{model: "promise", flags: []string{"PROGRESS"}, cycles: true},
	{model: "yield"},
	{model: "finish"},
	{model: "finish", flags: []string{"CHANGES=5"}},
}

const (
	twoOwners  = "cTok==0"
	ownTerm    = "oTerm>=maxTerm"
	tokenBack  = ">sTok"
	notServed  = "stopped"
	twoSenders = "auth"
	lateOrder  = "acting"
	inTurn     = "turns<=1"
	lateRest   = "moved"
)

// mutants each lack one rule and must be found.
var mutants = []check{
	{model: "ownership", flags: []string{"NO_WAITOUT"}, violated: ownTerm},
	{model: "ownership", flags: []string{"NO_TERM_CHECK"}, violated: twoOwners},
	{model: "ownership", flags: []string{"BLIND_RETRY"}, violated: tokenBack},
	{model: "ownership", flags: []string{"ACT_ON_LAPSED"}, violated: ownTerm},
	{model: "ownership", flags: []string{"RENEW_AFTER_RELEASE"}, violated: twoOwners},
	{model: "ownership", flags: []string{"NO_CONFIRM"}, violated: twoOwners},
	{model: "ownership", flags: []string{"NO_SETTLE", "PROGRESS", "TAKEOVERS=1", "TOKENS=2", "FAULTS=2"}, violated: notServed},
	{model: "promise", flags: []string{"STORE_EXTENDS_ALWAYS"}, violated: lateOrder},
	{model: "promise", flags: []string{"NO_END_CHECK"}, violated: lateOrder},
	{model: "promise", flags: []string{"PROMISE_WHILE_TAKING_OVER"}, violated: lateOrder},
	{model: "promise", flags: []string{"FREE_ALWAYS"}, violated: lateOrder},
	{model: "promise", flags: []string{"ENTITLED_AT_ONCE"}, violated: lateOrder},
	{model: "promise", flags: []string{"NO_WAITOUT"}, violated: twoSenders},
	{model: "promise", flags: []string{"NO_TAKEOVER", "PROGRESS"}, violated: twoSenders},
	{model: "yield", flags: []string{"NO_YIELD_WAIT"}, violated: twoSenders},
	{model: "yield", flags: []string{"PROMISES_FOR_EVER"}, violated: twoSenders},
	{model: "yield", flags: []string{"CLAIMS_BACK"}, violated: inTurn},
	{model: "yield", flags: []string{"CLAIMS_WITHOUT_STORE"}, violated: twoSenders},
	{model: "yield", flags: []string{"COUNTS_FROM_RECEIPT"}, violated: twoSenders},
	{model: "yield", flags: []string{"WAITS_BY_CONFIG"}, violated: twoSenders},
	{model: "yield", flags: []string{"LONGER_BEFORE_WRITTEN"}, violated: twoSenders},
	{model: "yield", flags: []string{"SHORTER_AFTER_WRITTEN"}, violated: twoSenders},
	{model: "yield", flags: []string{"RELIES_ON_UNPROVED"}, violated: twoSenders},
	{model: "yield", flags: []string{"SHORTENS_UNPROVED"}, violated: twoSenders},
	{model: "finish", flags: []string{"NO_FORMER_WAIT"}, violated: lateRest},
	{model: "finish", flags: []string{"NO_REVOKE_WAIT"}, violated: lateRest},
	{model: "finish", flags: []string{"CLAIM_FORGETS"}, violated: lateRest},
	{model: "finish", flags: []string{"HAND_OVER_FORGETS"}, violated: lateRest},
	{model: "finish", flags: []string{"HAND_OVER_DROPS_REVOKED"}, violated: lateRest},
	{model: "finish", flags: []string{"READ_ANY"}, violated: lateRest},
}

func (c check) name() string {
	name := c.model + "/" + strings.Join(c.flags, ",")
	if c.cycles {
		name += ",cycles"
	}
	return name
}

func needTools(t *testing.T) {
	t.Helper()
	for _, tool := range []string{"spin", "gcc"} {
		if _, err := exec.LookPath(tool); err != nil {
			t.Skipf("%s is not installed; the specification was NOT checked (Debian: apt-get install %s)", tool, tool)
		}
	}
}

var (
	failedAssert = regexp.MustCompile(`assertion violated *(.*)\(at depth`)
	errorCount   = regexp.MustCompile(`errors: (\d+)`)
	statesStored = regexp.MustCompile(`(\d+) states, stored`)
	depthReached = regexp.MustCompile(`depth reached (\d+)`)
	elapsed      = regexp.MustCompile(`elapsed time ([\d.]+) seconds`)
)

func first(re *regexp.Regexp, text string) string {
	if m := re.FindStringSubmatch(text); m != nil {
		return m[1]
	}
	return ""
}

// run has spin generate the checker, gcc compile it, and runs it to the end.
func (c check) run(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	model, err := filepath.Abs(c.model + ".pml")
	assert.NilError(t, err)
	args := []string{"-a"}
	for _, f := range c.flags {
		args = append(args, "-D"+f)
	}
	command(t, dir, "spin", append(args, model)...)
	mode := "-DSAFETY"
	runArgs := []string{"-m20000", "-w24"}
	if c.cycles {
		mode, runArgs = "-DNP", append(runArgs, "-l")
	}
	command(t, dir, "gcc", "-O2", "-w", mode, "-DCOLLAPSE", "-DNOFAIR", "-o", "pan", "pan.c")
	return command(t, dir, "./pan", runArgs...)
}

func command(t *testing.T, dir, name string, args ...string) string {
	t.Helper()
	cmd := exec.Command(name, args...)
	cmd.Dir = dir
	cmd.Env = os.Environ()
	out, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatalf("%s %v: %v\n%s", name, args, err, out)
	}
	return string(out)
}

func checkAll(t *testing.T, checks []check, verdict func(t *testing.T, c check, out string)) {
	needTools(t)
	limit := make(chan struct{}, 4)
	for _, c := range checks {
		t.Run(c.name(), func(t *testing.T) {
			t.Parallel()
			limit <- struct{}{}
			defer func() { <-limit }()
			out := c.run(t)
			t.Log(summary(c, out))
			verdict(t, c, out)
		})
	}
}

func summary(c check, out string) string {
	return fmt.Sprintf("check=%s errors=%s states=%s depth=%s seconds=%s", c.name(), first(errorCount, out),
		first(statesStored, out), first(depthReached, out), first(elapsed, out))
}

func TestSpecificationHolds(t *testing.T) {
	checkAll(t, right, func(t *testing.T, _ check, out string) {
		assert.Equal(t, first(errorCount, out), "0", out)
		assert.Assert(t, !strings.Contains(out, "Search not completed"), out)
		assert.Assert(t, !strings.Contains(out, "max search depth too small"), out)
	})
}

func TestMutantsAreFound(t *testing.T) {
	checkAll(t, mutants, func(t *testing.T, c check, out string) {
		assert.Equal(t, first(errorCount, out), "1", out)
		got := first(failedAssert, out)
		assert.Assert(t, strings.Contains(got, c.violated), "violated %q, expected %q", got, c.violated)
	})
}
