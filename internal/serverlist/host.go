package serverlist

import (
	"net/netip"
	"strings"
)

const maxLabelLength = 63 // bytes, as in the domain name system

// canonicalName returns a name in lower case and without the root's dot.
func canonicalName(name string) string { return strings.TrimSuffix(strings.ToLower(name), ".") }

// canonicalHost returns the one spelling by which a host is compared and dialled, and whether the text is a host name or an IP address.
func canonicalHost(text string) (host string, ok bool) {
	host = canonicalName(text)
	if bare, bracketed := strings.CutPrefix(host, "["); bracketed {
		host = strings.TrimSuffix(bare, "]")
	}
	if ip, err := netip.ParseAddr(host); err == nil {
		return ip.Unmap().String(), ip.Zone() == ""
	}
	return host, isHostName(host)
}

// isHostName tells whether a text in lower case is a host name. One of digits and dots alone, such as 10.0.0.256, is a mistyped address.
func isHostName(host string) bool {
	if host == "" || len(host) > maxNameLength || strings.Trim(host, "0123456789.") == "" {
		return false
	}
	for label := range strings.SplitSeq(host, ".") {
		if !isLabel(label) {
			return false
		}
	}
	return true
}

func isLabel(label string) bool {
	if label == "" || len(label) > maxLabelLength || label[0] == '-' || label[len(label)-1] == '-' {
		return false
	}
	return strings.Trim(label, "abcdefghijklmnopqrstuvwxyz0123456789-_") == ""
}
