package io.mulberrylift.core.configuration;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

import io.mulberrylift.core.effect.ControlEffect.Part;
import io.mulberrylift.core.effect.Effects;
import io.mulberrylift.core.effect.PlatformEffect;
import io.mulberrylift.core.fleet.FleetState;
import io.mulberrylift.core.time.Moment;

/**
 * Keeps the newest accepted configuration in force.
 *
 * <p>
 * Not safe for use by several threads; owned by the reducer. The version in force never
 * decreases; a rejected document leaves the last accepted one in force. At most one read
 * is under way. An instance that is not a watcher of its zone reads without waiting and
 * at long intervals.
 * </p>
 */
public final class ConfigurationPart {

	private static final long WATCH_WAIT_MILLIS = 5_000;

	private static final long READ_TIMEOUT_MILLIS = 15_000;

	private static final long MIN_RETRY_DELAY_MILLIS = 200;

	private static final long MAX_RETRY_DELAY_MILLIS = 2_000;

	private final FleetState fleet;

	private PublishedDocument accepted;

	private ConfigurationCheck.Rejected rejected;

	private long highestSeenVersion;

	private boolean readPending;

	private boolean zoneWatcher = true;

	private long pollDelayMillis;

	private long nextReadMonotonicMillis = Long.MIN_VALUE;

	private long retryDelayMillis = MIN_RETRY_DELAY_MILLIS;

	/**
	 * Creates the part.
	 * @param fleet the shared state
	 */
	public ConfigurationPart(FleetState fleet) {
		this.fleet = Objects.requireNonNull(fleet, "fleet");
	}

	/**
	 * Starts a read when none is under way and one is due.
	 * @param now the current time
	 * @param effects takes the watch
	 */
	public void tick(Moment now, Effects effects) {
		if (now.monotonicMillis() < this.nextReadMonotonicMillis) {
			return;
		}
		this.readPending = true;
		this.nextReadMonotonicMillis = now.monotonicMillis() + READ_TIMEOUT_MILLIS;
		long waitMillis = (this.highestSeenVersion == 0 || !this.zoneWatcher) ? 0 : WATCH_WAIT_MILLIS;
		effects.add(new PlatformEffect.WatchConfiguration(this.highestSeenVersion, waitMillis));
	}

	/**
	 * Takes a document from the configuration service.
	 * @param check the verdict on the document
	 * @param now the current time
	 * @param effects takes the effects
	 */
	public void read(ConfigurationCheck check, Moment now, Effects effects) {
		readEnded(now);
		apply(check, effects);
	}

	/**
	 * Takes a document from any source.
	 * @param check the verdict on the document
	 * @param effects takes the effects
	 * @return whether a newer configuration came into force
	 */
	public boolean apply(ConfigurationCheck check, Effects effects) {
		long version = check.document().version();
		if (version <= this.fleet.configurationVersion() || isRejected(version)) {
			return false;
		}
		this.highestSeenVersion = Math.max(this.highestSeenVersion, version);
		if (check instanceof ConfigurationCheck.Rejected rejection) {
			reject(rejection, effects);
			return false;
		}
		ConfigurationCheck.Accepted acceptance = (ConfigurationCheck.Accepted) check;
		this.accepted = acceptance.document();
		this.fleet.configure(version, acceptance.configuration());
		effects.info(Part.CONFIGURATION, "version " + version + " is in force");
		effects.count(Part.CONFIGURATION, "accepted");
		return true;
	}

	private void reject(ConfigurationCheck.Rejected rejection, Effects effects) {
		this.rejected = rejection;
		effects.warn(Part.CONFIGURATION, "version " + rejection.document().version() + " is rejected and version "
				+ this.fleet.configurationVersion() + " stays in force: " + rejection.problems().get(0));
		effects.count(Part.CONFIGURATION, "rejected");
	}

	/**
	 * Returns whether a version was rejected here last.
	 * @param version the version
	 * @return true if so
	 */
	boolean isRejected(long version) {
		return this.rejected != null && this.rejected.document().version() == version;
	}

	/**
	 * Takes a watch that ended without news.
	 * @param now the current time
	 */
	public void unchanged(Moment now) {
		readEnded(now);
	}

	private void readEnded(Moment now) {
		this.readPending = false;
		this.retryDelayMillis = MIN_RETRY_DELAY_MILLIS;
		boolean poll = !this.zoneWatcher && this.highestSeenVersion > 0;
		this.nextReadMonotonicMillis = now.monotonicMillis() + (poll ? this.pollDelayMillis : 0);
	}

	/**
	 * Chooses how the service is read from the next read on.
	 * @param nowWatcher whether this instance waits for news at the service
	 * @param newPollDelayMillis delay between two reads when it does not, in milliseconds
	 */
	void setReadMode(boolean nowWatcher, long newPollDelayMillis) {
		this.zoneWatcher = nowWatcher;
		this.pollDelayMillis = newPollDelayMillis;
	}

	/**
	 * Returns the highest version that was accepted or rejected here.
	 * @return the version, 0 before the first
	 */
	public long highestSeenVersion() {
		return this.highestSeenVersion;
	}

	/**
	 * Takes a failed watch. The next one waits longer with each failure.
	 * @param now the current time
	 */
	public void readFailed(Moment now) {
		this.readPending = false;
		this.nextReadMonotonicMillis = now.monotonicMillis() + this.retryDelayMillis;
		this.retryDelayMillis = Math.min(this.retryDelayMillis * 2, MAX_RETRY_DELAY_MILLIS);
	}

	/**
	 * Returns the document in force.
	 * @return the document, empty before the first was accepted
	 */
	public Optional<PublishedDocument> accepted() {
		return Optional.ofNullable(this.accepted);
	}

	/**
	 * Returns the last rejected document with its problems.
	 * @return the verdict, empty when none was rejected
	 */
	public Optional<ConfigurationCheck.Rejected> rejected() {
		return Optional.ofNullable(this.rejected);
	}

	/**
	 * Returns the state for an operator.
	 * @return versions and problems
	 */
	public Map<String, Object> describe() {
		Map<String, Object> state = new TreeMap<>();
		state.put("versionInForce", this.fleet.configurationVersion());
		state.put("highestSeenVersion", this.highestSeenVersion);
		state.put("watching", this.readPending);
		rejected().ifPresent((rejection) -> {
			state.put("rejectedVersion", rejection.document().version());
			state.put("problems", rejection.problems().stream().map(ConfigurationProblem::toString).toList());
		});
		return state;
	}

}
