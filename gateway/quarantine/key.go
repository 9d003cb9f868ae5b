package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// Key names what a request asks, and of which account, so that each try of it has the same
// wherever it comes. It has 128 bits of SHA-256: with fewer, or with a hash that is quick to
// collide, one account could find a request that bars another account's.
type Key [16]byte

// Request is what tells one question from another. What differs between tries of the same
// one is left out: the id of the try, the time that it has left, how its body is framed, the
// event after which a stream goes on, and whatever a gateway adds.
type Request struct {
	Account string
	Method  string
	Host    string
	Target  string // path and query as the caller wrote them
	Body    []byte
}

// KeyOf returns the key of a request.
func KeyOf(r Request) Key {
	h := sha256.New()
	var size [8]byte
	for _, field := range [...]string{r.Account, r.Method, r.Host, r.Target} {
		// Lengths keep the end of one field from being taken for the beginning of the next.
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		h.Write(size[:])
		h.Write([]byte(field))
	}
	h.Write(r.Body)
	var k Key
	copy(k[:], h.Sum(nil))
	return k
}

// String returns the key in hexadecimal digits.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// ParseKey reads what [Key.String] returns.
func ParseKey(text string) (k Key, err error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(k) {
		return Key{}, errors.Newf("quarantine: %q is no key of a request: it has 32 hexadecimal digits", text)
	}
	return Key(raw), nil
}
