package io.mulberrylift.gateway.loop;

import java.util.Objects;

import io.mulberrylift.core.gossip.Membership;
import io.mulberrylift.core.gossip.StoreKnowledge;
import io.mulberrylift.core.gossip.StoreReaderChoice;
import io.mulberrylift.core.gossip.StoreReaders;
import io.mulberrylift.core.gossip.StoreReading;
import io.mulberrylift.core.gossip.StoreRevision;
import io.mulberrylift.gateway.logging.EventLog;

/**
 * Lets this instance read the platform's store itself or follow its peers, as
 * {@link StoreReaderChoice} decides from what is known of the peers.
 *
 * <p>
 * Not thread-safe; confined to the event loop.
 * </p>
 */
final class StoreReadingUpdater {

	private final Membership membership;

	private final PlatformView platform;

	private final EventLog log;

	private final StoreReaderChoice choice = new StoreReaderChoice();

	private StoreReaders readers = new StoreReaders(false, 0, StoreKnowledge.UNCONFIRMED_MILLIS);

	private StoreReading reading = StoreReading.PRIMARY;

	StoreReadingUpdater(Membership membership, PlatformView platform, EventLog log) {
		this.membership = Objects.requireNonNull(membership, "membership");
		this.platform = Objects.requireNonNull(platform, "platform");
		this.log = Objects.requireNonNull(log, "log");
	}

	/**
	 * Updates what is known of the peers, and begins or ends to read the store.
	 * @param configurationVersion newest configuration of this instance
	 * @param now the current time
	 * @return whether reading began or ended, which peers should know soon
	 */
	boolean update(long configurationVersion, long now) {
		StoreRevision revision = this.platform.revision();
		this.readers = this.membership.storeReaders(configurationVersion, revision, now);
		StoreReading next = this.choice.update(this.readers, !revision.equals(StoreRevision.NONE), now);
		if (next == this.reading) {
			return false;
		}
		this.log.write("store-reading", "before", this.reading, "outcome", next, "readers-ahead",
				this.readers.instancesAhead(), "confirmed-age-millis", this.readers.confirmedAgeMillis(), "sharing",
				this.readers.sharing(), "revision", revision);
		this.reading = next;
		this.platform.setReading(next);
		return true;
	}

	/**
	 * Returns what peers are told of how this instance learns of changes.
	 * @param now the current time
	 * @return the knowledge, with the latest answer to a peer that its view accounts for
	 */
	StoreKnowledge knowledge(long now) {
		return this.platform.knowledge(now).confirmedBy(this.readers.confirmedAgeMillis());
	}

}
