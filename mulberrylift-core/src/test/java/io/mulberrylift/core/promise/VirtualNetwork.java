package io.mulberrylift.core.promise;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;

import io.mulberrylift.core.model.ZoneId;
import io.mulberrylift.core.peer.PeerMessage;

/**
 * Simulates a network that delays, loses, duplicates and reorders messages, and that can
 * isolate zones.
 */
final class VirtualNetwork {

	private final VirtualTime time;

	private final SplittableRandom random;

	private final Set<ZoneId> isolatedZones = new HashSet<>();

	private double lossShare;

	private double duplicateShare;

	private long maxDelayMillis = 4;

	private UnaryOperator<PeerMessage> interceptor = UnaryOperator.identity();

	VirtualNetwork(VirtualTime time, SplittableRandom random) {
		this.time = time;
		this.random = random;
	}

	void isolate(ZoneId zone) {
		this.isolatedZones.add(zone);
	}

	void reconnect(ZoneId zone) {
		this.isolatedZones.remove(zone);
	}

	void setConditions(double newLossShare, double newDuplicateShare, long newMaxDelayMillis) {
		this.lossShare = newLossShare;
		this.duplicateShare = newDuplicateShare;
		this.maxDelayMillis = newMaxDelayMillis;
	}

	/**
	 * Sets a function that changes or drops messages in transit, to disable a mechanism.
	 * @param newInterceptor returns the message to deliver, null to drop it
	 */
	void setInterceptor(UnaryOperator<PeerMessage> newInterceptor) {
		this.interceptor = newInterceptor;
	}

	PeerMessage intercept(PeerMessage message) {
		return this.interceptor.apply(message);
	}

	boolean connected(ZoneId first, ZoneId second) {
		return first.equals(second) || !(this.isolatedZones.contains(first) || this.isolatedZones.contains(second));
	}

	void send(ZoneId from, ZoneId to, Runnable delivery) {
		boolean lost = this.random.nextDouble() < this.lossShare || !connected(from, to);
		int copies = (this.random.nextDouble() < this.duplicateShare) ? 2 : 1;
		for (int i = 0; i < copies && !lost; i++) {
			this.time.schedule(1 + this.random.nextLong(this.maxDelayMillis), () -> {
				if (connected(from, to)) {
					delivery.run();
				}
			});
		}
	}

}
