package bufferpool

import (
	"errors"
	"io"

	"silverpath/internal/policy/admission"
)

// ErrNoMemory is returned by ReadBody if the budget of the process has no room for the body.
var ErrNoMemory = errors.New("no memory for the body at the moment")

// ReadBody reads a body of size bytes. Memory is allocated as the bytes arrive: a client that states a large body and stops holds only
// about twice what it has sent. The first Size bytes are not counted, as every connection may hold that many; for larger
// bodies the reservation grows, and ReadBody returns ErrNoMemory if the budget has no room. It returns io.ErrUnexpectedEOF if the stream ends early.
func ReadBody(r io.Reader, size int, reservation *admission.BodyReservation) ([]byte, error) {
	body := make([]byte, min(size, Size))
	read := 0
	for {
		n, err := io.ReadFull(r, body[read:])
		read += n
		if err != nil {
			if errors.Is(err, io.EOF) && size > 0 {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		if read == size {
			return body, nil
		}
		grown := min(size, 2*len(body))
		if !reservation.Resize(grown) {
			return nil, ErrNoMemory
		}
		next := make([]byte, grown)
		copy(next, body)
		body = next
	}
}
