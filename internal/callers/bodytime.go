package callers

import (
	"net/http"
	"time"
)

// bodyTime returns how long the body of a request may take to arrive; 0: no limit.
func bodyTime(p Protocol, router Router, req *http.Request) time.Duration {
	if router.BodyTime == nil || p.TimeLeft == nil {
		return 0
	}
	return router.BodyTime(p.TimeLeft(req.Header))
}

// readBodyInTime is readBody with a limit on the time that the body takes; 0: no limit. Beyond it the error is
// os.ErrDeadlineExceeded, and the connection can't be read any more.
func readBodyInTime(w http.ResponseWriter, req *http.Request, limit int64, maxTime time.Duration) ([]byte, error) {
	if maxTime <= 0 {
		return readBody(req, limit)
	}
	connection := http.NewResponseController(w)
	_ = connection.SetReadDeadline(time.Now().Add(maxTime)) // fails only without a socket, in tests
	body, err := readBody(req, limit)
	if err == nil {
		_ = connection.SetReadDeadline(time.Time{}) // as above
	}
	return body, err
}
