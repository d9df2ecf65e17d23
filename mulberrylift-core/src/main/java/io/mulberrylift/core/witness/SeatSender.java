package io.mulberrylift.core.witness;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import io.mulberrylift.core.effect.Effects;
import io.mulberrylift.core.model.InstanceDescription;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.ZoneId;
import io.mulberrylift.core.peer.WitnessMessage;

/**
 * Sends messages to the instances that may hold a witness seat.
 *
 * <p>
 * Not thread-safe; owned by the reducer. A message may go to several instances of a zone,
 * because a receiver without authority grants nothing.
 * </p>
 */
final class SeatSender {

	private static final int MAX_RECEIVERS = 3;

	private static final long[] REPEAT_DELAYS_MILLIS = { 200, 1_000 };

	private static final int MAX_REPEATS = 20_000;

	private final WitnessContext context;

	private final List<Deque<PendingRepeat>> repeats = new ArrayList<>();

	private int waitingRepeats;

	SeatSender(WitnessContext context) {
		this.context = context;
		for (int i = 0; i < REPEAT_DELAYS_MILLIS.length; i++) {
			this.repeats.add(new ArrayDeque<>());
		}
	}

	/**
	 * Sends a message to a seat.
	 * @param seat the seat
	 * @param message the message
	 * @param toBackups whether to send it to the next instances in order too
	 * @param effects receives the messages to send
	 */
	void send(ZoneId seat, WitnessMessage message, boolean toBackups, Effects effects) {
		for (InstanceId receiver : receivers(seat, toBackups)) {
			this.context.send(receiver, message, effects);
		}
	}

	private List<InstanceId> receivers(ZoneId seat, boolean toBackups) {
		List<InstanceDescription> order = this.context.order(seat);
		if (toBackups) {
			return order.stream().limit(MAX_RECEIVERS).map(InstanceDescription::id).toList();
		}
		return order.stream()
			.filter((instance) -> !instance.leaving() && !this.context.peers().isLeaving(instance.id()))
			.findFirst()
			.or(() -> order.stream().findFirst())
			.map(InstanceDescription::id)
			.stream()
			.toList();
	}

	/**
	 * Returns whether a seat is unlikely to answer.
	 * @param seat the seat
	 * @return true if no instance of its zone is listed or the first in order has missed
	 * several heartbeats
	 */
	boolean isUnreachable(ZoneId seat) {
		return receivers(seat, false).stream().allMatch(this.context.peers()::isSuspect);
	}

	/**
	 * Sends an unacknowledged message to a seat now, and a few times later to the next
	 * instances in order too.
	 * @param seat the seat
	 * @param message the message
	 * @param effects receives the messages to send
	 */
	void sendRepeatedly(ZoneId seat, WitnessMessage message, Effects effects) {
		send(seat, message, false, effects);
		for (int i = 0; i < REPEAT_DELAYS_MILLIS.length && this.waitingRepeats < MAX_REPEATS; i++) {
			long at = this.context.now().monotonicMillis() + REPEAT_DELAYS_MILLIS[i];
			this.repeats.get(i).add(new PendingRepeat(at, seat, message));
			this.waitingRepeats++;
		}
	}

	void tick(Effects effects) {
		long now = this.context.now().monotonicMillis();
		for (Deque<PendingRepeat> queue : this.repeats) {
			while (!queue.isEmpty() && queue.peek().atMonotonicMillis() <= now) {
				PendingRepeat repeat = queue.poll();
				this.waitingRepeats--;
				send(repeat.seat(), repeat.message(), true, effects);
			}
		}
	}

	private record PendingRepeat(long atMonotonicMillis, ZoneId seat, WitnessMessage message) {
	}

}
