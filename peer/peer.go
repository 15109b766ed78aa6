// Package peer carries net/rpc calls between the processes of the system and
// adds what that library lacks: a deadline on each call, a limit on message
// size, mutual TLS, replacement of failed connections, byte counters, and
// closing at shutdown.
package peer
