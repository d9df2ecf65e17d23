package io.mulberrylift.gateway.loop;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongFunction;
import java.util.function.Supplier;

import io.mulberrylift.core.forwarding.Gateway;
import io.mulberrylift.core.gossip.CrashObservation;
import io.mulberrylift.core.gossip.FullState;
import io.mulberrylift.core.gossip.InstanceDigest;
import io.mulberrylift.core.gossip.KnownMember;
import io.mulberrylift.core.gossip.Membership;
import io.mulberrylift.core.gossip.StoreKnowledge;
import io.mulberrylift.core.gossip.StoreRevision;
import io.mulberrylift.core.placement.EndpointSummary;
import io.mulberrylift.core.placement.RequestWork;
import io.mulberrylift.gateway.peer.DigestCodec;
import io.mulberrylift.gateway.peer.DigestSender;
import io.mulberrylift.gateway.peer.PeerLink;

/**
 * Schedules this instance's messages to its peers: placed requests immediately, the full
 * state every {@value #FULL_STATE_INTERVAL_MILLIS} ms, up to
 * {@value #MAX_FULL_STATE_INTERVAL_MILLIS} ms when the byte rate of the settings is used
 * up. In large fleets, messages contain summaries by endpoint instead of single requests.
 *
 * <p>
 * Not thread-safe; confined to the event loop. The next full state makes up for a lost
 * message of changes.
 * </p>
 */
final class GossipScheduler {

	/**
	 * Interval between full states; below the age at which peers consider a member dead.
	 */
	static final long FULL_STATE_INTERVAL_MILLIS = 1200;

	/** Interval between full states when the byte rate is used up. */
	static final long MAX_FULL_STATE_INTERVAL_MILLIS = 2400;

	/** Share of the byte rate for full states; the rest is for changes. */
	private static final double FULL_STATE_RATE_SHARE = 0.6;

	/**
	 * Lower limit of the maximum message size, which the fixed part of a message needs.
	 */
	private static final int MIN_MESSAGE_BYTES = 160;

	/**
	 * Share of the byte rate for the fixed parts of messages of summaries, which
	 * determines how often they are sent: often to few peers, seldom to many.
	 */
	private static final double SUMMARY_HEADER_RATE_SHARE = 0.15;

	/** Size of a message of summaries without the summaries. */
	private static final int SUMMARY_HEADER_BYTES = 16;

	/** Maximum number of endpoint limits in a full state. */
	private static final int MAX_LIMITS = 12;

	/**
	 * Maximum number of endpoint limits in a full state in large fleets, where messages
	 * are small and mostly needed for summaries.
	 */
	private static final int MAX_LIMITS_PARTIAL = 3;

	/** Maximum number of crash observations in a full state. */
	private static final int MAX_CRASHES = 12;

	/** Maximum number of crash observations in a full state in large fleets. */
	private static final int MAX_CRASHES_PARTIAL = 3;

	/** Minimum interval between messages of crash observations. */
	private static final long CRASHES_INTERVAL_MILLIS = 100;

	/** Time whose byte rate a message of crash observations may use. */
	private static final double CRASHES_RATE_MILLIS = 500;

	private static final int MIN_CRASHES = 3;

	/**
	 * Seconds of the byte rate that messages of crash observations may use in advance.
	 */
	private static final double MAX_CRASHES_DEBT_SECONDS = 0.5;

	/** Maximum size of an encoded crash observation. */
	private static final int CRASH_BYTES = 19;

	/** Size of a message of crash observations without the observations. */
	private static final int CRASHES_HEADER_BYTES = 24;

	/** Time that ended requests wait to be published together with a placed one. */
	private static final long BATCH_DELAY_MILLIS = 120;

	/** Capacity of the byte budget, in seconds of the byte rate. */
	private static final double BURST_SECONDS = 1.5;

	private static final double MILLIS_PER_SECOND = 1000;

	private static final int INCARNATION_BITS = 0x7fffffff;

