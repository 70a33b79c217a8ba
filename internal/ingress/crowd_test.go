package ingress_test

import (
	"fmt"
	"io"
	"net"
	"os/exec"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// crowdSize is the number of callers of a kind, and crowdTime how long they are there. A caller whose connection is
	// closed opens the next one after crowdPause.
	crowdSize  = 200
	crowdTime  = 2500 * time.Millisecond
	crowdPause = 50 * time.Millisecond
	// sendPause is the pause between two blocks of a caller that sends without an end.
	sendPause = 20 * time.Millisecond
	blockSize = 16 << 10
	// unusedConns exceeds the connections that the settings allow.
	unusedConns = 1500
	// smallWindow is the receive buffer of callers that do not read.
	smallWindow = 4 << 10
)

// misbehaviour is a kind of caller.
type misbehaviour struct {
	name string
	// port is the router's port, 8783 if 0, and network tcp if empty.
	port    int
	network string
	// callers is their number, crowdSize if 0.
	callers int
	// begin is sent once, and repeat afterwards again and again if it is not empty.
	begin, repeat string
}

func head(method, path, more string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nLaburnumring-Attempt-Id: crowd\r\n%s", method, path, more)
}

func chunks(size, total int) string {
	var b strings.Builder
	for n := 0; n+size <= total; n += size {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", size, strings.Repeat("x", size))
	}
	return b.String()
}

// misbehaviours returns the kinds. The first eight are those that the operators' trial showed.
func misbehaviours() []misbehaviour {
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", bodyBytes)
	chunked := "Transfer-Encoding: chunked\r\n\r\n"
	headers := strings.Repeat("X-Junk: "+strings.Repeat("x", 1000)+"\r\n", blockSize/1000)
	line := strings.Repeat("x", blockSize)
	// A gob message that announces 256 MB, as net/rpc decodes it.
	message := "\xfc\x10\x00\x00\x00" + line
	list := []misbehaviour{
		{name: "body stops short of its end", begin: head("POST", "/book/x", length) + strings.Repeat("x", bodyBytes-1)},
		{name: "body of one byte", begin: head("POST", "/book/x", length) + "x"},
		{name: "chunks stop short of the end", begin: head("POST", "/book/x", chunked) + chunks(blockSize, bodyBytes)},
		{name: "chunks of one byte", begin: head("POST", "/book/x", chunked), repeat: chunks(1, blockSize/6)},
		{name: "endless headers", begin: head("GET", "/book/x", ""), repeat: headers},
		{name: "endless header line", begin: head("GET", "/book/x", "X-Junk: "), repeat: line},
		{name: "endless empty lines", repeat: strings.Repeat("\r\n", blockSize/2)},
		{name: "head stops short of its end", begin: head("GET", "/book/x", "") + headers[:12<<10]},
		{name: "answers not read", begin: head("GET", "/large/x", "\r\n")},
		{name: "pipelined requests", begin: "", repeat: strings.Repeat(head("GET", "/large/x", "\r\n"), 20)},
		{name: "pipelined bodies", repeat: strings.Repeat(head("POST", "/book/x", "Content-Length: 30000\r\n\r\n")+strings.Repeat("x", 30000), 10)},
		{name: "unused connections", callers: unusedConns},
		{name: "unused connections to the readiness check", port: 8780, callers: unusedConns},
		{name: "endless headers to the readiness check", port: 8780, begin: head("GET", "/readyz", ""), repeat: headers},
		{name: "endless headers to the metrics", port: 9464, begin: head("GET", "/metrics", ""), repeat: headers},
		{name: "metrics not read", port: 9464, repeat: strings.Repeat(head("GET", "/metrics", "\r\n"), 20)},
		{name: "endless message to the control port", port: 7400, begin: message, repeat: line},
		{name: "endless datagrams", port: 7400, network: "udp", callers: 20, repeat: strings.Repeat("x", 60000)},
	}
	mix := misbehaviour{name: "all at the same time"}
	return append(list, mix)
}

// crowd is callers that misbehave.
type crowd struct {
	p    *process
	stop chan struct{}
	wg   sync.WaitGroup
}

// add adds callers of a kind.
func (c *crowd) add(m misbehaviour, callers int) {
	if m.port == 0 {
		m.port = 8783
	}
	if m.network == "" {
		m.network = "tcp"
	}
	for range callers {
		c.wg.Go(func() {
			for c.wait(0) {
				c.call(m)
				if !c.wait(crowdPause) {
					return
				}
			}
		})
	}
}

// wait reports whether the crowd is still there after a pause.
func (c *crowd) wait(pause time.Duration) bool {
	select {
	case <-c.stop:
		return false
	case <-time.After(pause):
		return true
	}
}

// call uses one connection until the router closes it or the crowd goes. It reads nothing but the end of the connection.
func (c *crowd) call(m misbehaviour) {
	conn, err := net.DialTimeout(m.network, fmt.Sprintf("%s:%d", c.p.address, m.port), time.Second)
	if err != nil {
		return
	}
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-c.stop:
		case <-done:
		}
		_ = conn.Close()
	}()
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(smallWindow)
	}
	if _, err := io.WriteString(conn, m.begin); err != nil {
		return
	}
	for m.repeat != "" && c.wait(sendPause) {
		if _, err := io.WriteString(conn, m.repeat); err != nil {
			return
		}
	}
	if strings.Contains(m.name, "not read") {
		<-c.stop
		return
	}
	_, _ = io.Copy(io.Discard, conn)
}

// TestCallersWithinMemory guards against callers that end a router by using up its memory or its descriptors. Crowd and
// bounds are those of the commit that added the test; the bounds are the limits of the settings file.
func TestCallersWithinMemory(t *testing.T) {
	if _, err := exec.LookPath("go"); err != nil {
		t.Skip("needs the go command")
	}
	program := buildProgram(t)
	for _, m := range misbehaviours() {
		t.Run(m.name, func(t *testing.T) {
			p := startProcess(t, program, "long_error")
			rest := p.memory("VmRSS")
			c := &crowd{p: p, stop: make(chan struct{})}
			switch {
			case m.name == "all at the same time":
				for _, each := range misbehaviours() {
					c.add(each, max(each.callers, crowdSize)/10)
				}
			case m.callers > 0:
				c.add(m, m.callers)
			default:
				c.add(m, crowdSize)
			}
			files := 0
			for end := time.Now().Add(crowdTime); p.alive() && time.Now().Before(end); time.Sleep(openFilesInterval) {
				files = max(files, p.openFiles())
			}
			close(c.stop)
			c.wg.Wait()
			if err := p.answered(answerTime); err != nil {
				t.Errorf("an ordinary request is not answered: %v", err)
			}
			if !p.alive() {
				t.Fatal("the router has ended")
			}
			peak := p.memory("VmHWM")
			t.Logf("memory: %d KB before, %d KB at most; %d descriptors at most", rest>>10, peak>>10, files)
			if peak > memoryMB<<20 {
				t.Errorf("%d KB of memory were in use, at most %d are allowed", peak>>10, memoryMB<<10)
			}
			if files > maxFiles {
				t.Errorf("%d descriptors were open, at most %d are allowed", files, maxFiles)
			}
		})
	}
}
