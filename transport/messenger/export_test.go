package messenger

import (
	"google.golang.org/protobuf/encoding/protodelim"

	"filbertstile.example/filbertstile/base/wire"
)

// SendAs writes a frame with the id of another request.
func SendAs(s *Stream, id string, f *wire.Frame) error {
	f.Id = id
	_, err := protodelim.MarshalTo(s.raw, f)
	return err
}
