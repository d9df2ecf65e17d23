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
 * Distributes accepted configurations between instances and limits the rate at which the
 * fleet reads the configuration service.
 *
 * <p>
 * Not thread-safe; owned by the reducer. Invariants: a document is pulled from another
 * instance only if its version is higher than the one in force and is not the version
 * rejected last, so that a rejected document is not pulled again; apart from the initial
 * pulls, which go to two instances, at most one pull is in progress; the number of pushes
 * per second is limited.
 * </p>
 *
 * <p>
 * Read rate: the two instances of each zone that have been listed longest wait at the
 * service, with one call every 5 s each; every other instance reads every 2 s to 5 s.
 * Nine instances in three zones make 6 / 5 + 3 / 3.5, about 2 reads per second; 370
 * instances in 22 zones make 44 / 5 + 326 / 3.5, about 102 reads per second, while the
 * service can handle about 2,000. While the service fails, each instance retries at most
 * every 2 s, which makes 185 calls per second.
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
	 * @param fleet the shared fleet state, not null
	 * @param configuration the part that applies configurations, not null
	 * @param random source of jitter, not null
	 */
	public ConfigurationDistributor(FleetState fleet, ConfigurationPart configuration, RandomGenerator random) {
		this.fleet = Objects.requireNonNull(fleet, "fleet");
		this.configuration = Objects.requireNonNull(configuration, "configuration");
		this.random = Objects.requireNonNull(random, "random");
	}

	/**
	 * Handles the configuration version that another instance reports, and pulls the
	 * document if it is newer.
	 * @param from the other instance
	 * @param version the version in force there
	 * @param now the current time
	 * @param effects receives the messages
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
	 * Handles a message from another instance. A pushed document arrives as a separate
	 * event after it has been checked.
	 * @param from the sender
	 * @param message the message
	 * @param now the current time
	 * @param effects receives the reply
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
	 * Handles a checked document that another instance pushed.
	 * @param check the result of checking the document
	 * @param effects receives the resulting effects
	 */
	public void received(ConfigurationCheck check, Effects effects) {
		this.pullTimeoutMonotonicMillis = Long.MIN_VALUE;
		this.configuration.apply(check, effects);
	}

	/**
	 * Sets how the configuration service is read, and pulls from other instances while no
	 * configuration is in force.
	 * @param now the current time
	 * @param effects receives the messages
	 */
	public void tick(Moment now, Effects effects) {
		if (now.monotonicMillis() < this.nextTickMonotonicMillis) {
			return;
		}
		this.nextTickMonotonicMillis = now.monotonicMillis() + TICK_INTERVAL_MILLIS;
		this.configuration.setReadMode(isWatcher(),
				MIN_POLL_INTERVAL_MILLIS + this.random.nextLong(POLL_JITTER_MILLIS));
		boolean unconfigured = this.fleet.configurationVersion() == 0;
		if (unconfigured && now.monotonicMillis() >= this.nextInitialPullMonotonicMillis) {
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
