package io.mulberrylift.gateway.caller;

import java.util.ArrayList;
import java.util.List;

import io.netty.channel.socket.nio.NioServerSocketChannel;

/**
 * Listening socket that can be closed without a reset of the connections that wait to be
 * accepted.
 *
 * <p>
 * Not thread-safe; confined to the event loop once it listens.
 * </p>
 */
final class ListeningChannel extends NioServerSocketChannel {

	/**
	 * Accepts all connections that wait and closes the socket at once. Has no effect
	 * while the channel is registered with a selector, which would delay the closing: it
	 * is to be deregistered before, and called again after the event loop has selected.
	 * @return {@code true} if the socket is closed
	 */
	boolean acceptAllAndClose() {
		if (!isOpen()) {
			return true;
		}
		if (javaChannel().isRegistered()) {
			return false;
		}
		List<Object> accepted = new ArrayList<>();
		do {
			accepted.forEach(pipeline()::fireChannelRead);
			accepted.clear();
			acceptAll(accepted);
		}
		while (!accepted.isEmpty());
		close();
		return true;
	}

	private void acceptAll(List<Object> accepted) {
		try {
			while (doReadMessages(accepted) > 0) {
				// The connection was added to the list.
			}
		}
		catch (Exception ex) {
			pipeline().fireExceptionCaught(ex);
		}
	}

}
