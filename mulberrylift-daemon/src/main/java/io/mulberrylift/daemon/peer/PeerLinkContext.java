package io.mulberrylift.daemon.peer;

import java.util.Optional;
import java.util.random.RandomGenerator;

import io.netty.handler.ssl.SslContext;

/**
 * Context shared by all outgoing connections.
 *
 * @param transport context shared by all connections to other instances
 * @param settings the settings
 * @param metrics metrics of the sent and dropped messages
 * @param random source of jitter, guarded by this record
 * @param tls the TLS settings, empty for plain TCP
 */
record PeerLinkContext(PeerTransportContext transport, PeerLinkSettings settings, PeerMetrics metrics,
		RandomGenerator random, Optional<SslContext> tls) {

	/**
	 * Returns a random delay for the backoff jitter.
	 * @param boundMillis upper bound in milliseconds, positive
	 * @return a delay in milliseconds from 0 (inclusive) to the bound (exclusive)
	 */
	synchronized long jitterMillis(long boundMillis) {
		return this.random.nextLong(boundMillis);
	}

}
