package target

import (
	"testing"

	"go.uber.org/goleak"

	"tarragongw/internal/suspendtest"
)

func TestMain(m *testing.M) {
	suspendtest.Senders{
		senderRequests:    sendRequests,
		senderTLSRequests: sendTLSRequests,
		senderGrants:      sendGrants,
	}.RunIfChosen()
	goleak.VerifyTestMain(m)
}
