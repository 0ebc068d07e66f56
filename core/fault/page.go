package fault

import (
	"fmt"
	"strings"
	"time"
)

const pageHead = `# Errors

This page is generated from the table in core/fault by ` + "`go run ./lab/gen errors`" + `; edit the table, not the page.

Every request that the router cannot answer from a target ends with one of the kinds below. The answer's body is JSON:

| field | meaning |
|---|---|
| ` + "`code`" + ` | the machine-readable kind, stable across releases |
| ` + "`ran`" + ` | ` + "`not-run`, `unknown` or `ran`" + ` |
| ` + "`detail`" + ` | a short text about this request; absent where there is none |
| ` + "`request_id`" + ` | the id to quote to operators |
| ` + "`retry_after_ms`" + ` | the advised wait in milliseconds; absent where there is none |

The headers ` + "`Tarragon-Error`, `Tarragon-Ran`, `Retry-After` (whole seconds, rounded up) and `Retry-After-Ms`" + ` say the same. Each advised wait is lengthened at random by up to as much again, so that callers who were refused together do not come back together; HTTP has no fractions of a second in ` + "`Retry-After`" + `, so callers that can should read ` + "`Retry-After-Ms`" + `. An answer without ` + "`Tarragon-Error`" + ` is the target's own.

` + "`not-run`" + ` is only said with proof: no byte of the request was written to a target, or the target itself said that it did not run it. Such a request may be sent again whatever it does. With ` + "`unknown`" + ` only a request that may run more than once should be sent again. The column "ran" gives what is said by default; a single request may get a weaker statement, or a stronger one where its own proof exists (for instance ` + "`deadline_exceeded`" + ` while it still waited in a queue).

"Router retries" says whether the router itself may try again within its retry budget before it gives this answer; where ran is ` + "`unknown`" + ` it does so only for repeatable requests.

Status 499 is never sent; it stands in logs and metrics for a caller that went away. When an answer breaks off after it began, the caller's connection (HTTP/1.1) or stream (HTTP/2) is aborted, so that a part is never taken for the whole.

| code | status | ran | proof | router retries | advised wait | what happened |
|---|---|---|---|---|---|---|
`

const pageFoot = `
## By what happened and the kind of route

What a router of ` + "`tarragongw serve`" + ` does and says. "Again" is another send of its own, at most four in all and but for the first row within the retry budget that all routers share; to another target, or, where the key binds, to its holder, after a 421 once a newer division of the keys is known. Tests: TestWhatMayHaveRunIsNotRepeatedUnlessItMayBe, TestRefusalsOfTargetsGoElsewhereOrBack, TestSecondAnswerIsPassedOver, TestUnsignedSuccessIsNoAnswer, TestBrokenAnswerDoesNotLookWhole (gateway), TestUnknownKindRunsAtMostOnce (platform).

| what happened | may run more than once | at most once | said in the end |
|---|---|---|---|
| no connection could be opened | again | again | 503, not-run, come back |
| no place, no holder, key on the move | waits while it helps | waits while it helps | 503, not-run, come back |
| the target refused, or holds another key | again | again | 503, not-run, come back |
| sent, and the connection ended without an answer | again | no | 502, unknown |
| the answer is malformed or has no signature | again | no | 502, unknown |
| the target answered 5xx of its own | again, unless the key binds | no | the target's answer |
| the answer broke off after it began | no | no | the connection is aborted |
| a second answer on the connection | passed over | passed over | the request's own answer |
| time up before it was sent | no | no | 503, not-run |
| time up after it was sent | no | no | 504, unknown |
| the caller left | no; the send is cut | no; the send is cut | nothing (499 in logs) |
`

// Page returns the page of errors as Markdown, generated from the table.
func Page() string {
	var page strings.Builder
	page.WriteString(pageHead)
	for _, kind := range Kinds() {
		row := kind.Row()
		fmt.Fprintf(&page, "| `%s` | %d | `%s` | %s | %s | %s | %s |\n",
			row.Code, row.Status, row.Ran, row.Proof, yesNo(row.Retryable), wait(row.RetryAfter), row.Text)
	}
	page.WriteString(pageFoot)
	return page.String()
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func wait(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return d.String()
}
