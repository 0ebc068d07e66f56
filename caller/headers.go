package caller

import (
	"net"
	"net/http"
	"strings"
)

const (
	routerPrefix      = "Tarragon"
	headerRequestID   = "X-Request-Id"
	headerTraceparent = "Traceparent"
	headerForwarded   = "X-Forwarded-For"
)

// isHopByHop reports whether a header applies to a single connection only (RFC 9110, section
// 7.6.1). The name is in canonical form.
func isHopByHop(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Http2-Settings":
		return true
	default:
		return false
	}
}

// isRouterHeader reports whether a header is reserved for the router. The name is in canonical
// form. Servers that map headers to variables do not distinguish Tarragon_Token from
// Tarragon-Token, so both are reserved.
func isRouterHeader(name string) bool {
	rest, found := strings.CutPrefix(name, routerPrefix)
	return found && rest != "" && (rest[0] == '-' || rest[0] == '_')
}

// dropConnectionHeaders removes the headers that are listed in the Connection header.
func dropConnectionHeaders(h http.Header) {
	for _, line := range h["Connection"] {
		for line != "" {
			var name string
			name, line, _ = strings.Cut(line, ",")
			if name = strings.TrimSpace(name); name != "" {
				h.Del(name)
			}
		}
	}
}

// dropUnforwarded removes hop-by-hop headers and the router's own headers. A caller that could
// send the router's own headers could pose as a router and set its own token, term or outcome.
// "TE: trailers" is put back, because trailers are forwarded.
func dropUnforwarded(h http.Header) {
	trailers := hasToken(h["Te"], "trailers")
	for name := range h {
		if isHopByHop(name) || isRouterHeader(name) {
			delete(h, name)
		}
	}
	// net/http sends 100 Continue when the body is first read, which is when the request is
	// sent to the target.
	delete(h, "Expect")
	if trailers {
		h["Te"] = []string{"trailers"}
	}
}

func hasToken(lines []string, token string) bool {
	for _, line := range lines {
		for line != "" {
			var item string
			item, line, _ = strings.Cut(line, ",")
			item, _, _ = strings.Cut(item, ";")
			if strings.EqualFold(strings.TrimSpace(item), token) {
				return true
			}
		}
	}
	return false
}

// wantsTunnel reports whether the request asks to turn the connection into a tunnel or another
// protocol. "Upgrade: h2c" may be ignored, and is: the answer is sent in HTTP/1.1.
func wantsTunnel(r *http.Request) bool {
	if r.Method == http.MethodConnect {
		return true
	}
	upgrade := r.Header["Upgrade"]
	return len(upgrade) > 0 && hasToken(r.Header["Connection"], "upgrade") && !hasToken(upgrade, "h2c")
}

// appendForwarded adds the caller's address to X-Forwarded-For. It stores the new value in
// *value, which backs the header's slice.
func appendForwarded(h http.Header, remote string, value *[1]string) {
	ip, _, err := net.SplitHostPort(remote)
	if err != nil {
		return
	}
	if prior := h[headerForwarded]; len(prior) > 0 {
		ip = strings.Join(prior, ", ") + ", " + ip
	}
	value[0] = ip
	h[headerForwarded] = value[:]
}
