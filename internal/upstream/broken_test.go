package upstream

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// brokenAnswers are bytes that are no whole answer in HTTP/1.x.
var brokenAnswers = map[string]string{
	"status 000":                         "HTTP/1.1 000 OK\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n",
	"status 000, with body":              "HTTP/1.1 000 OK\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nno",
	"status 099":                         "HTTP/1.1 099 OK\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n",
	"status with sign":                   "HTTP/1.1 +99 OK\r\nX-Id: r1\r\nContent-Length: 0\r\n\r\n",
	"status 600":                         "HTTP/1.1 600 OK\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nno",
	"status 999":                         "HTTP/1.1 999 OK\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nno",
	"status of two digits":               "HTTP/1.1 20 OK\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nno",
	"status of four digits":              "HTTP/1.1 2000 OK\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nno",
	"status no number":                   "HTTP/1.1 2x0 OK\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nno",
	"protocol not asked for":             "HTTP/1.1 101 Switching Protocols\r\nX-Id: r1\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
	"control byte in reason":             "HTTP/1.1 200 O\x01K\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nno",
	"carriage return in reason":          "HTTP/1.1 200 O\rK\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nno",
	"version 2":                          "HTTP/2.0 200 OK\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nno",
	"version 0":                          "HTTP/0.9 200 OK\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nno",
	"version in small letters":           "http/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nno",
	"space in name":                      "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX Seal: 1\r\nContent-Length: 2\r\n\r\nno",
	"space after name":                   "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal : 1\r\nContent-Length: 2\r\n\r\nno",
	"space after name of length":         "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length : 2\r\n\r\nnonono" + closeAfter,
	"space after name of coding":         "HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding : chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n" + closeAfter,
	"space in name of informational one": "HTTP/1.1 103 Early Hints\r\nX Link: 1\r\n\r\n",
	"tab in name":                        "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX\tSeal: 1\r\nContent-Length: 2\r\n\r\nno",
	"control byte in name":               "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-\x01Seal: 1\r\nContent-Length: 2\r\n\r\nno",
	"delete in name":                     "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal\x7f: 1\r\nContent-Length: 2\r\n\r\nno",
	"carriage return in name":            "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-\rSeal: 1\r\nContent-Length: 2\r\n\r\nno",
	"name not in ASCII":                  "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-S\xe9al: 1\r\nContent-Length: 2\r\n\r\nno",
	"separator in name":                  "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX(Seal): 1\r\nContent-Length: 2\r\n\r\nno",
	"no name":                            "HTTP/1.1 200 OK\r\nX-Id: r1\r\n: 1\r\nContent-Length: 2\r\n\r\nno",
	"space for a name":                   "HTTP/1.1 200 OK\r\n : 1\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nno",
	"no colon":                           "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal\r\nContent-Length: 2\r\n\r\nno",
	"control byte in value":              "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: a\x01b\r\nContent-Length: 2\r\n\r\nno",
	"carriage return in value":           "HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Seal: a\rb\r\nContent-Length: 2\r\n\r\nno",
	"head cut":                           "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Len" + closeAfter,
	"head without its empty line":        "HTTP/1.1 200 OK\r\nX-Id: r1\r\n" + closeAfter,
	"two lengths":                        "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nno",
	"list of lengths":                    "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 2, 3\r\n\r\nno",
	"length below zero":                  "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: -2\r\n\r\nno",
	"length with sign":                   "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: +2\r\n\r\nno",
	"length no number":                   "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 0x2\r\n\r\nno",
	"empty length":                       "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length:\r\n\r\nno" + closeAfter,
	"unknown coding":                     "HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: gzip\r\n\r\nno" + closeAfter,
	"coding in HTTP/1.0":                 "HTTP/1.0 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n" + closeAfter,
	"coding and length in HTTP/1.0":      "HTTP/1.0 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\nContent-Length: 12\r\n\r\n2\r\nno\r\n0\r\n\r\n" + closeAfter,
	"body cut":                           "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 9\r\n\r\nno" + closeAfter,
	"chunk cut":                          "HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nno" + closeAfter,
	"no last chunk":                      "HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n" + closeAfter,
	"last chunk cut":                     "HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n" + closeAfter,
	"chunk longer than its length":       "HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nno\r\n0\r\n\r\n",
	"length of chunk no number":          "HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\nx\r\nno\r\n0\r\n\r\n",
	"length of chunk below zero":         "HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n-2\r\nno\r\n0\r\n\r\n",
	"length of chunk too large":          "HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n10000000000000002\r\nno\r\n0\r\n\r\n",
	"space in name of trailer":           "HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\nX Sum: 1\r\n\r\n",
	"control byte in name of trailer":    "HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\nX-\x01Sum: 1\r\n\r\n",
	"body of informational one":          "HTTP/1.1 102 Processing\r\nContent-Length: 2\r\n\r\nno",
	"empty line":                         "\r\n",
	"not HTTP":                           "SSH-2.0-x\r\n\r\n",
}

