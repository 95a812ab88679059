package peer

import (
	"context"
	"encoding/json"
	"reflect"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
)

// packed carries a message as CBOR. The JSON-RPC library decodes all parameters into maps and encodes
// them again before they are decoded into a message, which takes several times as long as decoding
// them once. It copies the text of a packed message.
type packed struct {
	CBOR []byte `json:"cbor"`
}

// packs reports whether a message is packed if the peer can unpack it: those of which a leader sends
// and receives thousands of parts a second.
func packs(m Message) bool {
	switch m.(type) {
	case Orders, OrderResults:
		return true
	default:
		return false
	}
}

// params returns the parameters to send for a message.
func (l *link) params(m Message) (any, error) {
	if !packs(m) {
		return m, nil
	}
	if !l.unpacks.Load() {
		if !l.asked.Swap(true) {
			go l.askUnpacks()
		}
		return m, nil
	}
	b, err := cbor.Marshal(m)
	return packed{CBOR: b}, errors.Wrap(err, "pack message")
}

// askUnpacks asks the peer whether it can unpack messages. Hosts of older builds answer an empty
// object.
func (l *link) askUnpacks() {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	var r Ping
	if l.rpc.Call(ctx, Ping{}.method(), Ping{}, &r) == nil {
		l.unpacks.Store(r.Unpacks)
	}
}

// decodeParams decodes the parameters of a message into v, a pointer to a message.
func decodeParams(raw json.RawMessage, v any) error {
	if m, ok := reflect.ValueOf(v).Elem().Interface().(Message); ok && packs(m) {
		var p packed
		if err := json.Unmarshal(raw, &p); err != nil {
			return errors.Wrap(err, "decode parameters")
		}
		if p.CBOR != nil {
			return errors.Wrap(cbor.Unmarshal(p.CBOR, v), "unpack message")
		}
	}
	return errors.Wrap(json.Unmarshal(raw, v), "decode parameters")
}