	private final GatewaySettings settings;

	private final Gateway gateway;

	private final Membership membership;

	private final DigestSender link;

	private final Supplier<StoreRevision> storeRevision;

	private final LongFunction<StoreKnowledge> storeKnowledge;

	/** Start time in seconds: short when encoded, and greater after each restart. */
	private final long incarnation = (System.currentTimeMillis() / (long) MILLIS_PER_SECOND) & INCARNATION_BITS;

	private final Set<Long> changedRequests = new LinkedHashSet<>();

	private final SummaryQueue summaries = new SummaryQueue();

	private final IndividualWork individualWork = new IndividualWork();

	private long sequence;

	private long lastSummaryMillis;

	private long lastCrashesMillis;

	private boolean fullStateDue = true;

	private double allowedBytes;

	private long lastFullStateMillis = Long.MIN_VALUE / 2;

	private long changedSinceMillis;

	private long lastReplenishMillis;

	GossipScheduler(GatewaySettings settings, Gateway gateway, Membership membership, DigestSender link,
			Supplier<StoreRevision> storeRevision, LongFunction<StoreKnowledge> storeKnowledge) {
		this.settings = Objects.requireNonNull(settings, "settings");
		this.gateway = Objects.requireNonNull(gateway, "gateway");
		this.membership = Objects.requireNonNull(membership, "membership");
		this.link = Objects.requireNonNull(link, "link");
		this.storeRevision = Objects.requireNonNull(storeRevision, "storeRevision");
		this.storeKnowledge = Objects.requireNonNull(storeKnowledge, "storeKnowledge");
	}

	/**
	 * Requests that a full state is sent at the next tick.
	 */
	void requestFullState() {
		this.fullStateDue = true;
	}

	/**
	 * Publishes a request that was just placed, unless the byte budget is used up.
	 * @param nowMillis the current time
	 */
	void requestPlaced(long nowMillis) {
		collectChanges(nowMillis);
		replenish(nowMillis);
		if (this.membership.isPartial()) {
			sendIndividualWork(nowMillis);
		}
		else if (this.allowedBytes > 0) {
			sendChanges(nowMillis);
		}
	}

	void tick(long nowMillis) {
		collectChanges(nowMillis);
		replenish(nowMillis);
		if (this.gateway.hasPromptCrashes(nowMillis)) {
			sendCrashes(nowMillis);
		}
		long sinceFullStateMillis = nowMillis - this.lastFullStateMillis;
		boolean overdue = sinceFullStateMillis >= MAX_FULL_STATE_INTERVAL_MILLIS
				|| (sinceFullStateMillis >= FULL_STATE_INTERVAL_MILLIS && this.allowedBytes > 0);
		if (overdue || (this.fullStateDue && this.allowedBytes > 0)) {
			sendFullState(nowMillis);
		}
		else if (this.membership.isPartial()) {
			sendIndividualWork(nowMillis);
			sendSummaries(nowMillis);
		}
		else if (!this.changedRequests.isEmpty() && this.allowedBytes > 0
				&& nowMillis - this.changedSinceMillis >= BATCH_DELAY_MILLIS) {
			sendChanges(nowMillis);
		}
	}

	/**
	 * Sends crash observations, even if the byte rate is used up: each instance that does
	 * not know them may lose more endpoints. The bytes are made up for by other messages.
	 * @param nowMillis the current time
	 */
	private void sendCrashes(long nowMillis) {
		double maxDebtBytes = this.settings.maxPeerBytesPerSecond() * MAX_CRASHES_DEBT_SECONDS;
		if (nowMillis - this.lastCrashesMillis < CRASHES_INTERVAL_MILLIS || this.allowedBytes < -maxDebtBytes) {
			return;
		}
		this.lastCrashesMillis = nowMillis;
		List<String> targets = this.membership.promptTargets();
		int maxCrashes = (bytesPerTarget(targets, CRASHES_RATE_MILLIS) - CRASHES_HEADER_BYTES) / CRASH_BYTES;
		List<CrashObservation> crashes = this.gateway.pollPublishedCrashes(Math.max(MIN_CRASHES, maxCrashes),
				nowMillis);
		send(targets, digest(Map.of(), List.of(), List.of(), crashes, Optional.empty()), DigestCodec.MAX_BYTES);
	}

