package memory

// fieldMemory is the memory of a field of a head besides its text: its entry in the map of fields, and
// the list of its values.
const fieldMemory = 256

// Head measures the head of a message of HTTP while it arrives. The zero value is ready to use.
type Head struct {
	text       int64 // bytes
	fields     int64
	lineLength int  // of the current line
	ended      bool // the empty line after the head has arrived
}

// Next begins to measure another head, in addition to those before.
func (h *Head) Next() { h.ended, h.lineLength = false, 0 }

// Count counts bytes of the head. Bytes of a body may follow, which are not counted.
func (h *Head) Count(p []byte) {
	for _, b := range p {
		if h.ended {
			return
		}
		h.text++
		switch b {
		case '\n':
			h.ended = h.lineLength == 0
			h.fields++
			h.lineLength = 0
		case '\r':
		default:
			h.lineLength++
		}
	}
}

// Memory returns the bytes of memory that the head takes while it is decoded.
func (h *Head) Memory() int64 { return 2*h.text + fieldMemory*h.fields }
