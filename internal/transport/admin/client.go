package admin

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
)

// Call makes one call of another process; requestLine is METHOD /PATH. It reports whether the answer is a yes, and its line. An error
// says that no answer was read: the call may have been made. Controllers and operators' commands call it.
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
	first, err := r.ReadString('\n')
	if err != nil {
		return false, "", err
	}
	parts := strings.SplitN(first, " ", 3)
	if len(parts) < 2 {
		return false, "", fmt.Errorf("no answer that can be read: %q", first)
	}
	for line := first; strings.TrimSpace(line) != "" && err == nil; {
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
