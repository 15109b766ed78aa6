package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"dandelionrelay/api"
)

var (
	dataPrefix = []byte("data: ")
	doneMarker = []byte("[DONE]")
)

// readStream reads a stream of server-sent events to its end. The result is incomplete
// if the stream has no token or no final [DONE]. Latencies are measured from sent.
func readStream(body io.Reader, sent time.Time) requestResult {
	var result requestResult
	complete := false
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		if bytes.Equal(data, doneMarker) {
			complete = true
			break
		}
		var chunk api.ChatResponse
		if err := json.Unmarshal(data, &chunk); err != nil {
			break
		}
		if result.firstToken == 0 && len(chunk.Choices) > 0 {
			result.firstToken = time.Since(sent)
		}
		if chunk.Usage != nil {
			result.usage = *chunk.Usage
		}
	}
	result.latency = time.Since(sent)
	result.incomplete = !complete || result.firstToken == 0
	return result
}
