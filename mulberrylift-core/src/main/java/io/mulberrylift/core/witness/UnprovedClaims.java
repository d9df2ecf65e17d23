package io.mulberrylift.core.witness;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.mulberrylift.core.effect.Effects;
import io.mulberrylift.core.model.Outcome;
import io.mulberrylift.core.model.Refusal;
import io.mulberrylift.core.model.RefusalReason;
import io.mulberrylift.core.model.RequestSpec;
import io.mulberrylift.core.model.StoredAnswer;
import io.mulberrylift.core.time.Moment;

/**
 * Denies every claim, for processes that have no witnesses.
 *
 * <p>
 * Not safe for use by several threads; owned by the reducer.
 * </p>
 */
public final class UnprovedClaims implements Claims {

	private final List<ClaimOutcome> outcomes = new ArrayList<>();

	@Override
	public void claim(RequestSpec spec, long deadlineMonotonicMillis, Moment now, Effects effects) {
		Refusal refusal = Refusal.of(Outcome.UNKNOWN, RefusalReason.KEY_UNPROVED, "No witness is configured");
		this.outcomes.add(new ClaimOutcome.Denied(spec.requestId(), refusal));
	}

	@Override
	public void release(long requestId, Effects effects) {
		// Nothing was granted.
	}

	@Override
	public void settle(long requestId, Optional<StoredAnswer> answer, Moment now, Effects effects) {
		// Nothing was granted.
	}

	@Override
	public boolean mayDispatch(long requestId, Moment now) {
		return false;
	}

	@Override
	public List<ClaimOutcome> takeOutcomes() {
		List<ClaimOutcome> taken = List.copyOf(this.outcomes);
		this.outcomes.clear();
		return taken;
	}

}
