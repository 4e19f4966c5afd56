// Package unruly plays clients that don't keep to the limits of HTTP servers: heads and bodies that are too long
// or have no end, and requests that are never completed. It writes raw bytes, since no HTTP client sends these.
package unruly

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"

	"github.com/sourcegraph/conc"
)

// Request is the request whose form a client breaks.
type Request struct {
	Method string
	URI    string
	// Header holds the header fields, each with its line end.
	Header string
	// ListField is the name of a header field with a list of names that the server remembers: "name:1,name:1".
	ListField string
	// MaxBodyBytes and MaxHeaderBytes are the limits of the server.
	MaxBodyBytes   int
	MaxHeaderBytes int
}

// head returns the request line and the header fields without the empty line at their end.
func (r Request) head() string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\n%s", r.Method, r.URI, r.Header)
}

// Kind is a way in which clients misbehave. Its function writes what the client sends, and returns when that is
// sent or the connection has failed. The client then keeps the connection open.
type Kind struct {
	Name string
	send func(w io.Writer, r Request)
	// awaitsAnswers clients have sent all only when the server has closed the connection.
	awaitsAnswers bool
	// readsNothing clients keep the connection open without reading.
	readsNothing bool
}

// excess is how many times a limit clients send that don't keep to it.
const excess = 8

