package messenger

import (
	"fmt"

	"filbertstile.example/filbertstile/base/wire"
)

// ErrRefused is a peer's refusal to send content.
type ErrRefused struct {
	Step string
	Peer string
	Code string
}

// Error names the peer's reason.
func (e ErrRefused) Error() string {
	return fmt.Sprintf("%s: peer %s refused: %s", e.Step, e.Peer, e.Code)
}

// SendContent sends data in pieces, so that other streams get their turn, and
// then its end.
func (s *Stream) SendContent(data []byte, pieceBytes int) error {
	for off := 0; off < len(data); off += pieceBytes {
		piece := data[off:min(off+pieceBytes, len(data))]
		if err := s.Send(&wire.Frame{Kind: &wire.Frame_Data{Data: &wire.Data{Offset: int64(off), Piece: piece}}}); err != nil {
			return err
		}
	}
	return s.Send(&wire.Frame{Kind: &wire.Frame_End{End: &wire.End{Length: int64(len(data))}}})
}

// ReceiveContent reads what SendContent sent, or ErrRefused.
func (s *Stream) ReceiveContent() ([]byte, error) {
	var data []byte
	for {
		f, err := s.Receive()
		if err != nil {
			return nil, err
		}
		switch k := f.GetKind().(type) {
		case *wire.Frame_Data:
			data = append(data, k.Data.GetPiece()...)
		case *wire.Frame_End:
			return data, nil
		case *wire.Frame_Refusal:
			return nil, ErrRefused{Step: "receive content", Peer: s.peer, Code: k.Refusal.GetCode()}
		}
	}
}
