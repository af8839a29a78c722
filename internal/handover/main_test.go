package handover

import (
	"os"
	"testing"

	"ledgespread/internal/testseed"
)

func TestMain(m *testing.M) { os.Exit(testseed.Run(m)) }
