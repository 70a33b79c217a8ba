package direct

import (
	"errors"
	"net"
	"slices"
	"sync"
)

const (
	// maxPeerMessage is the maximum size of a message of a peer's call, in bytes. Calls have two numbers, and the
	// descriptions of their types a few hundred bytes. encoding/gob allocates up to ten megabytes by the size that a
	// message announces.
	maxPeerMessage = 4 << 10
	// inlineSize is the largest size that encoding/gob writes as a single byte.
	inlineSize = 0x7f
	// maxSizeBytes is the number of bytes of the largest size.
	maxSizeBytes = 8
)

var errPeerMessageTooLong = errors.New("message of a peer too long")

// peerConn is a connection from a peer whose messages are limited to maxPeerMessage bytes. Only one goroutine reads.
type peerConn struct {
	net.Conn
	// left is the number of bytes left of the current message. sizeLeft is the number of bytes left of its size, and size
	// what has arrived of that.
	left, size uint64
	sizeLeft   int
}

// Read implements net.Conn.
func (c *peerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.scan(p[:n]) {
		return 0, errPeerMessageTooLong
	}
	return n, err
}

// scan follows the sizes of messages in p as encoding/gob encodes them. It returns false if one is over the limit.
func (c *peerConn) scan(p []byte) bool {
	for len(p) > 0 {
		if c.left > 0 {
			n := min(c.left, uint64(len(p)))
			c.left -= n
			p = p[n:]
			continue
		}
		b := p[0]
		p = p[1:]
		switch {
		case c.sizeLeft > 0:
			c.size = c.size<<8 | uint64(b)
			c.sizeLeft--
		case b <= inlineSize:
			c.size = uint64(b)
		default:
			// The byte is the negated number of bytes that follow.
			c.size, c.sizeLeft = 0, -int(int8(b))
			if c.sizeLeft > maxSizeBytes {
				return false
			}
		}
		if c.sizeLeft == 0 {
			if c.size > maxPeerMessage {
				return false
			}
			c.left = c.size
		}
	}
	return true
}

// peerConns holds the connections from peers that are being served, in the order of their arrival. It is safe for
// concurrent use.
type peerConns struct {
	mu   sync.Mutex
	list []net.Conn
}

// add adds a connection. If there are as many as the limit then, it closes the oldest: a peer's call takes milliseconds,
// so an older connection is not used by a peer that works.
func (s *peerConns) add(c net.Conn, limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.list) >= limit {
		_ = s.list[0].Close()
	}
	s.list = append(s.list, c)
}

func (s *peerConns) remove(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = slices.DeleteFunc(s.list, func(o net.Conn) bool { return o == c })
}
