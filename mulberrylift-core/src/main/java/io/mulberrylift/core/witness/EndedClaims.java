package io.mulberrylift.core.witness;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.mulberrylift.core.effect.Effects;
import io.mulberrylift.core.model.ZoneId;
import io.mulberrylift.core.peer.WitnessMessage.ClaimId;
import io.mulberrylift.core.peer.WitnessMessage.KeyId;
import io.mulberrylift.core.peer.WitnessMessage.Release;
import io.mulberrylift.core.peer.WitnessMessage.Settled;
import io.mulberrylift.core.peer.WitnessMessage.Verdict;

/**
 * Tells the seats how this instance's claims ended, again when a seat still believes in
 * one.
 *
 * <p>
 * Not safe for use by several threads; owned by the reducer. The newest ended claims are
 * remembered, a bounded number of each kind.
 * </p>
 */
final class EndedClaims {

	private static final int MAX_ABANDONED = 4_096;

	private static final int MAX_COMPLETED = 128;

	private final SeatSender sender;

	private final Map<ClaimId, KeyId> abandoned = new LinkedHashMap<>();

	private final Map<ClaimId, Settled> completed = new LinkedHashMap<>();

	EndedClaims(SeatSender sender) {
		this.sender = sender;
	}

	void abandon(ClaimId claim, KeyId key, List<ZoneId> seats, Effects effects) {
		remember(this.abandoned, claim, key, MAX_ABANDONED);
		seats.forEach((seat) -> this.sender.sendRepeatedly(seat, new Release(seat, key, claim), effects));
	}

	void complete(Settled settled, Effects effects) {
		remember(this.completed, settled.claim(), settled, MAX_COMPLETED);
		this.sender.sendRepeatedly(settled.seat(), settled, effects);
	}

	/**
	 * Answers a seat that believes in a claim that has ended.
	 * @param reminder the seat's message
	 * @param effects takes the repeated release or settlement
	 */
	void resend(Verdict reminder, Effects effects) {
		ZoneId seat = reminder.seat();
		KeyId key = this.abandoned.get(reminder.claim());
		if (key != null) {
			this.sender.send(seat, new Release(seat, key, reminder.claim()), true, effects);
		}
		Settled settled = this.completed.get(reminder.claim());
		if (settled != null) {
			this.sender.send(seat,
					new Settled(seat, settled.key(), settled.fingerprint(), settled.claim(), settled.answer()), true,
					effects);
		}
	}

	private static <V> void remember(Map<ClaimId, V> ended, ClaimId claim, V value, int limit) {
		ended.put(claim, value);
		if (ended.size() > limit) {
			ended.remove(ended.keySet().iterator().next());
		}
	}

}
