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
 * Reads configuration documents and applies the newest valid one.
 *
 * <p>
 * Not thread-safe; owned by the reducer. The applied version never decreases; an invalid
 * document leaves the last accepted one in force. At most one read is in progress. An
 * instance that is not a watcher of its zone reads without waiting for changes, at long
 * intervals.
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
	 * Creates the part without a configuration.
	 * @param fleet the shared fleet state, not null
	 */
	public ConfigurationPart(FleetState fleet) {
		this.fleet = Objects.requireNonNull(fleet, "fleet");
	}

	/**
	 * Starts a read when one is due and none is in progress. A read without a result
	 * within 15 seconds is repeated.
	 * @param now the current time
	 * @param effects receives the read
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
	 * Handles a document from the configuration service.
	 * @param check the result of checking the document
	 * @param now the current time
	 * @param effects receives the resulting effects
	 */
	public void read(ConfigurationCheck check, Moment now, Effects effects) {
		readEnded(now);
		apply(check, effects);
	}

	/**
	 * Applies a document from the configuration service or another instance, unless it is
	 * invalid or not newer than the one in force.
	 * @param check the result of checking the document
	 * @param effects receives the resulting effects
	 * @return whether a newer configuration was applied
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
		effects.info(Part.CONFIGURATION, "version " + version + " is now in force");
		effects.count(Part.CONFIGURATION, "accepted");
		return true;
	}

	private void reject(ConfigurationCheck.Rejected rejection, Effects effects) {
		this.rejected = rejection;
		effects.warn(Part.CONFIGURATION, "version " + rejection.document().version() + " was rejected and version "
				+ this.fleet.configurationVersion() + " remains in force: " + rejection.problems().get(0));
		effects.count(Part.CONFIGURATION, "rejected");
	}

	/**
	 * Returns whether a version is the one that this instance rejected last.
	 * @param version the version
	 * @return true if it was rejected
	 */
	boolean isRejected(long version) {
		return this.rejected != null && this.rejected.document().version() == version;
	}

	/**
	 * Handles a read that ended without a newer document.
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
	 * Sets how the configuration service is read from the next read on.
	 * @param newZoneWatcher whether this instance waits at the service for a newer
	 * document
	 * @param newPollDelayMillis delay between two reads when it does not wait, in
	 * milliseconds
	 */
	void setReadMode(boolean newZoneWatcher, long newPollDelayMillis) {
		this.zoneWatcher = newZoneWatcher;
		this.pollDelayMillis = newPollDelayMillis;
	}

	/**
	 * Returns the highest version that this instance has accepted or rejected.
	 * @return the version, 0 before the first document
	 */
	public long highestSeenVersion() {
		return this.highestSeenVersion;
	}

	/**
	 * Handles a failed read. The delay before the next one doubles with each failure, up
	 * to 2 seconds.
	 * @param now the current time
	 */
	public void readFailed(Moment now) {
		this.readPending = false;
		this.nextReadMonotonicMillis = now.monotonicMillis() + this.retryDelayMillis;
		this.retryDelayMillis = Math.min(this.retryDelayMillis * 2, MAX_RETRY_DELAY_MILLIS);
	}

	/**
	 * Returns the document in force.
	 * @return the document, empty before the first one was accepted
	 */
	public Optional<PublishedDocument> accepted() {
		return Optional.ofNullable(this.accepted);
	}

	/**
	 * Returns the most recently rejected document with its problems.
	 * @return the rejection, empty when no document was rejected
	 */
	public Optional<ConfigurationCheck.Rejected> rejected() {
		return Optional.ofNullable(this.rejected);
	}

	/**
	 * Returns the state for the operators' state dump.
	 * @return the versions and the problems of the last rejected document
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
