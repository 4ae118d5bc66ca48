package evaluator_test

import (
	"os"
	"testing"

	"filbertstile.example/filbertstile/rigs/bubbler"
)

func TestMain(m *testing.M) { os.Exit(bubbler.Main(m)) }
