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

The headers ` + "`Tarragon-Error`, `Tarragon-Ran`, `Retry-After` (whole seconds, rounded up) and `Retry-After-Ms`" + ` say the same. Each advised wait is extended at random by up to its own length, so that callers that were refused at the same moment do not all retry at the same moment. ` + "`Retry-After`" + ` cannot express fractions of a second, so callers that can should read ` + "`Retry-After-Ms`" + `. An answer without ` + "`Tarragon-Error`" + ` is the target's own.

` + "`not-run`" + ` is only stated with proof: no byte of the request was written to a target, or the target itself said that it did not run the request. Such a request can always be sent again. With ` + "`unknown`" + ` only a request that may run more than once should be sent again. The column "ran" gives the default; an individual request may get a weaker statement, or a stronger one if there is proof for this request (for instance ` + "`deadline_exceeded`" + ` while it was still queued).

The column "router retries" says whether the router itself may retry within its retry budget before it gives this answer; if ran is ` + "`unknown`" + `, it retries only repeatable requests.

Status 499 is never sent; in logs and metrics it stands for a caller that closed the connection or cancelled. When an answer ends early, the caller's connection (HTTP/1.1) or stream (HTTP/2) is aborted, so that a truncated answer is never taken for a complete one.

| code | status | ran | proof | router retries | advised wait | what happened |
|---|---|---|---|---|---|---|
`

const pageFoot = `
## By failure and kind of route

What a router of ` + "`tarragongw serve`" + ` does and answers. "Retried" means that the router itself sends the request again, in at most four attempts in all and, except in the first row, within the retry budget that all routers share. A retry goes to another target or, if the service divides its keys among its targets, to the key's holder; after a 421 only once a newer key table is known. Tests: TestWhatMayHaveRunIsNotRepeatedUnlessItMayBe, TestRefusalsOfTargetsGoElsewhereOrBack, TestSecondAnswerIsPassedOver, TestUnsignedSuccessIsNoAnswer, TestBrokenAnswerDoesNotLookWhole (gateway), TestUnknownKindRunsAtMostOnce (platform).

| what happened | may run more than once | at most once | final answer |
|---|---|---|---|
| no connection could be opened | retried | retried | 503, not-run, with an advised wait |
| no room at any target, no holder, or the key is moving | queued while it can be in time | queued while it can be in time | 503, not-run, with an advised wait |
| the target refused, or does not hold the key | retried | retried | 503, not-run, with an advised wait |
| sent, and the connection ended without an answer | retried | no | 502, unknown |
| the answer is malformed or has no signature | retried | no | 502, unknown |
| the target itself answered 5xx | retried, unless the service divides its keys | no | the target's answer |
| the answer ended early | no | no | the connection is aborted |
| a second answer on the connection | ignored | ignored | the request's own answer |
| two targets ended the connection without an answer | no | no | 502, unknown |
| three targets crashed under requests with the same content | not sent | not sent | 503, not-run, with an advised wait; 502, unknown, if this one was sent before |
| deadline passed before the request was sent | no | no | 503, not-run |
| deadline passed after the request was sent | no | no | 504, unknown |
| the caller closed the connection | no; the attempt is aborted | no; the attempt is aborted | none (499 in logs) |
`

// Page returns the page of errors in Markdown, generated from the table.
func Page() string {
	var page strings.Builder
	page.WriteString(pageHead)
	for _, kind := range Kinds() {
		row := kind.Row()
		fmt.Fprintf(&page, "| `%s` | %d | `%s` | %s | %s | %s | %s |\n",
			row.Code, row.Status, row.Ran, row.Proof, yesNo(row.Retryable), formatWait(row.RetryAfter), row.Text)
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

func formatWait(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return d.String()
}
