package io.mulberrylift.daemon.peer;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;

import io.netty.util.NetUtil;

/**
 * Reads addresses of instances.
 */
final class PeerAddress {

	private static final int MAX_PORT = 65_535;

	private PeerAddress() {
	}

	/**
	 * Reads an address without asking a name service.
	 * @param address host as an IP number, and port
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
