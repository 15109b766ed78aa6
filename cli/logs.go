package cli

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"
)

// maxLogLineBytes is the longest log line that is read. A longer one is an error.
const maxLogLineBytes = 1 << 20

// readLogs calls each with the JSON object of every line of the log files at paths, or
// of standard input if there are none. Text before the object is skipped, as are lines
// without one.
func readLogs(paths []string, each func(line string)) error {
	if len(paths) == 0 {
		return readLog(os.Stdin, each)
	}
	for _, path := range paths {
		if err := readLogFile(path, each); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
	}
	return nil
}

func readLogFile(path string, each func(line string)) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	err = readLog(f, each)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

func readLog(r io.Reader, each func(line string)) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLogLineBytes)
	for lines.Scan() {
		if begin := strings.IndexByte(lines.Text(), '{'); begin >= 0 {
			each(lines.Text()[begin:])
		}
	}
	return lines.Err()
}
