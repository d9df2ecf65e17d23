package io.mulberrylift.core.isolation;

import java.util.ArrayDeque;
import java.util.Deque;

import io.mulberrylift.core.effect.Effects;
import io.mulberrylift.core.effect.PeerEffect;
import io.mulberrylift.core.fleet.FleetState;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.peer.SuspectNotice;
import io.mulberrylift.core.time.Moment;

/**
 * Sends notices of lost endpoints to all listed instances and resends each notice after
 * 0.5 s and 2 s.
 *
 * <p>
 * Not thread-safe; owned by the reducer.
 * </p>
 */
final class SuspectGossip {

	private static final long[] RESEND_DELAYS_MILLIS = { 500, 2_000 };

	private static final int MAX_PENDING_RESENDS = 2_000;

	private final FleetState fleet;

	private final Deque<PendingResend> pendingResends = new ArrayDeque<>();

	SuspectGossip(FleetState fleet) {
		this.fleet = fleet;
	}

	void broadcast(SuspectNotice notice, Moment now, Effects effects) {
		sendToAll(notice, effects);
		for (long delayMillis : RESEND_DELAYS_MILLIS) {
			if (this.pendingResends.size() < MAX_PENDING_RESENDS) {
				this.pendingResends.add(new PendingResend(now.monotonicMillis() + delayMillis, notice));
			}
		}
	}

	private void sendToAll(SuspectNotice notice, Effects effects) {
		this.fleet.list().instances().forEach((instance) -> send(instance.id(), notice, effects));
	}

	void send(InstanceId to, SuspectNotice notice, Effects effects) {
		if (!to.equals(this.fleet.self().id())) {
			effects.add(new PeerEffect.Send(to, notice));
		}
	}

	void tick(Moment now, Effects effects) {
		for (int i = this.pendingResends.size(); i > 0; i--) {
			PendingResend resend = this.pendingResends.poll();
			if (resend.atMonotonicMillis() <= now.monotonicMillis()) {
				sendToAll(resend.notice(), effects);
			}
			else {
				this.pendingResends.add(resend);
			}
		}
	}

	private record PendingResend(long atMonotonicMillis, SuspectNotice notice) {
	}

}