	private void collectChanges(long nowMillis) {
		if (this.changedRequests.isEmpty()) {
			this.changedSinceMillis = nowMillis;
		}
		Set<Long> drained = this.gateway.drainChangedWork();
		this.changedRequests.addAll(drained);
		if (this.membership.isPartial()) {
			this.individualWork.collect(drained, this.gateway.individualWork(nowMillis).keySet());
		}
	}

	/**
	 * Tells the work of long prompts at once: to all peers if the byte rate permits, else
	 * to those of the own zone.
	 * @param nowMillis the current time
	 */
	private void sendIndividualWork(long nowMillis) {
		if (this.individualWork.isEmpty() || this.allowedBytes <= 0) {
			return;
		}
		Map<Long, RequestWork> work = this.gateway.individualWork(nowMillis);
		InstanceDigest digest = digest(this.individualWork.changed(work), this.individualWork.ended(work), List.of(),
				List.of(), Optional.empty());
		List<String> peers = this.membership.peers();
		int bytes = DigestCodec.encode(digest, DigestCodec.MAX_BYTES).length + PeerLink.DATAGRAM_OVERHEAD_BYTES;
		boolean toAll = this.gateway.tellsAllZones() && (double) bytes * peers.size() <= this.allowedBytes;
		this.individualWork.clear(work);
		send((toAll) ? peers : this.membership.trackedPeers(), digest, DigestCodec.MAX_BYTES);
	}

	private void replenish(long nowMillis) {
		double burst = this.settings.maxPeerBytesPerSecond() * BURST_SECONDS;
		this.allowedBytes = Math.min(burst, this.allowedBytes
				+ (nowMillis - this.lastReplenishMillis) * this.settings.maxPeerBytesPerSecond() / MILLIS_PER_SECOND);
		this.lastReplenishMillis = nowMillis;
	}

	private void sendFullState(long nowMillis) {
		this.fullStateDue = false;
		this.lastFullStateMillis = nowMillis;
		this.changedRequests.clear();
		List<String> targets = this.membership.targets(nowMillis);
		int maxBytes = maxMessageBytes(targets, FULL_STATE_RATE_SHARE * MAX_FULL_STATE_INTERVAL_MILLIS);
		if (!this.membership.isPartial()) {
			FullState state = state(MAX_LIMITS, this.membership.sample(nowMillis), nowMillis);
			List<CrashObservation> crashes = this.gateway.pollPublishedCrashes(MAX_CRASHES, nowMillis);
			send(targets, digest(this.gateway.ownWork(nowMillis), List.of(), List.of(), crashes, Optional.of(state)),
					maxBytes);
			return;
		}
		FullState state = state(MAX_LIMITS_PARTIAL, this.membership.sample(nowMillis), nowMillis);
		List<CrashObservation> crashes = this.gateway.pollPublishedCrashes(MAX_CRASHES_PARTIAL, nowMillis);
		Map<Long, RequestWork> individual = this.gateway.individualWork(nowMillis);
		this.individualWork.clear(individual);
		int fixedBytes = DigestCodec.encode(digest(individual, List.of(), List.of(), crashes, Optional.of(state)),
				DigestCodec.MAX_BYTES).length;
		List<EndpointSummary> selected = this.summaries.pollDue(this.gateway.ownSummaries(nowMillis),
				maxBytes - fixedBytes, nowMillis);
		List<String> tracked = this.membership.trackedPeers();
		send(tracked, digest(individual, List.of(), selected, crashes, Optional.of(state)), DigestCodec.MAX_BYTES);
		for (String target : targets) {
			if (!tracked.contains(target)) {
				FullState other = new FullState(state.zone(), state.configurationVersion(), state.storeRevision(),
						state.storeKnowledge(), state.endpointsReachable(), state.avoided(), state.limits(),
						this.membership.sampleFor(target, nowMillis), state.figures());
				send(List.of(target), digest(individual, List.of(), selected, crashes, Optional.of(other)),
						DigestCodec.MAX_BYTES);
			}
		}
	}

