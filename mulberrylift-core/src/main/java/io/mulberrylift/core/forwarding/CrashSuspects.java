package io.mulberrylift.core.forwarding;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import io.mulberrylift.core.gossip.CrashObservation;
import io.mulberrylift.core.gossip.RequestAttribute;
import io.mulberrylift.core.limit.FleetView;

/**
 * Attributes of requests that are suspected of crashing endpoints, as observed by all
 * instances.
 *
 * <p>
 * The loss of an endpoint counts against each attribute of each request that was running
 * on it. An endpoint that starts again under its identity can be lost again. A complete
 * answer to a request clears its attributes of all earlier losses. {@link CrashCulprits}
 * decides which attributes are isolated. Observations are published promptly several
 * times, since messages may be lost; those of attributes with
 * {@value CrashCulprits#SUSPICION_THRESHOLD} losses or more are published in turn as long
 * as they are kept, so that instances which start or were disconnected learn them. Times
 * of peers' observations are those of the observations, not of the reports. An isolated
 * attribute is tried again after growing delays by one instance of the fleet at a time,
 * since something else may be the cause of its losses and nothing else could clear it.
 * Not thread-safe.
 * </p>
 */
final class CrashSuspects {

	/** Time for which an attribute is kept after its last loss. */
	private static final long RETENTION_MILLIS = 600_000;

	private static final int MAX_ATTRIBUTES = 4096;

	/**
	 * Time from the isolation of an attribute that was answered before to its next trial.
	 */
	private static final long ANSWERED_TRIAL_DELAY_MILLIS = 500;

	/**
	 * Time from the isolation of a part of prompts that was never answered to its next
	 * trial.
	 */
	private static final long UNANSWERED_TRIAL_DELAY_MILLIS = 60_000;

	/** Factor by which the time until the next trial grows. */
	private static final int TRIAL_DELAY_FACTOR = 5;

	/** Number of prompt publications of an own observation. */
	private static final int OWN_PUBLICATIONS = 3;

	/** Interval at which expired attributes are removed, which takes time for each. */
	private static final long EXPIRY_INTERVAL_MILLIS = 1000;

	/** Time after an observation in which it is published promptly at the latest. */
	private static final long PROMPT_MILLIS = 5000;

	/** Priority of observations that are not published promptly. */
	private static final int NOT_PROMPT = -1;

	private FleetView fleet;

	private long nextExpiryMillis = Long.MIN_VALUE;

	/** Until when there may be observations to publish promptly. */
	private long promptUntilMillis = Long.MIN_VALUE;

	/** The least recently changed first. */
	private final Map<RequestAttribute, CrashSuspect> suspects = new LinkedHashMap<>();

	/** When attributes were last answered completely, the least recent first. */
	private final Map<RequestAttribute, Long> answerMillis = new LinkedHashMap<>();

	/** Empty if losses have changed. */
	private Optional<CrashCulprits> culprits = Optional.empty();

	CrashSuspects(FleetView fleet) {
		this.fleet = Objects.requireNonNull(fleet, "fleet");
	}

	void setFleet(FleetView current) {
		this.fleet = Objects.requireNonNull(current, "current");
	}

	/**
	 * Records that an endpoint was lost during an attempt of this instance.
	 * @param attribute attribute of the request
	 * @param endpointHash hash of the endpoint's identity
	 * @param sentMillis when the attempt was sent; a known loss after it is the same one
	 * @param nowMillis the current time
	 */
	void recordLoss(RequestAttribute attribute, int endpointHash, long sentMillis, long nowMillis) {
		CrashSuspect suspect = this.suspects.get(attribute);
		if (suspect == null || !suspect.isLostSince(endpointHash, sentMillis)) {
			addLoss(attribute, new EndpointLoss(endpointHash, nowMillis), OWN_PUBLICATIONS, nowMillis);
		}
	}

	/**
	 * Records that this instance received a complete answer to a request.
	 * @param attribute attribute of the request
	 * @param nowMillis the current time
	 * @return the number of losses of which the attribute is cleared
	 */
	int recordAnswer(RequestAttribute attribute, long nowMillis) {
		return clear(attribute, nowMillis, OWN_PUBLICATIONS, nowMillis);
	}

