package io.mulberrylift.daemon.peer;

import java.util.Optional;
import java.util.random.RandomGenerator;

import io.netty.handler.ssl.SslContext;

/**
 * What all outgoing connections share.
 *
 * @param transport what all connections to other instances share
 * @param settings the settings
 * @param metrics counts what is sent
 * @param random source of jitter, guarded by this record
 * @param tls the TLS settings, empty for plain TCP
 */
record PeerLinkContext(PeerTransportContext transport, PeerLinkSettings settings, PeerMetrics metrics,
		RandomGenerator random, Optional<SslContext> tls) {

	/**
	 * Returns a random part of a time.
	 * @param boundMillis the time in milliseconds, positive
	 * @return a number from 0 up to the bound without it
	 */
	synchronized long jitterMillis(long boundMillis) {
		return this.random.nextLong(boundMillis);
	}

}
