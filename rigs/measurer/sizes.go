package measurer

import (
	"encoding/json"
	"time"

	"google.golang.org/protobuf/proto"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/wire"
	"filbertstile.example/filbertstile/shells/recorder"
)

// changeBytes returns the size of an encoded change of one account.
func changeBytes() float64 {
	c := makeConfig(1)
	data, err := json.Marshal(filbertstile.Change{
		Revision: 1e6, Nonce: "0123456789abcdef0123456789abcdef0123", Author: "operator", At: time.Now(),
		Notes: filbertstile.ReleaseNotes{Changed: filbertstile.Entities{Accounts: c.Accounts.All()}},
	})
	if err != nil {
		panic(err) // plain structs always encode
	}
	return float64(len(data))
}

// frameBytes returns the number of bytes that a message takes up on an open stream: its
// encoding, its length prefix and a yamux header.
func frameBytes(m proto.Message) float64 {
	const yamuxHeader, lengthPrefix = 12, 1
	return float64(proto.Size(m) + yamuxHeader + lengthPrefix)
}

// callBytes returns the number of bytes that a request and its reply take up on a stream of
// their own. Each direction has three yamux headers: one with the message, which frameBytes
// includes, and two for the stream.
func callBytes(request, reply proto.Message) float64 {
	const streamBytes = 4 * 12
	return frameBytes(request) + frameBytes(reply) + streamBytes
}

// messageSizes returns the figures from which docs/CAPACITY.md computes the traffic: sizes of
// messages, and the bytes per second that messages take up. All follow from the encoding of
// the messages.
func messageSizes() []Figure {
	update := &wire.Frame{Id: "1z", Kind: &wire.Frame_Update{Update: &wire.Update{
		Revision: 1e6, MembersVersion: 1 << 62, VouchedMillisecondsAgo: 100, EchoMicroseconds: 1.7e15,
	}}}
	ack := &wire.Frame{Id: "1z", Kind: &wire.Frame_Ack{Ack: &wire.Ack{
		MinRevision: 1e6, Revision: 1e6, MembersVersion: 1 << 62, Nodes: 1480, Slowest: "process-00000", StampMicroseconds: 1.7e15,
	}}}
	// With each of its two parents, a process exchanges both on every confirmation of the
	// view, which happens twice per second.
	confirmationRate := 2 * (frameBytes(update) + frameBytes(ack))
	accountRate := &wire.AccountRate{Account: "account-000001", PerSecond: 100}
	demand := &wire.Request{Id: "1z", Sender: "process-00000", Kind: &wire.Request_Demand{Demand: &wire.Demand{Rates: []*wire.AccountRate{accountRate}}}}
	grant := &wire.Frame{Id: "1z", Kind: &wire.Frame_Grant{Grant: &wire.Grant{Rates: []*wire.AccountRate{accountRate}, LeaseMilliseconds: 1000}}}
	unchanged := &wire.Frame{Id: "1z", Kind: &wire.Frame_Load{Load: &wire.Load{Same: true}}}
	record, err := json.Marshal(recorder.Batch{
		Intents:  []recorder.Intent{{Key: "account-000001/royalty-ledger/0123456789abcdef0123456789abcdef", BodyDigest: string(filbertstile.DigestOf(nil)), RequestID: "0123456789abcdef0123456789abcdef0123", At: time.Now().UTC()}},
		Outcomes: []recorder.Outcome{{Key: "account-000001/royalty-ledger/0123456789abcdef0123456789abcdef", RequestID: "0123456789abcdef0123456789abcdef0123", Run: filbertstile.Ran, Status: 200, ContentType: "application/json", Body: make([]byte, 128), At: time.Now().UTC()}},
	})
	if err != nil {
		panic(err) // plain structs always encode
	}
	member, err := json.Marshal(makeMembers(2)[1])
	if err != nil {
		panic(err) // plain structs always encode
	}
	return []Figure{
		unbounded("Capacity.ChangeSize", changeBytes(), "bytes", nil),
		unbounded("Capacity.TreeBytes.Fixed", 2*confirmationRate, "bytes/s", nil),
		unbounded("Capacity.TreeBytes.Slope", 0, "bytes/s/Member", nil),
		unbounded("Capacity.RootWord", confirmationRate, "bytes/s/Root", nil),
		// Idle entries send a demand every 0.7 s.
		unbounded("Capacity.QuotaWord", callBytes(demand, grant)/0.7, "bytes/s/Entry", nil),
		// One report per second, and every 2 s a yamux ping with its reply in each direction.
		unbounded("Capacity.HostReport", frameBytes(unchanged)+24, "bytes/s/Entry", nil),
		unbounded("Capacity.RecordBytes", float64(len(record)), "bytes/Record", nil),
		unbounded("Capacity.MemberBytes", float64(len(member)), "bytes/Member", nil),
	}
}
