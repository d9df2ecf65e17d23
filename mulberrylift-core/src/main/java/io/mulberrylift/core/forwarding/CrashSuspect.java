package io.mulberrylift.core.forwarding;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import io.mulberrylift.core.gossip.RequestAttribute;

/**
 * An attribute of requests with the losses of endpoints that count against it.
 *
 * <p>
 * Not thread-safe; owned by the reducer.
 * </p>
 */
final class CrashSuspect {

	/**
	 * Maximum number of losses; more than isolation needs, since they also explain the
	 * losses that count against other attributes.
	 */
	private static final int MAX_LOSSES = 24;

	private final RequestAttribute attribute;

	private final List<EndpointLoss> losses = new ArrayList<>();

	private final Publication answerPublication = new Publication();

	/** Number of the latest trial, -1 if there was none. */
	private int trial = -1;

	CrashSuspect(RequestAttribute attribute) {
		this.attribute = Objects.requireNonNull(attribute, "attribute");
	}

	RequestAttribute attribute() {
		return this.attribute;
	}

	List<EndpointLoss> losses() {
		return this.losses;
	}

	Publication answerPublication() {
		return this.answerPublication;
	}

	int trial() {
		return this.trial;
	}

	void startTrial(int number) {
		this.trial = number;
	}

	/**
	 * Adds a loss unless it is known or there are many already.
	 * @param loss the loss
	 * @return whether it was added
	 */
	boolean add(EndpointLoss loss) {
		return this.losses.size() < MAX_LOSSES && this.losses.stream().noneMatch((each) -> each.isSameAs(loss))
				&& this.losses.add(loss);
	}

	/**
	 * Returns whether a loss of an endpoint from a time on counts against the attribute.
	 * @param endpointHash hash of the endpoint
	 * @param fromMillis the time
	 * @return true if there is such a loss
	 */
	boolean isLostSince(int endpointHash, long fromMillis) {
		return this.losses.stream()
			.anyMatch((loss) -> loss.endpointHash() == endpointHash && loss.millis() >= fromMillis);
	}

	/**
	 * Removes the losses that an answer has disproved.
	 * @param answeredMillis time of the answer
	 * @return the number of removed losses
	 */
	int removeUntil(long answeredMillis) {
		int before = this.losses.size();
		this.losses.removeIf((loss) -> loss.millis() <= answeredMillis);
		if (this.losses.isEmpty()) {
			this.trial = -1;
		}
		return before - this.losses.size();
	}

	/**
	 * Returns the time of the newest loss. The time at which a peer reported it does not
	 * count; reports would renew each other for ever.
	 * @return the time, in the far past if there is none
	 */
	long newestLossMillis() {
		return this.losses.stream().mapToLong(EndpointLoss::millis).max().orElse(Long.MIN_VALUE / 2);
	}

	boolean isPromptPublicationDue(long nowMillis) {
		return this.answerPublication.isPromptDue(nowMillis)
				|| this.losses.stream().anyMatch((loss) -> loss.publication().isPromptDue(nowMillis));
	}

}
