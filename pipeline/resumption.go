package pipeline

import "dandelionrelay/eventstream"

// Resumption says that the caller takes up a stream that broke off in an earlier attempt.
type Resumption struct {
	Attempt string             // ID of the attempt that brought the first event; empty: not known
	Cursor  eventstream.Cursor // position after the last event that the caller has; zero: not known
	Version string             // of the software that began the stream; set by the filter that finds it out
}
