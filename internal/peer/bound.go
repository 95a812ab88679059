package peer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"time"
)

// Bounds of one message.
const (
	// maxMessage has room for the largest body in base64 and for a copy of the table.
	maxMessage = 8 << 20
	// messageTimeout bounds the time to read one message after its first byte.
	messageTimeout = 10 * time.Second
)

// SizeError means that a message is larger than any message that hosts send.
type SizeError struct{ Size uint64 }

func (e *SizeError) Error() string { return fmt.Sprintf("message of %d bytes is too large", e.Size) }

// boundedCodec reads and writes the format of jsonrpc2.VarintObjectCodec. It rejects a message that
// claims to be too large or does not end in time. The library itself accepts any size: one message
// could take all memory, or hold its connection forever.
type boundedCodec struct {
	conn  net.Conn
	count func(reason string)
}

// ReadObject reads one message.
func (c boundedCodec) ReadObject(r *bufio.Reader, v any) error {
	if _, err := r.Peek(1); err != nil {
		return err
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(messageTimeout))
	defer func() { _ = c.conn.SetReadDeadline(time.Time{}) }()
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if size > maxMessage {
		c.count("size")
		return &SizeError{Size: size}
	}
	var b bytes.Buffer
	// The buffer grows with what arrives, not with the size that the peer claims.
	if _, err := io.CopyN(&b, r, int64(size)); err != nil {
		c.count("broken")
		return err
	}
	if err := decodeObject(b.Bytes(), v); err != nil {
		c.count("broken")
		return err
	}
	return nil
}

// WriteObject writes one message.
func (c boundedCodec) WriteObject(w io.Writer, v any) error {
	b, err := encodeObject(v)
	if err != nil {
		return err
	}
	_, err = w.Write(append(binary.AppendUvarint(make([]byte, 0, binary.MaxVarintLen64+len(b)), uint64(len(b))), b...))
	return err
}

// encodeObject encodes one message of the library. Its types return checked text, which json.Marshal
// would check and copy again.
func encodeObject(v any) ([]byte, error) {
	if m, ok := v.(json.Marshaler); ok {
		return m.MarshalJSON()
	}
	return json.Marshal(v)
}

// decodeObject decodes one message of the library. Its types check the text themselves, which
// json.Unmarshal would do twice more.
func decodeObject(b []byte, v any) error {
	if u, ok := v.(json.Unmarshaler); ok {
		return u.UnmarshalJSON(b)
	}
	return json.Unmarshal(b, v)
}

type senderKey struct{}

// Sender returns the name of the host in the certificate of the connection that a message came
// on. It returns false without TLS.
func Sender(ctx context.Context) (string, bool) {
	name, ok := ctx.Value(senderKey{}).(string)
	return name, ok
}

func withSender(ctx context.Context, conn net.Conn) context.Context {
	known, ok := conn.(interface{ Peer() string })
	if !ok {
		return ctx
	}
	return context.WithValue(ctx, senderKey{}, known.Peer())
}
