package io.mulberrylift.core.configuration;

import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import java.util.random.RandomGenerator;

import io.mulberrylift.core.effect.ControlEffect.Part;
import io.mulberrylift.core.effect.Effects;
import io.mulberrylift.core.effect.PeerEffect;
import io.mulberrylift.core.fleet.FleetState;
import io.mulberrylift.core.model.InstanceDescription;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.peer.ConfigurationMessage;
import io.mulberrylift.core.peer.PeerMessage;
import io.mulberrylift.core.time.Moment;

/**
 * Spreads accepted configurations between instances and shares out the reads of the
 * configuration service.
 *
 * <p>
 * Not safe for use by several threads; owned by the reducer. Invariants: a document is
 * pulled only when its version is above every version seen here, so that a rejected one
 * is not pulled again; at most one pull is under way; pushes are limited per second.
 * </p>
 *
 * <p>
 * Reads: the two longest listed instances of each zone wait at the service, one call each
 * 5 s; every other instance reads each 2 s to 5 s. Nine instances in three zones make 6 /
 * 5 + 3 / 3.5, about 2 reads a second; 370 instances in 22 zones make 44 / 5 + 326 / 3.5,
 * about 102 reads a second, of about 2,000 that the service serves. While the service
 * fails, each instance repeats its read at most each 2 s, which makes 185 calls a second.
 * </p>
 */
public final class ConfigurationDistributor {

	private static final long TICK_INTERVAL_MILLIS = 100;

	private static final int WATCHERS_PER_ZONE = 2;

	private static final long MIN_POLL_INTERVAL_MILLIS = 2_000;

	private static final long POLL_JITTER_MILLIS = 3_000;

	private static final long PULL_TIMEOUT_MILLIS = 1_000;

	private static final long INITIAL_PULL_INTERVAL_MILLIS = 500;

	private static final int INITIAL_PULL_PEERS = 2;

	private static final int MAX_PUSHES_PER_SECOND = 20;

	private static final long PUSH_PERIOD_MILLIS = 1_000;

	private final FleetState fleet;

	private final ConfigurationPart configuration;

	private final RandomGenerator random;

	private long pullTimeoutMonotonicMillis = Long.MIN_VALUE;

	private long nextInitialPullMonotonicMillis = Long.MIN_VALUE;

	private long pushPeriodStartMonotonicMillis;

	private int pushesInPeriod;

	private long nextTickMonotonicMillis = Long.MIN_VALUE;

	/**
	 * Creates the part.
	 * @param fleet the shared state, not null
	 * @param configuration the configuration in force, not null
	 * @param random source of jitter, not null
	 */
	public ConfigurationDistributor(FleetState fleet, ConfigurationPart configuration, RandomGenerator random) {
		this.fleet = Objects.requireNonNull(fleet, "fleet");
		this.configuration = Objects.requireNonNull(configuration, "configuration");
		this.random = Objects.requireNonNull(random, "random");
	}

	/**
	 * Takes the version that another instance has in force.
	 * @param from the other instance
	 * @param version its version
	 * @param now the current time
	 * @param effects takes the messages
	 */
	public void peerVersionReported(InstanceId from, long version, Moment now, Effects effects) {
		boolean newer = version > this.fleet.configurationVersion() && !this.configuration.isRejected(version);
		if (newer && now.monotonicMillis() >= this.pullTimeoutMonotonicMillis) {
			this.pullTimeoutMonotonicMillis = now.monotonicMillis() + PULL_TIMEOUT_MILLIS;
			pull(from, effects);
		}
	}

	private void pull(InstanceId from, Effects effects) {
		effects.count(Part.CONFIGURATION, "pulled");
		send(from, new ConfigurationMessage.Pull(this.fleet.configurationVersion()), effects);
	}

	private static void send(InstanceId to, PeerMessage message, Effects effects) {
		effects.add(new PeerEffect.Send(to, message));
	}

	/**
	 * Takes a message of another instance. A pushed document arrives as an event of its
	 * own once it has been checked.
	 * @param from the sender
	 * @param message the message
	 * @param now the current time
	 * @param effects takes the answer
	 */
	public void received(InstanceId from, ConfigurationMessage message, Moment now, Effects effects) {
		if (message instanceof ConfigurationMessage.Pull pull) {
			this.configuration.accepted()
				.filter((document) -> document.version() > pull.knownVersion() && acquirePushPermit(now))
				.ifPresent((document) -> send(from, new ConfigurationMessage.Push(document), effects));
		}
	}

	private boolean acquirePushPermit(Moment now) {
		if (now.monotonicMillis() - this.pushPeriodStartMonotonicMillis >= PUSH_PERIOD_MILLIS) {
			this.pushPeriodStartMonotonicMillis = now.monotonicMillis();
			this.pushesInPeriod = 0;
		}
		this.pushesInPeriod++;
		return this.pushesInPeriod <= MAX_PUSHES_PER_SECOND;
	}

	/**
	 * Takes a checked document of another instance.
	 * @param check the verdict on the document
	 * @param effects takes the effects
	 */
	public void received(ConfigurationCheck check, Effects effects) {
		this.pullTimeoutMonotonicMillis = Long.MIN_VALUE;
		this.configuration.apply(check, effects);
	}

	/**
	 * Chooses how the service is read and asks others while nothing is known.
	 * @param now the current time
	 * @param effects takes the messages
	 */
	public void tick(Moment now, Effects effects) {
		if (now.monotonicMillis() < this.nextTickMonotonicMillis) {
			return;
		}
		this.nextTickMonotonicMillis = now.monotonicMillis() + TICK_INTERVAL_MILLIS;
		this.configuration.setReadMode(isWatcher(),
				MIN_POLL_INTERVAL_MILLIS + this.random.nextLong(POLL_JITTER_MILLIS));
		boolean unknown = this.fleet.configurationVersion() == 0;
		if (unknown && now.monotonicMillis() >= this.nextInitialPullMonotonicMillis) {
			this.nextInitialPullMonotonicMillis = now.monotonicMillis() + INITIAL_PULL_INTERVAL_MILLIS;
			this.fleet.list()
				.instances()
				.stream()
				.filter((instance) -> !instance.id().equals(this.fleet.self().id()) && !instance.leaving())
				.sorted(Comparator.comparingLong(InstanceDescription::listedSinceEpochMillis))
				.limit(INITIAL_PULL_PEERS)
				.forEach((instance) -> pull(instance.id(), effects));
		}
	}

	private boolean isWatcher() {
		List<InstanceId> watchers = this.fleet.list()
			.instances()
			.stream()
			.filter((instance) -> instance.zone().equals(this.fleet.self().zone()) && !instance.leaving())
			.sorted(Comparator.comparingLong(InstanceDescription::listedSinceEpochMillis)
				.thenComparing(InstanceDescription::id))
			.limit(WATCHERS_PER_ZONE)
			.map(InstanceDescription::id)
			.toList();
		return watchers.contains(this.fleet.self().id());
	}

}
