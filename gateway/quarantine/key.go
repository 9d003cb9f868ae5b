package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/cockroachdb/errors"
)

// Key identifies a request by its content and its client account, so that every attempt has the
// same key on every gateway. It holds 128 bits of SHA-256: with fewer bits, or with a hash that
// is not collision-resistant, one account could craft a request that gets another account's
// request quarantined.
type Key [16]byte

// Request holds the fields that identify a request. Whatever differs between attempts of the
// same request is left out: the attempt's ID, its remaining time, the framing of its body, the
// event from which a stream resumes, and whatever a gateway adds.
type Request struct {
	Account string
	Method  string
	Host    string
	Target  string // path and query as sent by the caller
	Body    []byte
}

// KeyOf returns the key of a request.
func KeyOf(r Request) Key {
	h := sha256.New()
	var size [8]byte
	for _, field := range [...]string{r.Account, r.Method, r.Host, r.Target} {
		// Length prefixes keep the boundaries between fields unambiguous.
		binary.BigEndian.PutUint64(size[:], uint64(len(field)))
		h.Write(size[:])
		h.Write([]byte(field))
	}
	h.Write(r.Body)
	var k Key
	copy(k[:], h.Sum(nil))
	return k
}

// String returns the key as 32 hexadecimal digits.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// MarshalText implements encoding.TextMarshaler.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (k *Key) UnmarshalText(text []byte) (err error) {
	*k, err = ParseKey(string(text))
	return err
}

// ParseKey parses the output of [Key.String].
func ParseKey(text string) (k Key, err error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(k) {
		return Key{}, errors.Newf("quarantine: %q is no key of a request: it has 32 hexadecimal digits", text)
	}
	return Key(raw), nil
}
