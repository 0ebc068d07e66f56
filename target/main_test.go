package target

import (
	"os"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	if address := os.Getenv(suspendedAddress); address != "" {
		sendUntilKilled(address)
	}
	goleak.VerifyTestMain(m)
}
