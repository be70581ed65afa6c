package crankguard

import "time"

// Settings are the operators' limits for callers' connections and requests. A zero
// Connections, PeerConnections or RequestMemoryMiB is derived by Derive.
type Settings struct {
	Connections      int           // of callers
	PeerConnections  int           // of other instances
	ProbeConnections int           // of the readiness probe and of metrics, each
	RequestMemoryMiB int           // for request heads, bodies and requests in progress
	ReservedPercent  int           // of the request memory, for small requests only
	SmallBytes       int           // body of a small request
	HeadBytes        int           // header fields of a request
	EmptyLines       int           // before a request
	HeaderTimeout    time.Duration // for reading a request head
	IdleTimeout      time.Duration // between the requests of a connection
	BodyTimeout      time.Duration // for reading a whole body
	ProgressTimeout  time.Duration // without a byte of a body
	ReceiveBuffer    int           // bytes that the kernel is asked to keep per caller's connection
}

// Resources are what the process has.
type Resources struct {
	MemoryMiB   int
	Descriptors int // 0 if not known
}

// Budget are the bounds of a process.
type Budget struct {
	Connections     int
	PeerConnections int
	Backlog         int   // connections that the kernel keeps until they are accepted
	RequestBytes    int64 // for heads, bodies and requests in progress
	ReservedBytes   int64 // of RequestBytes, for small requests only
	HeapBytes       int64 // soft limit of the Go runtime
}

const (
	// connectionShare of the memory is for connections, requestShare for requests. Jobs
	// take three eighths of it (crankentry), the program and its runtime the rest.
	connectionShare = 4
	requestShare    = 8
	// descriptorShare of the descriptors are for callers, as many for other instances. A
	// leader needs two for each worker.
	descriptorShare = 4
	// connectionBytes is the memory of a connection in the process: goroutine, buffers of
	// net/http, a request without fields.
	connectionBytes = 32 << 10
	// bufferOverhead is what Linux sets aside of a requested receive buffer for its own
	// structures (socket(7), SO_RCVBUF).
	bufferOverhead = 2
	// heapPercent of the memory, less what the kernel may keep for connections, is the soft
	// limit of the Go runtime.
	heapPercent = 80
	// programBytes are the pages of the program and of the runtime that its limit doesn't
	// count. They matter where the memory is small.
	programBytes = 20 << 20

	minConnections   = 32
	maxConnections   = 1 << 16
	minBacklog       = 64
	backlogShare     = 4
	minRequestBytes  = 2 << 20
	minHeapPercent   = 40
	unlimitedDerived = 4096 // peer connections where the descriptors are not known
)

// Derive returns the bounds of a process.
//
// Load pattern: more connections than the process has memory for, each of which makes it
// keep a head, a body or a receive buffer.
func (s Settings) Derive(r Resources) Budget {
	memory := int64(r.MemoryMiB) << 20
	kernelBytes := int64(s.ReceiveBuffer) * bufferOverhead
	b := Budget{
		Connections: s.Connections, PeerConnections: s.PeerConnections,
		RequestBytes: int64(s.RequestMemoryMiB) << 20,
	}
	if b.Connections == 0 {
		b.Connections = int(min(memory/connectionShare/(connectionBytes+kernelBytes), maxConnections))
		if r.Descriptors > 0 {
			b.Connections = min(b.Connections, r.Descriptors/descriptorShare)
		}
		b.Connections = max(b.Connections, minConnections)
	}
	if b.PeerConnections == 0 {
		b.PeerConnections = unlimitedDerived
		if r.Descriptors > 0 {
			b.PeerConnections = max(r.Descriptors/descriptorShare, minConnections)
		}
	}
	if b.RequestBytes == 0 {
		b.RequestBytes = max(memory/requestShare, minRequestBytes)
	}
	b.ReservedBytes = b.RequestBytes / 100 * int64(s.ReservedPercent)
	b.Backlog = max(b.Connections/backlogShare, minBacklog)
	kernel := int64(b.Connections+b.Backlog) * kernelBytes
	b.HeapBytes = max(min(memory/100*heapPercent, memory-programBytes)-kernel, memory/100*minHeapPercent)
	return b
}