// Guards against a broken answer that passes for one: that of the server, or what follows it on the connection.
func TestBrokenAnswerIsError(t *testing.T) {
	for name, broken := range brokenAnswers {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			if !strings.HasSuffix(broken, closeAfter) {
				broken += response("r1", "ok")
			}
			body, err := startBackend(t, broken).do(newClient(), "r1")
			c.Assert(err, qt.IsNotNil, qt.Commentf("answered with %q", body))
			c.Assert(errors.Is(err, ErrNotSent), qt.IsFalse)
		})
	}
}

// Guards against refusing sound answers that only look odd.
func TestOddAnswerIsRead(t *testing.T) {
	for name, odd := range map[string]string{
		"no reason":                   "HTTP/1.1 200 \r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nok",
		"no reason and no space":      "HTTP/1.1 200\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nok",
		"long reason":                 "HTTP/1.1 200 all is well: \t(\xe9)\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nok",
		"status 299":                  "HTTP/1.1 299 Odd\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nok",
		"status 599":                  "HTTP/1.1 599 Odd\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nok",
		"version 1.0":                 "HTTP/1.0 200 OK\r\nX-Id: r1\r\n\r\nok" + closeAfter,
		"version 1.0 kept open":       "HTTP/1.0 200 OK\r\nX-Id: r1\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nok",
		"version 1.0 with long head":  "HTTP/1.0 200 OK\r\nX-Id: r1\r\nX-Long: " + strings.Repeat("x", 2*readBufferSize) + "\r\nContent-Length: 2\r\n\r\nok",
		"version 1.0, coding in body": "HTTP/1.0 200 OK\r\nX-Id: r1\r\nContent-Length: 32\r\n\r\nTransfer-Encoding: chunked\r\n\r\nok",
		"lines without CR":            "HTTP/1.1 200 OK\nX-Id: r1\nContent-Length: 2\n\nok",
		"folded value":                "HTTP/1.1 200 OK\r\nX-Odd: a,\r\n b : c\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nok",
		"every sign in name":          "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09az: 1\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nok",
		"small letters in name":       "HTTP/1.1 200 OK\r\nx-id: r1\r\ncontent-length: 2\r\n\r\nok",
		"empty value":                 "HTTP/1.1 200 OK\r\nX-Odd:\r\nX-Id:r1\r\nContent-Length:2\r\n\r\nok",
		"spaces around value":         "HTTP/1.1 200 OK\r\nX-Id: \t r1 \t \r\nContent-Length:   2  \r\n\r\nok",
		"value not in ASCII":          "HTTP/1.1 200 OK\r\nX-Odd: \xe9\xff\r\nX-Id: r1\r\nContent-Length: 2\r\n\r\nok",
		"same length twice":           "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok",
		"length with zeros":           "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 0002\r\n\r\nok",
		"informational ones before":   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 199 Odd\r\n\r\n" + response("r1", "ok"),
		"one byte a chunk":            "HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: Chunked\r\n\r\n1;x=y\r\no\r\n0001\r\nk\r\n000\r\n\r\n",
		"trailers":                    "HTTP/1.1 200 OK\r\nX-Id: r1\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n2\r\nok\r\n0\r\nX-Sum: 1\r\nX-Odd: 2\r\n\r\n",
		"ends with its connection":    "HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\nok" + closeAfter,
		"event stream as a body":      "HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Type: text/event-stream\r\n\r\nok" + closeAfter,
	} {
		t.Run(name, func(t *testing.T) {
			body, err := startBackend(t, odd).do(newClient(), "r1")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, strings.HasSuffix(body, "ok"), qt.IsTrue, qt.Commentf("answered with %q", body))
		})
	}
}
