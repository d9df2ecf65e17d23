package io.mulberrylift.daemon.peer;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;

import io.netty.util.NetUtil;

/**
 * Parses the addresses of instances.
 */
final class PeerAddress {

	private static final int MAX_PORT = 65_535;

	private PeerAddress() {
	}

	/**
	 * Parses an address without a DNS lookup.
	 * @param address host as an IP address, and port, separated by a colon
	 * @return the address, empty when it is malformed
	 */
	static Optional<InetSocketAddress> parse(String address) {
		int colon = address.lastIndexOf(':');
		if (colon < 0) {
			return Optional.empty();
		}
		byte[] host = NetUtil.createByteArrayFromIpAddressString(address.substring(0, colon));
		try {
			int port = Integer.parseInt(address.substring(colon + 1));
			if (host == null || port < 1 || port > MAX_PORT) {
				return Optional.empty();
			}
			return Optional.of(new InetSocketAddress(InetAddress.getByAddress(host), port));
		}
		catch (NumberFormatException | UnknownHostException ex) {
			return Optional.empty();
		}
	}

}