	/**
	 * Records an observation of a peer.
	 * @param observation the observation
	 * @param relay whether to publish the losses of the attribute promptly if there are
	 * several, for peers that do not receive the messages of all instances
	 * @param nowMillis the current time
	 * @return whether it changed the losses of its attribute
	 */
	boolean recordReported(CrashObservation observation, boolean relay, long nowMillis) {
		RequestAttribute attribute = observation.attribute();
		long millis = nowMillis - observation.ageMillis();
		if (observation.lostEndpointHash().isEmpty()) {
			boolean relayed = relay && lossCount(attribute) >= CrashCulprits.SUSPICION_THRESHOLD;
			return clear(attribute, millis, (relayed) ? 1 : 0, nowMillis) > 0;
		}
		boolean added = addLoss(attribute, new EndpointLoss(observation.lostEndpointHash().get(), millis), 0,
				nowMillis);
		int losses = lossCount(attribute);
		boolean decisive = losses >= CrashCulprits.SUSPICION_THRESHOLD && losses <= CrashCulprits.ISOLATION_THRESHOLD;
		if (added && relay && decisive) {
			this.suspects.get(attribute)
				.losses()
				.forEach((loss) -> requestPublication(loss.publication(), 1, nowMillis));
		}
		return added;
	}

	private int clear(RequestAttribute attribute, long answeredMillis, int publications, long nowMillis) {
		Long known = this.answerMillis.get(attribute);
		if (known != null && answeredMillis <= known) {
			return 0;
		}
		this.answerMillis.remove(attribute);
		this.answerMillis.put(attribute, answeredMillis);
		if (this.answerMillis.size() > MAX_ATTRIBUTES) {
			this.answerMillis.remove(this.answerMillis.keySet().iterator().next());
		}
		CrashSuspect suspect = this.suspects.get(attribute);
		int cleared = (suspect != null) ? suspect.removeUntil(answeredMillis) : 0;
		if (cleared > 0) {
			this.culprits = Optional.empty();
			requestPublication(suspect.answerPublication(), publications, nowMillis);
		}
		return cleared;
	}

	private boolean addLoss(RequestAttribute attribute, EndpointLoss loss, int publications, long nowMillis) {
		Long answered = this.answerMillis.get(attribute);
		CrashSuspect suspect = this.suspects.getOrDefault(attribute, new CrashSuspect(attribute));
		if ((answered != null && loss.millis() <= answered) || !suspect.add(loss)) {
			return false;
		}
		boolean decided = suspect.losses().size() > CrashCulprits.ISOLATION_THRESHOLD;
		requestPublication(loss.publication(), (decided) ? Math.min(1, publications) : publications, nowMillis);
		this.suspects.remove(attribute);
		this.suspects.put(attribute, suspect);
		if (this.suspects.size() > MAX_ATTRIBUTES) {
			this.suspects.remove(this.suspects.keySet().iterator().next());
		}
		this.culprits = Optional.empty();
		return true;
	}

	private void requestPublication(Publication publication, int count, long nowMillis) {
		if (count > 0) {
			publication.request(count, nowMillis);
			this.promptUntilMillis = nowMillis + PROMPT_MILLIS;
		}
	}

	private CrashCulprits culprits() {
		if (this.culprits.isEmpty()) {
			this.culprits = Optional.of(new CrashCulprits(this.suspects.values(), this.answerMillis::containsKey));
		}
		return this.culprits.get();
	}

	/**
	 * Returns whether a request may be sent to an endpoint. If it has isolated attributes
	 * whose trial is due, this is the trial.
	 * @param attributes attributes of the request
	 * @param nowMillis the current time
	 * @return false if the request must not be sent now
	 */
	boolean mayStart(List<RequestAttribute> attributes, long nowMillis) {
		List<RequestAttribute> isolated = isolated(attributes, nowMillis);
		boolean mayStart = isolated.stream().allMatch((attribute) -> isTrialDue(attribute, nowMillis));
		if (mayStart) {
			isolated.forEach((attribute) -> this.suspects.get(attribute).startTrial(trialNumber(attribute, nowMillis)));
		}
		return mayStart;
	}

	private boolean isTrialDue(RequestAttribute attribute, long nowMillis) {
		int trial = trialNumber(attribute, nowMillis);
		return trial > this.suspects.get(attribute).trial() && this.fleet.isChosen(attribute + "/" + trial);
	}

	/**
	 * Returns the number of the trial that may be made now.
	 * @param attribute an isolated attribute
	 * @param nowMillis the current time
	 * @return the number, -1 for none yet
	 */
	private int trialNumber(RequestAttribute attribute, long nowMillis) {
		boolean answered = this.answerMillis.containsKey(attribute);
		if (!answered && attribute.kind() == RequestAttribute.Kind.REQUEST) {
			return -1;
		}
		long isolatedMillis = nowMillis - culprits().isolatedFromMillis(attribute).orElse(nowMillis);
		long delayMillis = (answered) ? ANSWERED_TRIAL_DELAY_MILLIS : UNANSWERED_TRIAL_DELAY_MILLIS;
		int number = -1;
		while (isolatedMillis >= delayMillis) {
			number++;
			delayMillis *= TRIAL_DELAY_FACTOR;
		}
		return number;
	}

