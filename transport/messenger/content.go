package messenger

import (
	"fmt"

	"filbertstile.example/filbertstile/base/wire"
)

// ErrRefused reports that the peer sent a Refusal frame instead of content.
type ErrRefused struct {
	Step string
	Peer string
	// Code is the error code of the refusal.
	Code string
}

// Error returns a message with the step, the peer and the code.
func (e ErrRefused) Error() string {
	return fmt.Sprintf("%s: peer %s refused: %s", e.Step, e.Peer, e.Code)
}

// SendContent sends the data in Data frames of at most pieceBytes each, so that other
// streams of the session can send in between, and then an End frame.
func (s *Stream) SendContent(data []byte, pieceBytes int) error {
	for offset := 0; offset < len(data); offset += pieceBytes {
		piece := data[offset:min(offset+pieceBytes, len(data))]
		if err := s.Send(&wire.Frame{Kind: &wire.Frame_Data{Data: &wire.Data{Offset: int64(offset), Piece: piece}}}); err != nil {
			return err
		}
	}
	return s.Send(&wire.Frame{Kind: &wire.Frame_End{End: &wire.End{Length: int64(len(data))}}})
}

// ReceiveContent returns the data that the peer sent with SendContent, or ErrRefused.
func (s *Stream) ReceiveContent() ([]byte, error) {
	var data []byte
	for {
		f, err := s.Receive()
		if err != nil {
			return nil, err
		}
		switch kind := f.GetKind().(type) {
		case *wire.Frame_Data:
			data = append(data, kind.Data.GetPiece()...)
		case *wire.Frame_End:
			return data, nil
		case *wire.Frame_Refusal:
			return nil, ErrRefused{Step: "receive content", Peer: s.peer, Code: kind.Refusal.GetCode()}
		}
	}
}
