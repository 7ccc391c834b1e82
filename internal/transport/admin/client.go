package admin

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
)

// Call sends one request to the admin API of another process; requestLine is METHOD /PATH. It returns whether the status of the response
// is 2xx, and the body. After an error, which means that no response was read, the request may have been executed. Controllers and
// operators' commands use it.
func Call(ctx context.Context, addr, requestLine string) (ok bool, message string, err error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return false, "", err
	}
	defer conn.Close()
	if deadline, ok := ctx.Deadline(); ok {
		conn.SetDeadline(deadline)
	}
	if _, err := fmt.Fprintf(conn, "%s HTTP/1.1\r\nContent-Length: 0\r\n\r\n", requestLine); err != nil {
		return false, "", err
	}
	r := bufio.NewReader(io.LimitReader(conn, maxHeadBytes))
	statusLine, err := r.ReadString('\n')
	if err != nil {
		return false, "", err
	}
	parts := strings.SplitN(statusLine, " ", 3)
	if len(parts) < 2 {
		return false, "", fmt.Errorf("malformed status line: %q", statusLine)
	}
	for line := statusLine; strings.TrimSpace(line) != "" && err == nil; {
		line, err = r.ReadString('\n')
	}
	if err != nil {
		return false, "", err
	}
	body, err := io.ReadAll(r)
	if err != nil && len(body) == 0 {
		return false, "", err
	}
	return strings.HasPrefix(parts[1], "2"), strings.TrimSpace(string(body)), nil
}