// Kinds of clients.
var (
	// BodyAnnouncedTooLong announces more than any memory has, and sends a part of it.
	BodyAnnouncedTooLong = Kind{Name: "body announced too long", send: func(w io.Writer, r Request) {
		announce(w, r, 1<<40)
		_ = repeat(w, filler, excess*r.MaxBodyBytes)
	}}
	// BodyTooLong sends more than the limit in chunks.
	BodyTooLong = Kind{Name: "body too long", send: func(w io.Writer, r Request) {
		beginChunks(w, r)
		_ = repeat(w, chunk(16<<10), excess*r.MaxBodyBytes)
	}}
	// BodyTooLongInSmallChunks sends more than the limit in chunks of one byte.
	BodyTooLongInSmallChunks = Kind{Name: "body too long in small chunks", send: func(w io.Writer, r Request) {
		beginChunks(w, r)
		_ = repeat(w, chunk(1), excess*r.MaxBodyBytes)
	}}
	// BodyAnnouncedTooLongStops announces as much and sends nearly as much as the limit.
	BodyAnnouncedTooLongStops = Kind{Name: "body announced too long that stops", send: func(w io.Writer, r Request) {
		announce(w, r, 1<<40)
		_ = repeat(w, filler, r.MaxBodyBytes-1)
	}}
	// BodyAnnounced announces a body as long as the limit and sends none of it.
	BodyAnnounced = Kind{Name: "body announced and not sent", send: func(w io.Writer, r Request) { announce(w, r, r.MaxBodyBytes) }}
	// BodyNearlyComplete announces a body as long as the limit and keeps back its last byte.
	BodyNearlyComplete = Kind{Name: "body without its last byte", send: func(w io.Writer, r Request) {
		announce(w, r, r.MaxBodyBytes)
		_ = repeat(w, filler, r.MaxBodyBytes-1)
	}}
	// LargeChunksNearlyComplete sends a body as long as the limit in one chunk and keeps back its last byte.
	LargeChunksNearlyComplete = Kind{Name: "one large chunk without its last byte", send: func(w io.Writer, r Request) {
		beginChunks(w, r)
		write(w, fmt.Sprintf("%x\r\n", r.MaxBodyBytes))
		_ = repeat(w, filler, r.MaxBodyBytes-1)
	}}
	// SmallChunksNearlyComplete sends a body nearly as long as the limit in chunks of a few bytes, and no last chunk.
	SmallChunksNearlyComplete = Kind{Name: "small chunks without the last one", send: func(w io.Writer, r Request) {
		beginChunks(w, r)
		small := chunk(smallChunkBytes)
		_ = repeat(w, small, (r.MaxBodyBytes/smallChunkBytes-1)*len(small))
	}}
	// HeadTooLong sends one header field that is longer than a head may be.
	HeadTooLong = Kind{Name: "head too long", send: func(w io.Writer, r Request) {
		write(w, r.head()+"Long: ")
		_ = repeat(w, filler, excess*r.MaxHeaderBytes)
	}}
	// HeadWithoutEnd sends header fields without an end.
	HeadWithoutEnd = Kind{Name: "head without end", send: func(w io.Writer, r Request) {
		write(w, r.head())
		_ = repeat(w, "a: b\r\n", excess*excess*r.MaxHeaderBytes)
	}}
	// HeadOfManyFields fills the head with the shortest fields of different names and doesn't complete it.
	HeadOfManyFields = Kind{Name: "head of many fields", send: func(w io.Writer, r Request) {
		write(w, r.head()+manyFields(r.MaxHeaderBytes-len(r.head())))
	}}
	// BodyAfterManyFields completes such a head and sends no body.
	BodyAfterManyFields = Kind{Name: "no body after a head of many fields", send: func(w io.Writer, r Request) {
		r.Header += manyFields(r.MaxHeaderBytes - len(r.head()))
		announce(w, r, r.MaxBodyBytes)
	}}
	// EmptyLines sends empty lines before a request that never comes.
	EmptyLines = Kind{Name: "empty lines without end", send: func(w io.Writer, r Request) { _ = repeat(w, "\r\n", excess*r.MaxBodyBytes) }}
	// EmptyLinesAfterRequest sends a whole request first.
	EmptyLinesAfterRequest = Kind{Name: "empty lines after a request", send: func(w io.Writer, r Request) {
		announce(w, r, 0)
		_ = repeat(w, "\r\n", excess*r.MaxBodyBytes)
	}}
	// Silent sends nothing.
	Silent = Kind{Name: "connection without a request", send: func(io.Writer, Request) {}}
	// HeadUnfinished sends a part of a head.
	HeadUnfinished = Kind{Name: "unfinished head", send: func(w io.Writer, r Request) { write(w, r.head()) }}
	// Idle sends a whole request and keeps the connection.
	Idle = Kind{Name: "idle connection", send: func(w io.Writer, r Request) { announce(w, r, 0) }}
	// BodyUnread sends a whole request with a body as long as the limit and doesn't read the answer.
	BodyUnread = Kind{Name: "whole body without reading", send: func(w io.Writer, r Request) {
		announce(w, r, r.MaxBodyBytes)
		_ = repeat(w, filler, r.MaxBodyBytes)
	}, readsNothing: true}
	// MessageWithoutEnd announces a message of a gigabyte between routers and sends a part of it.
	MessageWithoutEnd = Kind{Name: "message without end", send: func(w io.Writer, r Request) {
		write(w, "\xfc\x3f\xff\xff\xff")
		_ = repeat(w, filler, excess*r.MaxBodyBytes)
	}}
	// BodyNested sends a whole body that only opens brackets.
	BodyNested = Kind{Name: "nested body", send: func(w io.Writer, r Request) {
		announce(w, r, r.MaxBodyBytes)
		_ = repeat(w, "[", r.MaxBodyBytes)
	}}
	// BodyOfManyValues sends a whole body of the shortest values.
	BodyOfManyValues = Kind{Name: "body of many values", send: func(w io.Writer, r Request) {
		const head, tail = `{"stop":[`, `1]}`
		announce(w, r, len(head)+r.MaxBodyBytes/4*2+len(tail))
		write(w, head)
		_ = repeat(w, "1,", r.MaxBodyBytes/4*2)
		write(w, tail)
	}}
	// LongNames sends whole requests, each with another long name for the server to remember.
	LongNames = Kind{Name: "long names", send: func(w io.Writer, r Request) {
		long := strings.Repeat("x", r.MaxHeaderBytes*longNameShare/100)
		for i := range namesPerClient {
			if i == namesPerClient-1 {
				r.Header += "Connection: close\r\n"
			}
			write(w, fmt.Sprintf("%s%s: %x-%s:1,b:1\r\nContent-Length: 0\r\n\r\n", r.head(), r.ListField, rand.Uint64(), long))
		}
	}, awaitsAnswers: true}
	// Unread sends requests and reads none of the answers.
	Unread = Kind{Name: "requests without reading", send: func(w io.Writer, r Request) {
		_ = repeat(w, r.head()+"Content-Length: 0\r\n\r\n", excess*r.MaxBodyBytes)
	}, readsNothing: true}
)

// Kinds lists all kinds of HTTP clients.
var Kinds = []Kind{BodyAnnouncedTooLong, BodyTooLong, BodyTooLongInSmallChunks, BodyAnnouncedTooLongStops, BodyAnnounced, BodyNearlyComplete, LargeChunksNearlyComplete,
	SmallChunksNearlyComplete, HeadTooLong, HeadWithoutEnd, HeadOfManyFields, BodyAfterManyFields, EmptyLines, EmptyLinesAfterRequest,
	Silent, HeadUnfinished, Idle, BodyUnread, Unread}

