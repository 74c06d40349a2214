package wire

import (
	"encoding/binary"
	"errors"

	"umberpaddle/internal/limits"
)

var errMalformed = errors.New("not a whole MessagePack value")

// Check walks a MessagePack value without decoding it. It guards against small
// bodies that announce huge or deeply nested maps: the decoder would make room
// for all of it before it finds nothing there, and the process would end for
// want of memory.
func Check(b []byte) error {
	rest, err := skip(b, 0)
	if err != nil {
		return err
	}
	if len(rest) > 0 {
		return errMalformed
	}
	return nil
}

func skip(b []byte, depth int) ([]byte, error) {
	if len(b) == 0 || depth > limits.MaxDepth {
		return nil, errMalformed
	}
	c := b[0]
	b = b[1:]
	// size reads a length of n bytes.
	size := func(n int) (uint64, error) {
		if len(b) < n {
			return 0, errMalformed
		}
		var buf [8]byte
		copy(buf[8-n:], b[:n])
		b = b[n:]
		return binary.BigEndian.Uint64(buf[:]), nil
	}
	take := func(n uint64) ([]byte, error) {
		if n > uint64(len(b)) {
			return nil, errMalformed
		}
		return b[n:], nil
	}
	var items uint64
	var err error
	switch {
	case c <= 0x7f || c >= 0xe0 || c == 0xc0 || c == 0xc2 || c == 0xc3:
		return b, nil
	case c <= 0x8f:
		items = 2 * uint64(c&0x0f)
	case c <= 0x9f:
		items = uint64(c & 0x0f)
	case c <= 0xbf:
		return take(uint64(c & 0x1f))
	case c >= 0xc4 && c <= 0xc6, c >= 0xd9 && c <= 0xdb: // binary, text
		n, err := size(1 << ((c - 0xc4) % 21))
		if err != nil {
			return nil, err
		}
		return take(n)
	case c == 0xca || c == 0xce || c == 0xd2:
		return take(4)
	case c == 0xcb || c == 0xcf || c == 0xd3:
		return take(8)
	case c == 0xcc || c == 0xd0:
		return take(1)
	case c == 0xcd || c == 0xd1:
		return take(2)
	case c == 0xdc:
		items, err = size(2)
	case c == 0xdd:
		items, err = size(4)
	case c == 0xde:
		items, err = size(2)
		items *= 2
	case c == 0xdf:
		items, err = size(4)
		items *= 2
	default: // extensions are not in the protocol
		return nil, errMalformed
	}
	if err != nil {
		return nil, err
	}
	if items > uint64(len(b)) {
		return nil, errMalformed
	}
	for ; items > 0; items-- {
		if b, err = skip(b, depth+1); err != nil {
			return nil, err
		}
	}
	return b, nil
}
