package inbound

import (
	"net"
	"time"
)

// CountMessages makes the connection account for messages, between BeginMessage and EndMessage, instead of requests.
// c may be nil, as in the following methods: then nothing is accounted for.
func (c *Conn) CountMessages() {
	if c != nil {
		c.inHandler.Store(true)
	}
}

// BeginMessage takes memory for a message that is being received. It returns false if there is none.
func (c *Conn) BeginMessage(bytes int64) bool {
	if c == nil {
		return true
	}
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	now := time.Now()
	if c.phase == idle {
		c.pool.enter(c, receiving, now)
	}
	return c.reserveOrEnd(bytes, now)
}

// EndMessage gives the memory of a message back.
func (c *Conn) EndMessage() {
	if c != nil {
		c.becameIdle()
	}
}

// Keep exempts the connection from being ended for others.
func (c *Conn) Keep() {
	c.requestReceived()
}

// NetConn returns the connection that was accepted.
func (c *Conn) NetConn() net.Conn {
	return c.Conn
}
