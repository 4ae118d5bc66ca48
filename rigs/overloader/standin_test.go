package overloader

import (
	"testing"

	"filbertstile.example/filbertstile/platform/emulator"
)

// startPlatform starts what an entry or a host on the platform needs, and returns the address of the
// store.
func startPlatform(t *testing.T) string {
	t.Helper()
	replica := emulator.StartReplica()
	t.Cleanup(replica.Close)
	store := emulator.StartStore(replica.Listener.Addr().String(), bodyBytes)
	t.Cleanup(store.Close)
	return store.Listener.Addr().String()
}
