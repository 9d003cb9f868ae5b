package httpstrict

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// maxStatus is the largest status code (RFC 9110, section 15).
const maxStatus = 599

// CheckStatus returns an error if a response has a status code that no response has. Parsers take any
// three digits, and a client that looks for a final response by a code of 200 or more reads on after 000.
func CheckStatus(code int) error {
	if code < http.StatusContinue || code > maxStatus {
		return errors.Newf("httpstrict: invalid status code %03d", code)
	}
	return nil
}
