package io.mulberrylift.gateway.http;

import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Separates the end-to-end headers of a message from its hop-by-hop headers, which apply
 * to a single connection.
 */
public final class HopByHopHeaders {

	private static final Set<String> HOP_BY_HOP = Set.of("connection", "keep-alive", "proxy-connection",
			"transfer-encoding", "te", "trailer", "upgrade", "content-length", "expect", "http2-settings");

	private HopByHopHeaders() {
	}

	/**
	 * Copies the end-to-end headers. Content-Length is left out, since the sender sets it
	 * anew.
	 * @param headers headers as received
	 * @param kept names in lower case that are copied even if the Connection header lists
	 * them
	 * @return a new set of headers
	 */
	public static HttpHeaders copyEndToEnd(HttpHeaders headers, Set<String> kept) {
		Set<String> listed = new HashSet<>();
		for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
			for (String name : value.split(",")) {
				listed.add(name.trim().toLowerCase(Locale.ROOT));
			}
		}
		listed.removeAll(kept);
		HttpHeaders copy = new DefaultHttpHeaders(false);
		for (Map.Entry<String, String> header : headers) {
			String name = header.getKey().toLowerCase(Locale.ROOT);
			if (!HOP_BY_HOP.contains(name) && !listed.contains(name)) {
				copy.add(header.getKey(), header.getValue());
			}
		}
		return copy;
	}

}
