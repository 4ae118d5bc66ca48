package entryrunner

import (
	"testing"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/shells/recorder"
)

// TestTruncatedResultIsNotReplayed guards against a caller that gets the start of a body as complete,
// as the host did not keep the rest of it.
func TestTruncatedResultIsNotReplayed(t *testing.T) {
	for _, truncated := range []bool{false, true} {
		is := is.New(t)
		sealed := &wire.Sealed{Run: string(filbertstile.Ran), Status: 200, ContentType: "text/plain", Body: []byte("start"), BodyTruncated: truncated}
		want := recorder.Outcome{Run: filbertstile.Ran, Status: 200, ContentType: "text/plain", Body: []byte("start"), BodyOmitted: truncated}
		is.Equal(sealedOutcome(sealed), want)
	}
}