	/**
	 * Returns those of a request's attributes that are isolated.
	 * @param attributes attributes of the request
	 * @param nowMillis the current time
	 * @return the isolated ones
	 */
	List<RequestAttribute> isolated(List<RequestAttribute> attributes, long nowMillis) {
		return attributes.stream().filter((attribute) -> isIsolated(attribute, nowMillis)).toList();
	}

	boolean isIsolated(RequestAttribute attribute, long nowMillis) {
		return culprits().isolatedFromMillis(attribute).filter((from) -> from <= nowMillis).isPresent();
	}

	/**
	 * Returns whether an attribute is isolated, or was never answered and has
	 * {@value CrashCulprits#SUSPICION_THRESHOLD} losses that nothing else explains.
	 * @param attribute the attribute
	 * @param nowMillis the current time
	 * @return true if it is likely to crash endpoints
	 */
	boolean isSuspected(RequestAttribute attribute, long nowMillis) {
		return culprits().isSuspected(attribute) || isIsolated(attribute, nowMillis);
	}

	/**
	 * Returns the number of losses that count against an attribute.
	 * @param attribute the attribute
	 * @return the number
	 */
	int lossCount(RequestAttribute attribute) {
		CrashSuspect suspect = this.suspects.get(attribute);
		return (suspect != null) ? suspect.losses().size() : 0;
	}

	/**
	 * Returns the number of attributes with losses.
	 * @return the number of attributes
	 */
	long suspectCount() {
		return this.suspects.values().stream().filter((suspect) -> !suspect.losses().isEmpty()).count();
	}

	/**
	 * Returns the number of isolated attributes.
	 * @param nowMillis the current time
	 * @return the number of attributes
	 */
	long isolatedCount(long nowMillis) {
		return culprits().isolatedCount(nowMillis);
	}

	void tick(long nowMillis) {
		if (nowMillis < this.nextExpiryMillis) {
			return;
		}
		this.nextExpiryMillis = nowMillis + EXPIRY_INTERVAL_MILLIS;
		boolean expired = this.suspects.values()
			.removeIf((suspect) -> nowMillis - suspect.newestLossMillis() > RETENTION_MILLIS
					&& !suspect.answerPublication().isPromptRequested());
		if (expired) {
			this.culprits = Optional.empty();
		}
	}

	/**
	 * Returns whether there are observations to publish promptly.
	 * @param nowMillis the current time
	 * @return true if a prompt publication is due
	 */
	boolean hasPromptObservations(long nowMillis) {
		return nowMillis <= this.promptUntilMillis
				&& this.suspects.values().stream().anyMatch((suspect) -> suspect.isPromptPublicationDue(nowMillis));
	}

	/**
	 * Returns the observations to publish next: those to be published promptly, answers
	 * and attributes with most losses first, and last the losses of attributes that were
	 * answered before and those that isolation does not need; and then the least recently
	 * published ones of attributes with at least
	 * {@value CrashCulprits#SUSPICION_THRESHOLD} losses.
	 * @param maxCount maximum number of observations
	 * @param nowMillis the current time
	 * @return the observations
	 */
	List<CrashObservation> pollPublished(int maxCount, long nowMillis) {
		List<Publishable> candidates = new ArrayList<>();
		this.suspects.values().forEach((suspect) -> addPublishable(suspect, candidates, nowMillis));
		candidates.sort(Comparator.comparingInt((Publishable each) -> -each.promptPriority)
			.thenComparingLong((each) -> each.publication.lastMillis()));
		return candidates.stream().limit(maxCount).map((each) -> each.publish(nowMillis)).toList();
	}

	private void addPublishable(CrashSuspect suspect, List<Publishable> target, long nowMillis) {
		RequestAttribute attribute = suspect.attribute();
		Long answered = this.answerMillis.get(attribute);
		if (answered != null && suspect.answerPublication().isPromptDue(nowMillis)) {
			target.add(new Publishable(new CrashObservation(attribute, Optional.empty(), nowMillis - answered),
					CrashCulprits.ISOLATION_THRESHOLD, suspect.answerPublication()));
		}
		int losses = suspect.losses().size();
		for (int index = 0; index < losses; index++) {
			EndpointLoss loss = suspect.losses().get(index);
			boolean due = loss.publication().isPromptDue(nowMillis);
			boolean decisive = answered == null && index < CrashCulprits.ISOLATION_THRESHOLD;
			if (due || losses >= CrashCulprits.SUSPICION_THRESHOLD) {
				CrashObservation observation = new CrashObservation(attribute, Optional.of(loss.endpointHash()),
						Math.max(0, nowMillis - loss.millis()));
				int priority = (decisive) ? losses : 0;
				target.add(new Publishable(observation, (due) ? priority : NOT_PROMPT, loss.publication()));
			}
		}
	}

	private record Publishable(CrashObservation observation, int promptPriority, Publication publication) {

		CrashObservation publish(long nowMillis) {
			this.publication.published(nowMillis);
			return this.observation;
		}

	}

}
