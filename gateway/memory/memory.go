// Package memory bounds the memory that a process holds for bytes which others send it: bodies of
// requests, and heads, bodies and events of answers. Each of these has a limit of its own, but many
// at once would exceed the memory of a small host all the same.
//
// # Usage
//
//	b := memory.NewBudget(64 << 20)
//	r := b.NewReservation("server i-1", 16<<10)
//	defer r.Release()
//	body, err := memory.ReadAll(response.Body, response.ContentLength, 1<<20, r)
//	switch {
//	case errors.Is(err, memory.ErrTooLong): // more than 1 MB
//	case errors.Is(err, memory.ErrNoRoom):  // others hold the memory
//	}
//
// No owner can use up the room of the others: it may hold as much as is still free, so one alone gets
// half of the budget, two get a third each, and so on.
package memory

import (
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// Errors of ReadAll.
var (
	ErrNoRoom  = errors.New("memory: no room for the bytes")
	ErrTooLong = errors.New("memory: longer than the limit")
)

// Budget is a number of bytes that owners share. It is safe for concurrent use. A nil Budget has no
// limit.
type Budget struct {
	total  int64
	mutex  sync.Mutex
	used   int64
	owners map[string]int64 // bytes by owner; only those of more than 0
}

// NewBudget returns a budget of a number of bytes.
func NewBudget(total int64) *Budget { return &Budget{total: total, owners: map[string]int64{}} }

// Used returns the bytes that are reserved.
func (b *Budget) Used() int64 {
	if b == nil {
		return 0
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.used
}

// MaxPerOwner returns the most bytes that one owner can hold while there is no other.
func (b *Budget) MaxPerOwner() int64 {
	if b == nil {
		return 1 << 62
	}
	return b.total / 2
}

// Take reserves bytes that belong to no owner, and reports whether there was room for them.
func (b *Budget) Take(n int64) bool {
	if b == nil {
		return true
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.used+n > b.total {
		return false
	}
	b.used += n
	return true
}

// Return gives back bytes that were taken.
func (b *Budget) Return(n int64) {
	if b == nil {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.used -= n
}

// grow reserves bytes for an owner, and reports whether there was room for them.
func (b *Budget) grow(owner string, n int64) bool {
	if b == nil {
		return true
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	free := b.total - b.used - n
	if b.owners[owner]+n > free {
		return false
	}
	b.used += n
	b.owners[owner] += n
	return true
}

// release gives back bytes of an owner.
func (b *Budget) release(owner string, n int64) {
	if b == nil || n == 0 {
		return
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.used -= n
	if b.owners[owner] -= n; b.owners[owner] == 0 {
		delete(b.owners, owner)
	}
}

// Reservation is what one request holds of a budget. It is used by one goroutine at a time. A nil
// Reservation has no limit.
type Reservation struct {
	budget  *Budget
	owner   string
	covered int64 // bytes that are accounted for elsewhere
	wanted  int64
	held    int64
}

// NewReservation returns an empty reservation of an owner. Its first bytes, up to covered, are not
// reserved: they are accounted for elsewhere.
func (b *Budget) NewReservation(owner string, covered int64) *Reservation {
	return &Reservation{budget: b, owner: owner, covered: covered}
}

// GrowTo reserves as much as is missing to a number of bytes, and reports whether there was room.
func (r *Reservation) GrowTo(n int64) bool {
	if r == nil || n <= r.wanted {
		return true
	}
	missing := max(n-r.covered, 0) - r.held
	if missing > 0 && !r.budget.grow(r.owner, missing) {
		return false
	}
	r.wanted = n
	r.held += max(missing, 0)
	return true
}

// Release gives everything back. The reservation can be used again.
func (r *Reservation) Release() {
	if r == nil {
		return
	}
	r.budget.release(r.owner, r.held)
	r.wanted, r.held = 0, 0
}

// minBuffer is the first size of a buffer for content of unknown length.
const minBuffer = 512

// ReadAll reads to the end. size is the length of the content in bytes if it is known, and else
// negative. At most limit bytes are read and one more, and no more than the reservation has room for. With
// an error, the bytes that were read are returned too; after ErrNoRoom and ErrTooLong the rest can still
// be read.
func ReadAll(r io.Reader, size, limit int64, reservation *Reservation) ([]byte, error) {
	capacity := int64(minBuffer)
	if size >= 0 {
		capacity = max(size, 1)
	}
	capacity = min(capacity, limit)
	if !reservation.GrowTo(capacity) {
		return nil, ErrNoRoom
	}
	buffer := make([]byte, 0, capacity+1) // the last byte shows whether the content goes on
	for {
		n, err := r.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case int64(len(buffer)) > limit:
			return buffer, ErrTooLong
		case err == io.EOF:
			return buffer, nil
		case err != nil:
			return buffer, err
		}
		if len(buffer) < cap(buffer) {
			continue
		}
		if buffer, err = extend(buffer, limit, reservation); err != nil {
			return buffer, err
		}
	}
}

// extend enlarges a full buffer.
func extend(buffer []byte, limit int64, reservation *Reservation) ([]byte, error) {
	capacity := min(2*int64(cap(buffer)-1), limit)
	if !reservation.GrowTo(capacity) {
		return buffer, ErrNoRoom
	}
	return append(make([]byte, 0, capacity+1), buffer...), nil
}
