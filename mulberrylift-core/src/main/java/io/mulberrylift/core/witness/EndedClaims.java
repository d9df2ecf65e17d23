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
 * Reports to the seats how this instance's claims ended, and reports it again when a seat
 * still holds a grant for an ended claim.
 *
 * <p>
 * Not thread-safe; owned by the reducer. Only the most recently ended claims are kept, a
 * bounded number of abandoned and of completed ones.
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
		putBounded(this.abandoned, claim, key, MAX_ABANDONED);
		seats.forEach((seat) -> this.sender.sendRepeatedly(seat, new Release(seat, key, claim), effects));
	}

	void complete(Settled settled, Effects effects) {
		putBounded(this.completed, settled.claim(), settled, MAX_COMPLETED);
		this.sender.sendRepeatedly(settled.seat(), settled, effects);
	}

	/**
	 * Answers a seat that still holds a grant for a claim that has ended.
	 * @param resentGrant the seat's message
	 * @param effects receives the repeated release or result
	 */
	void resend(Verdict resentGrant, Effects effects) {
		ZoneId seat = resentGrant.seat();
		KeyId key = this.abandoned.get(resentGrant.claim());
		if (key != null) {
			this.sender.send(seat, new Release(seat, key, resentGrant.claim()), true, effects);
		}
		Settled settled = this.completed.get(resentGrant.claim());
		if (settled != null) {
			this.sender.send(seat,
					new Settled(seat, settled.key(), settled.fingerprint(), settled.claim(), settled.answer()), true,
					effects);
		}
	}

	private static <V> void putBounded(Map<ClaimId, V> ended, ClaimId claim, V value, int limit) {
		ended.put(claim, value);
		if (ended.size() > limit) {
			ended.remove(ended.keySet().iterator().next());
		}
	}

}
