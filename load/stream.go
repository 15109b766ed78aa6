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
	doneMark   = []byte("[DONE]")
)

// readStream reads a stream of server-sent events to its end.
func readStream(body io.Reader, sent time.Time) answer {
	var a answer
	whole := false
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		if bytes.Equal(data, doneMark) {
			whole = true
			break
		}
		var chunk api.ChatResponse
		if err := json.Unmarshal(data, &chunk); err != nil {
			break
		}
		if a.firstToken == 0 && len(chunk.Choices) > 0 {
			a.firstToken = time.Since(sent)
		}
		if chunk.Usage != nil {
			a.usage = *chunk.Usage
		}
	}
	a.whole = time.Since(sent)
	a.broken = !whole || a.firstToken == 0
	return a
}
