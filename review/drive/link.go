//go:build review

package main

import (
	"io"
	"net"
	"sync"
)

// link forwards the connections of one entry to the store. While it is cut, nothing passes:
// open connections get no more bytes and new ones are not answered.
type link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

func newLink(target string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, target: target, conns: make(map[net.Conn]bool)}
	go k.accept()
	return k, nil
}

func (k *link) addr() string { return k.listener.Addr().String() }

func (k *link) accept() {
	for {
		c, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.serve(c)
	}
}

// keep records an open connection. It returns false if the link is cut.
func (k *link) keep(c net.Conn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.conns[c] = true
	return !k.cut
}

func (k *link) forget(c net.Conn) {
	k.mu.Lock()
	delete(k.conns, c)
	k.mu.Unlock()
	_ = c.Close()
}

func (k *link) isCut() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.cut
}

func (k *link) serve(c net.Conn) {
	defer k.forget(c)
	if !k.keep(c) {
		// The caller gives up by its own time-out; what it sent is lost.
		_, _ = io.Copy(io.Discard, c)
		return
	}
	s, err := net.Dial("tcp", k.target)
	if err != nil {
		return
	}
	defer k.forget(s)
	k.keep(s)
	done := make(chan struct{}, 2)
	for _, way := range [][2]net.Conn{{c, s}, {s, c}} {
		go func() {
			defer func() { done <- struct{}{} }()
			b := make([]byte, 32<<10)
			for {
				n, err := way[0].Read(b)
				if err != nil {
					return
				}
				if k.isCut() {
					continue // lost
				}
				if _, err := way[1].Write(b[:n]); err != nil {
					return
				}
			}
		}()
	}
	<-done
}

// setCut cuts the link, or heals it. Connections of the time of the cut never get an answer;
// they are closed as it heals.
func (k *link) setCut(cut bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.cut = cut
	if cut {
		return
	}
	for c := range k.conns {
		_ = c.Close()
	}
}
