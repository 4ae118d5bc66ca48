package messenger

import (
	"google.golang.org/protobuf/encoding/protodelim"

	"filbertstile.example/filbertstile/base/wire"
)

// SendAs sends a frame with the ID of another request.
func SendAs(s *Stream, id string, f *wire.Frame) error {
	f.Id = id
	_, err := protodelim.MarshalTo(s.raw, f)
	return err
}

// SessionCount returns the number of addresses to which the client has a session.
func (c *Client) SessionCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.peers)
}

// SessionConfig, NewJoiner and Dial are what sessions use.
var (
	SessionConfig = sessionConfig
	NewJoiner     = newJoiner
	Dial          = dial
)
