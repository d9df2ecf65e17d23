package io.mulberrylift.gateway.http;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Objects;
import java.util.regex.Pattern;

/**
 * An IPv4 address with a port.
 *
 * @param host the address in dotted-decimal notation
 * @param port the port, 1 to 65535
 */
public record NetAddress(String host, int port) {

	/** Without leading zeros, which some systems read as octal. */
	private static final String OCTET = "(25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)";

	private static final Pattern IPV4 = Pattern.compile(OCTET + "(\\." + OCTET + "){3}");

	/**
	 * Creates the address.
	 * @throws IllegalArgumentException if the host is not an IPv4 address or the port is
	 * out of range
	 */
	public NetAddress {
		Objects.requireNonNull(host, "host");
		if (!IPV4.matcher(host).matches()) {
			throw new IllegalArgumentException("\"" + host + "\" is not an IPv4 address; write it as 10.1.0.40");
		}
		if (port < 1 || port > 65535) {
			throw new IllegalArgumentException("Port " + port + " is out of range; use 1 to 65535");
		}
	}

	/**
	 * Parses an address of the form HOST:PORT.
	 * @param text the text
	 * @return the address
	 * @throws IllegalArgumentException if the text has another form
	 */
	public static NetAddress parse(String text) {
		int colon = text.lastIndexOf(':');
		if (colon < 0) {
			throw new IllegalArgumentException("\"" + text + "\" has no port; write it as 10.1.0.40:8080");
		}
		try {
			return new NetAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
		}
		catch (NumberFormatException ex) {
			throw new IllegalArgumentException("\"" + text + "\" has no numeric port; write it as 10.1.0.40:8080", ex);
		}
	}

	/**
	 * Returns the address for use with sockets, without a name lookup.
	 * @return the socket address
	 */
	public InetSocketAddress socketAddress() {
		try {
			return new InetSocketAddress(InetAddress.getByName(this.host), this.port);
		}
		catch (UnknownHostException ex) {
			throw new IllegalStateException("IPv4 address was resolved as a host name: " + this.host, ex);
		}
	}

	/**
	 * Returns the local address of outgoing connections from this host.
	 * @return the host with a port that the operating system chooses
	 */
	public InetSocketAddress ephemeralSocketAddress() {
		return new InetSocketAddress(socketAddress().getAddress(), 0);
	}

	// Generated methods of records link method handles at each start; these do not.

	@Override
	public boolean equals(Object other) {
		return other instanceof NetAddress address && this.port == address.port && this.host.equals(address.host);
	}

	@Override
	public int hashCode() {
		return 31 * this.host.hashCode() + this.port;
	}

	@Override
	public String toString() {
		return this.host + ":" + this.port;
	}

}