	private FullState state(int maxLimits, List<KnownMember> sample, long nowMillis) {
		return new FullState(this.settings.identity().zone(), this.gateway.configurationVersion(),
				this.storeRevision.get(), Optional.of(this.storeKnowledge.apply(nowMillis)),
				this.gateway.reachesEndpoints(), this.gateway.avoidedEndpoints(nowMillis),
				this.gateway.pollPublishedLimits(maxLimits, nowMillis), sample, this.gateway.fleetFigures(nowMillis));
	}

	private void sendSummaries(long nowMillis) {
		List<String> targets = this.membership.trackedPeers();
		double intervalMillis = targets.size() * (PeerLink.DATAGRAM_OVERHEAD_BYTES + SUMMARY_HEADER_BYTES)
				* MILLIS_PER_SECOND / (SUMMARY_HEADER_RATE_SHARE * this.settings.maxPeerBytesPerSecond());
		boolean due = this.allowedBytes > 0 && nowMillis - this.lastSummaryMillis >= intervalMillis;
		if (!due) {
			return;
		}
		Map<Integer, EndpointSummary> current = this.gateway.ownSummaries(nowMillis);
		if (!this.summaries.hasNewWork(current)) {
			return;
		}
		this.lastSummaryMillis = nowMillis;
		this.changedRequests.clear();
		int bytes = bytesPerTarget(targets, (1 - FULL_STATE_RATE_SHARE) * intervalMillis) - SUMMARY_HEADER_BYTES;
		List<EndpointSummary> selected = this.summaries.pollDue(current, bytes, nowMillis);
		if (!selected.isEmpty()) {
			send(targets, digest(Map.of(), List.of(), selected, List.of(), Optional.empty()), DigestCodec.MAX_BYTES);
		}
	}

	/**
	 * Returns the maximum size of a message for which sending it to all targets uses up
	 * the bytes that the byte rate permits in a period.
	 * @param targets addresses of the peers
	 * @param millis length of the period
	 * @return the size in bytes
	 */
	private int maxMessageBytes(List<String> targets, double millis) {
		return Math.max(MIN_MESSAGE_BYTES, bytesPerTarget(targets, millis));
	}

	private int bytesPerTarget(List<String> targets, double millis) {
		double bytes = this.settings.maxPeerBytesPerSecond() * millis / MILLIS_PER_SECOND / Math.max(1, targets.size());
		return (int) bytes - PeerLink.DATAGRAM_OVERHEAD_BYTES;
	}

	private void sendChanges(long nowMillis) {
		Map<Long, RequestWork> work = this.gateway.ownWork(nowMillis);
		work.keySet().retainAll(this.changedRequests);
		List<Long> ended = this.changedRequests.stream().filter((request) -> !work.containsKey(request)).toList();
		this.changedRequests.clear();
		List<String> targets = this.membership.trackedPeers();
		send(targets, digest(work, ended, List.of(), List.of(), Optional.empty()),
				maxMessageBytes(targets, MILLIS_PER_SECOND));
	}

	private InstanceDigest digest(Map<Long, RequestWork> work, List<Long> ended, List<EndpointSummary> selected,
			List<CrashObservation> crashes, Optional<FullState> state) {
		return new InstanceDigest(this.settings.peersAddress().toString(), this.incarnation, this.sequence + 1, work,
				ended, selected, crashes, state);
	}

	private void send(List<String> targets, InstanceDigest digest, int maxBytes) {
		if (!targets.isEmpty()) {
			this.sequence++;
			this.allowedBytes -= this.link.send(digest, targets, maxBytes);
		}
	}

}
