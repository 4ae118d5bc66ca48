package tracker

import (
	"context"
	"time"

	"filbertstile.example/filbertstile/base/sleeper"
)

const (
	// maxAnswerDelay is how long after its timeout the answer to a watch may arrive and still
	// confirm the copy later than it was sent. A slow store takes 0.3 s for an answer.
	maxAnswerDelay = 500 * time.Millisecond
	// arrivalLead is how long before the timeout of a watch the process begins to look for its
	// answer, and readTime the time that it then has to read one that is there.
	arrivalLead = 250 * time.Millisecond
	readTime    = 50 * time.Millisecond
	// maxConfirmationError bounds by how much a confirmation errs if the store ended the watch
	// early. It is shorter than the time by which versions and keys end before they must.
	maxConfirmationError = 100 * time.Millisecond
)

// awaitArrival begins to look for the answer to a watch with the timeout. The function
// returned ends that, and returns a time of the clock before which the answer had not arrived,
// 0 if none is known: the process was running then and had the time to read it. A process that stands
// still does not know when an answer arrived that it reads afterwards.
func awaitArrival(ctx context.Context, clock func() time.Duration, timeout time.Duration) (end func() time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	result := make(chan time.Duration, 1)
	go func() {
		notBefore := time.Duration(0)
		err := sleeper.Sleep(ctx, timeout-arrivalLead)
		for err == nil {
			ranAt := clock()
			if err = sleeper.Sleep(ctx, readTime); err == nil && ctx.Err() == nil {
				notBefore = ranAt
			}
		}
		result <- notBefore
	}()
	return func() time.Duration {
		cancel()
		return <-result
	}
}

// confirmedUntil returns the time as of which an answer without changes confirms the copy. The
// watch was sent at sentAt, the answer was read at readAt and had not arrived before notBefore.
func confirmedUntil(sentAt, timeout, readAt, notBefore time.Duration) time.Duration {
	end := sentAt + timeout
	if timeout <= 0 || readAt < end || readAt > end+maxAnswerDelay || notBefore <= sentAt {
		return sentAt
	}
	return min(end, notBefore+maxConfirmationError)
}
