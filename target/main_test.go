package target

import (
	"testing"

	"go.uber.org/goleak"

	"tarragongw/internal/suspendtest"
)

func TestMain(m *testing.M) {
	if address, sends := suspendtest.Sends(); sends {
		sendUntilKilled(address)
	}
	goleak.VerifyTestMain(m)
}
