package io.mulberrylift.core.promise;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;

import io.mulberrylift.core.model.ZoneId;
import io.mulberrylift.core.peer.PeerMessage;

/**
 * Delays, loses, doubles and reorders messages, and separates zones.
 */
final class VirtualNetwork {

	private final VirtualTime time;

	private final SplittableRandom random;

	private final Set<ZoneId> cutZones = new HashSet<>();

	private double lossShare;

	private double doubleShare;

	private long maxDelayMillis = 4;

	private UnaryOperator<PeerMessage> tampering = UnaryOperator.identity();

	VirtualNetwork(VirtualTime time, SplittableRandom random) {
		this.time = time;
		this.random = random;
	}

	void cut(ZoneId zone) {
		this.cutZones.add(zone);
	}

	void heal(ZoneId zone) {
		this.cutZones.remove(zone);
	}

	void quality(double newLossShare, double newDoubleShare, long newMaxDelayMillis) {
		this.lossShare = newLossShare;
		this.doubleShare = newDoubleShare;
		this.maxDelayMillis = newMaxDelayMillis;
	}

	/**
	 * Changes or drops messages on their way, to switch a mechanism off.
	 * @param newTampering returns the changed message, null for none
	 */
	void tamper(UnaryOperator<PeerMessage> newTampering) {
		this.tampering = newTampering;
	}

	PeerMessage tampered(PeerMessage message) {
		return this.tampering.apply(message);
	}

	boolean connected(ZoneId first, ZoneId second) {
		return first.equals(second) || !(this.cutZones.contains(first) || this.cutZones.contains(second));
	}

	void send(ZoneId from, ZoneId to, Runnable delivery) {
		boolean lost = this.random.nextDouble() < this.lossShare || !connected(from, to);
		int copies = (this.random.nextDouble() < this.doubleShare) ? 2 : 1;
		for (int i = 0; i < copies && !lost; i++) {
			this.time.after(1 + this.random.nextLong(this.maxDelayMillis), () -> {
				if (connected(from, to)) {
					delivery.run();
				}
			});
		}
	}

}