const (
	// longNameShare is the length of a long name in percent of the limit on heads.
	longNameShare = 80
	// namesPerClient is the number of long names that a client sends.
	namesPerClient = 64
	// smallChunkBytes is the size of small chunks, whose framing takes more than their data.
	smallChunkBytes = 4
	// sendTimeout ends a client's sending if the server doesn't read.
	sendTimeout = 10 * time.Second
)

// filler is data of bodies and header fields.
var filler = strings.Repeat("x", 16<<10)

func announce(w io.Writer, r Request, length int) {
	write(w, fmt.Sprintf("%sContent-Length: %d\r\n\r\n", r.head(), length))
}

func beginChunks(w io.Writer, r Request) {
	write(w, r.head()+"Transfer-Encoding: chunked\r\n\r\n")
}

// chunk returns one chunk of a body with n bytes of data.
func chunk(n int) string {
	return fmt.Sprintf("%x\r\n%s\r\n", n, filler[:n])
}

// manyFields returns short header fields of different names, n bytes at most.
func manyFields(n int) string {
	var fields strings.Builder
	for i := 0; fields.Len() < n-16; i++ {
		_, _ = fmt.Fprintf(&fields, "%x:\r\n", i) // a builder never fails
	}
	return fields.String()
}

func write(w io.Writer, text string) {
	_, _ = io.WriteString(w, text) // a server may close the connection
}

// repeat writes n bytes that repeat text.
func repeat(w io.Writer, text string, n int) error {
	block := strings.Repeat(text, max(1, len(filler)/len(text)))
	for n > 0 {
		written, err := io.WriteString(w, block[:min(n, len(block))])
		if n -= written; err != nil {
			return err
		}
	}
	return nil
}

// Crowd is a number of clients.
type Crowd struct {
	// KeepTrying lets clients whose connection was closed come back until Leave. It must not change after Join.
	KeepTrying bool

	ctx     context.Context
	leave   context.CancelFunc
	clients conc.WaitGroup
	settled conc.WaitGroup
}

// NewCrowd returns a crowd without clients.
func NewCrowd() *Crowd {
	c := &Crowd{}
	c.ctx, c.leave = context.WithCancel(context.Background())
	return c
}

// Join connects clients of a kind to an address and lets them send a request each.
func (c *Crowd) Join(address string, kind Kind, r Request, clients int) {
	for range clients {
		settled := make(chan struct{})
		c.clients.Go(func() { c.play(address, kind, r, settled) })
		c.settled.Go(func() { <-settled })
	}
}

// Settle waits until each client has sent what it sends, or was cut off, for the first time.
func (c *Crowd) Settle() {
	c.settled.Wait()
}

// Leave closes all connections.
func (c *Crowd) Leave() {
	c.leave()
	c.clients.Wait()
}

// returnPause keeps clients that come back from taking all of the machine.
const returnPause = 50 * time.Millisecond

// play plays one client and closes settled when it has sent all for the first time.
func (c *Crowd) play(address string, kind Kind, r Request, settled chan<- struct{}) {
	c.connect(address, kind, r, func() { close(settled) })
	for c.KeepTrying && c.ctx.Err() == nil {
		time.Sleep(returnPause)
		c.connect(address, kind, r, func() {})
	}
}

// connect plays a client over one connection until either side closes it, and calls sent when the client has
// sent all.
func (c *Crowd) connect(address string, kind Kind, r Request, sent func()) {
	dialer := net.Dialer{Timeout: sendTimeout}
	conn, err := dialer.DialContext(c.ctx, "tcp", address)
	if err != nil {
		sent()
		return
	}
	defer context.AfterFunc(c.ctx, func() { _ = conn.Close() })() // ends what the client waits for
	defer func() { _ = conn.Close() }()                           // the server may have closed it
	_ = conn.SetWriteDeadline(time.Now().Add(sendTimeout))        // fails only if the connection has ended
	kind.send(conn, r)
	if kind.awaitsAnswers {
		_ = conn.SetReadDeadline(time.Now().Add(sendTimeout)) // as above
		_, _ = io.Copy(io.Discard, conn)                      // until the server closes the connection
	}
	sent()
	if kind.readsNothing {
		<-c.ctx.Done()
		return
	}
	_, _ = io.Copy(io.Discard, conn) // until either side closes the connection
}
