package crankfakecrowd

import (
	"bytes"
	"fmt"
	"strings"
)

func (c *Crowd) requestLine() string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s", c.Path, c.Host, c.Header)
}

// head returns the head of a request whose body has a length, or is chunked if it is
// below 0.
func (c *Crowd) head(length int) []byte {
	if length < 0 {
		return []byte(c.requestLine() + "Transfer-Encoding: chunked\r\n\r\n")
	}
	return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n", c.requestLine(), length)
}

// fields returns header fields of at least size bytes in all: short ones, of which a
// parsed head takes many times its size, or long ones.
func fields(short bool, size int) []byte {
	var b bytes.Buffer
	value := ""
	if !short {
		value = strings.Repeat("v", 1000)
	}
	for n := 0; b.Len() < size; n++ {
		fmt.Fprintf(&b, "X%x:%s\r\n", n, value)
	}
	return b.Bytes()
}

func emptyLines(size int) []byte { return bytes.Repeat([]byte("\r\n"), size/2) }

// body returns a body of exactly size bytes: JSON with one long string, or with as many
// elements as fit in, which takes many times its size when it is decoded.
func body(n, size int) []byte {
	if n%2 == 0 {
		const frame = `{"spec":""}`
		return []byte(`{"spec":"` + strings.Repeat("x", size-len(frame)) + `"}`)
	}
	const begin, end = `{"steps":[{}`, `]}`
	var b bytes.Buffer
	b.WriteString(begin)
	for b.Len()+len(",{}")+len(end) <= size {
		b.WriteString(",{}")
	}
	b.WriteString(strings.Repeat(" ", size-len(end)-b.Len()))
	b.WriteString(end)
	return b.Bytes()
}

// chunks encodes data in chunks of a size, without the end of the body.
func chunks(data []byte, size int) []byte {
	var b bytes.Buffer
	for len(data) > 0 {
		n := min(size, len(data))
		fmt.Fprintf(&b, "%x\r\n", n)
		b.Write(data[:n])
		b.WriteString("\r\n")
		data = data[n:]
	}
	return b.Bytes()
}
