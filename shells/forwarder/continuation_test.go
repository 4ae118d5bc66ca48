package forwarder_test

import (
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/shells/forwarder"
)

// answerWith returns a response of a replica that has run the request.
func answerWith(status int, body string, stream bool) step {
	return step{verdict: forwarder.Ran, status: status, body: body, stream: stream}
}

// unnumbered returns events without IDs.
func unnumbered(n int, err error) step {
	return step{verdict: forwarder.Ran, status: 200, body: strings.Repeat("data: y\n\n", n), bodyErr: err, stream: true}
}

// notContinuations are responses that do not go on with a stream that has begun.
var notContinuations = map[string]step{
	"Failure":            failed,
	"FailedStream":       {verdict: forwarder.Failed, status: 500, body: "data: error\n\n", stream: true},
	"NotFound":           answerWith(404, "no such model", false),
	"Redirect":           answerWith(302, "", false),
	"OtherType":          answerWith(200, "{}", false),
	"NoContent":          answerWith(204, "", false),
	"EndedStream":        answerWith(200, "", true),
	"EmptyStream":        {verdict: forwarder.Ran, status: 200, stream: true, unframed: true},
	"OnlyEarlierEvents":  events(1, 2, nil),
	"OnlyComments":       answerWith(200, ": wait\n\n", true),
	"EventsWithoutIDs":   unnumbered(2, nil),
	"EventsFromLaterOn":  events(5, 6, nil),
	"Invalid":            invalid,
	"NotRun":             notRun,
	"EventsAfterTheText": answerWith(200, "error\n\n"+events(3, 6, nil).body, true),
}

// TestBegunStreamIsNotContinuedByAnotherResponse guards against an error text in the middle of a
// stream that has begun, and against a part of a stream that looks complete.
func TestBegunStreamIsNotContinuedByAnotherResponse(t *testing.T) {
	for name, second := range notContinuations {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, _, _ := serve(t, filbertstile.CallStream, events(1, 2, io.ErrUnexpectedEOF), second)
			is.Equal(c.body.String(), events(1, 2, nil).body)
			is.True(c.aborted)
		})
	}
}

// TestNothingIsLeftOfBegunStream guards against a stream that seems torn although its replica broke
// off after the last event, as two others say.
func TestNothingIsLeftOfBegunStream(t *testing.T) {
	is := is.New(t)
	r := route(filbertstile.CallStream)
	r.MaxAttempts = 3
	nothing := answerWith(200, "", true)
	c, s, _ := serveRoute(t, r, events(1, 2, io.ErrUnexpectedEOF), nothing, nothing, events(3, 6, nil))
	is.Equal(c.body.String(), events(1, 2, nil).body)
	is.True(!c.aborted)
	is.Equal(len(s.sent), 3)
}

// TestEndOfEarlierPartConfirmsNothing guards against a stream that ends as complete after two
// replicas that speak of different events.
func TestEndOfEarlierPartConfirmsNothing(t *testing.T) {
	is := is.New(t)
	r := route(filbertstile.CallStream)
	r.MaxAttempts = 4
	nothing := answerWith(200, "", true)
	c, _, _ := serveRoute(t, r, events(1, 2, io.ErrUnexpectedEOF), nothing, events(3, 4, io.ErrUnexpectedEOF), nothing)
	is.Equal(c.body.String(), events(1, 4, nil).body)
	is.True(c.aborted)
}

// TestBegunStreamIsContinuedByThirdReplica guards against a stream that is given up although a
// replica that goes on with it may still be tried.
func TestBegunStreamIsContinuedByThirdReplica(t *testing.T) {
	for name, second := range notContinuations {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := route(filbertstile.CallStream)
			r.MaxAttempts = 3
			c, _, _ := serveRoute(t, r, events(1, 2, io.ErrUnexpectedEOF), second, events(3, 6, nil))
			is.Equal(c.body.String(), events(1, 6, nil).body)
			is.True(!c.aborted)
		})
	}
}

// TestStreamWithoutIDsIsNotResumed guards against events that the caller gets twice, as nothing
// tells the next replica where to go on.
func TestStreamWithoutIDsIsNotResumed(t *testing.T) {
	for name, second := range map[string]step{"WithoutIDs": unnumbered(4, nil), "WithIDs": events(1, 4, nil)} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, s, _ := serve(t, filbertstile.CallStream, unnumbered(2, io.ErrUnexpectedEOF), second)
			is.Equal(c.body.String(), unnumbered(2, nil).body)
			is.Equal(len(s.sent), 1)
			is.True(c.aborted)
		})
	}
}
