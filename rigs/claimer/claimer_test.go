package claimer

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// TestPortIsHeld guards against a port that a connection, or another test, takes while the
// process that listens there is restarted.
func TestPortIsHeld(t *testing.T) {
	is := is.New(t)
	c, err := New()
	is.NoErr(err)
	is.True(c.Port < FirstEphemeralPort()) // outgoing connections do not take it
	_, err = newClaim(c.Port)
	is.True(err != nil) // nor do other tests
	other, err := New()
	is.NoErr(err)
	defer other.Release()
	is.True(other.Port != c.Port) // nor does this one
	l, err := net.Listen("tcp", c.Address())
	is.NoErr(err) // its process can still listen there
	_ = l.Close()
	c.Release()
	again, err := newClaim(c.Port)
	is.NoErr(err)
	again.Release()
}
