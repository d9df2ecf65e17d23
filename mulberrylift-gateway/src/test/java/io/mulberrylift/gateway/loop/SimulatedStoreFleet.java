package io.mulberrylift.gateway.loop;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;

import io.mulberrylift.core.forwarding.Gateway;
import io.mulberrylift.core.forwarding.GatewayIdentity;
import io.mulberrylift.core.forwarding.RetryBounds;
import io.mulberrylift.core.gossip.InstanceDigest;
import io.mulberrylift.core.gossip.Membership;
import io.mulberrylift.core.gossip.StoreKnowledge;
import io.mulberrylift.core.gossip.StoreReaderChoice;
import io.mulberrylift.core.gossip.StoreReaders;
import io.mulberrylift.core.gossip.StoreReading;
import io.mulberrylift.core.gossip.StoreRevision;
import io.mulberrylift.core.gossip.StoreRole;
import io.mulberrylift.gateway.http.NetAddress;
import io.mulberrylift.gateway.peer.DigestCodec;
import io.mulberrylift.gateway.peer.PeerLink;

/**
 * Instances of several availability zones in virtual time with their gossip, and a store
 * of which only the revision is simulated. Readers poll it at the times at which a watch
 * would answer; the others read what a peer has some time after they know that it is
 * ahead.
 */
final class SimulatedStoreFleet {

	private static final int MAX_PEER_BYTES_PER_SECOND = 4096;

	private static final long TICK_MILLIS = 20;

	private static final long VIEW_MILLIS = 100;

	private static final long NETWORK_MILLIS = 2;

	/** Time from the answer of a watch to the next one. */
	private static final long GATHER_MILLIS = 500;

	/** Time from the knowledge of a newer view to its receipt. */
	private static final long PEER_READ_MILLIS = 300;

	/** Time after which a watch that gets no answer is given up. */
	private static final long WATCH_TIMEOUT_MILLIS = 3500;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));

	private final Map<String, Instance> instances = new LinkedHashMap<>();

	private final SplittableRandom random;

	private final int zones;

	private long nowMillis;

	private long eventNumber;

	private long storeRevision = 1;

	private IntPredicate turnedAway = (index) -> false;

	private int cutZone = -1;

	SimulatedStoreFleet(int instances, int zones, long seed) {
		this.zones = zones;
		this.random = new SplittableRandom(seed);
		for (int index = 0; index < instances; index++) {
			Instance instance = new Instance(index);
			this.instances.put(instance.address, instance);
			at(this.random.nextLong(300), instance::tick);
		}
	}

	private static NetAddress address(int index) {
		return new NetAddress("10.0." + index / 200 + "." + (1 + index % 200), 7340);
	}

	long changeStore() {
		return ++this.storeRevision;
	}

	void turnAway(IntPredicate instances) {
		this.turnedAway = instances;
	}

	void cutZone(int zone, boolean cut) {
		this.cutZone = (cut) ? zone : -1;
	}

	void endReaders(int zone) {
		List.copyOf(this.instances.values())
			.stream()
			.filter((each) -> each.zone == zone && each.reading.reads())
			.forEach((each) -> {
				each.ended = true;
				this.instances.remove(each.address);
			});
	}

	int readers() {
		return (int) this.instances.values().stream().filter((each) -> each.reading.reads()).count();
	}

	int instancesBehind(long revision) {
		return (int) this.instances.values().stream().filter((each) -> each.revision < revision).count();
	}

	void run(long millis) {
		long endMillis = this.nowMillis + millis;
		while (!this.events.isEmpty() && this.events.peek().atMillis() <= endMillis) {
			Event event = this.events.poll();
			this.nowMillis = event.atMillis();
			event.action().run();
		}
		this.nowMillis = endMillis;
	}

	private void at(long millis, Runnable action) {
		this.events.add(new Event(millis, this.eventNumber++, action));
	}

	private boolean separated(int zone, int other) {
		return zone != other && (zone == this.cutZone || other == this.cutZone);
	}

	private record Event(long atMillis, long number, Runnable action) {
	}

	private final class Instance {

		private final int index;

		private final int zone;

		private final String address;

		private final Membership membership;

		private final GossipScheduler gossip;

		private final StoreReaderChoice choice = new StoreReaderChoice();

		private StoreReaders readers = new StoreReaders(false, 0, StoreKnowledge.UNCONFIRMED_MILLIS);

		private StoreReading reading = StoreReading.PRIMARY;

		private long revision;

		private long answerMillis = Long.MIN_VALUE / 2;

		private long nextCallMillis;

		private long viewMillis = Long.MIN_VALUE / 2;

		private boolean peerReadInProgress;

		private boolean ended;

		Instance(int index) {
			this.index = index;
			this.zone = index % SimulatedStoreFleet.this.zones;
			NetAddress self = address(index);
			this.address = self.toString();
			GatewayIdentity identity = new GatewayIdentity(this.address, "zone-" + this.zone,
					new RetryBounds(0.2, 10_000, 100), 0, 4000);
			List<String> seeds = IntStream.range(0, 3).mapToObj((seed) -> address(seed).toString()).toList();
			this.membership = new Membership(this.address, "zone-" + this.zone,
					SimulatedStoreFleet.this.random.split());
			this.membership.setSeeds(seeds);
			this.gossip = new GossipScheduler(
					new GatewaySettings(identity, self, self, self, self, seeds, MAX_PEER_BYTES_PER_SECOND, 1000),
					new Gateway(identity, SimulatedStoreFleet.this.random.split()), this.membership, this::send,
					this::storeRevision, this::knowledge);
		}

		private StoreRevision storeRevision() {
			return new StoreRevision(0, this.revision);
		}

		private StoreKnowledge knowledge(long now) {
			StoreKnowledge own = new StoreKnowledge(StoreRole.FOLLOWING, StoreKnowledge.UNCONFIRMED_MILLIS);
			if (this.reading.reads()) {
				long ageMillis = now - this.answerMillis;
				own = (ageMillis <= WATCH_TIMEOUT_MILLIS) ? new StoreKnowledge(StoreRole.READING, ageMillis)
						: new StoreKnowledge(StoreRole.FAILING, StoreKnowledge.UNCONFIRMED_MILLIS);
			}
			return own.confirmedBy(this.readers.confirmedAgeMillis());
		}

		private int send(InstanceDigest digest, List<String> targets, int maxBytes) {
			byte[] message = DigestCodec.encode(digest, maxBytes);
			for (String target : targets) {
				at(SimulatedStoreFleet.this.nowMillis + NETWORK_MILLIS, () -> deliver(target, message));
			}
			return targets.size() * (message.length + PeerLink.DATAGRAM_OVERHEAD_BYTES);
		}

		private void deliver(String target, byte[] message) {
			Instance receiver = SimulatedStoreFleet.this.instances.get(target);
			if (receiver == null || separated(this.zone, receiver.zone)) {
				return;
			}
			try {
				receiver.membership.receive(DigestCodec.decode(this.address, message),
						SimulatedStoreFleet.this.nowMillis);
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}

		private void tick() {
			if (this.ended) {
				return;
			}
			long now = SimulatedStoreFleet.this.nowMillis;
			if (this.reading.reads() && now >= this.nextCallMillis) {
				callStore(now);
			}
			if (now - this.viewMillis >= VIEW_MILLIS) {
				this.viewMillis = now;
				updateReading(now);
				readFromPeers(now);
			}
			this.gossip.tick(now);
			at(now + TICK_MILLIS, this::tick);
		}

		private void callStore(long now) {
			this.nextCallMillis = now + ((now - this.answerMillis > WATCH_TIMEOUT_MILLIS)
					? this.reading.maxRetryDelayMillis() : GATHER_MILLIS);
			boolean answered = !SimulatedStoreFleet.this.turnedAway.test(this.index)
					&& this.zone != SimulatedStoreFleet.this.cutZone;
			if (answered) {
				this.answerMillis = now;
				advance(SimulatedStoreFleet.this.storeRevision);
			}
		}

		private void advance(long read) {
			if (read > this.revision) {
				this.revision = read;
				this.gossip.requestFullState();
			}
		}

		private void updateReading(long now) {
			this.readers = this.membership.storeReaders(0, storeRevision(), now);
			StoreReading next = this.choice.update(this.readers, this.revision > 0, now);
			if (next != this.reading) {
				this.reading = next;
				this.nextCallMillis = now;
				this.gossip.requestFullState();
			}
		}

		private void readFromPeers(long now) {
			List<String> ahead = this.membership.aheadOf(0, storeRevision(), now);
			if (ahead.isEmpty() || this.peerReadInProgress) {
				return;
			}
			Instance peer = SimulatedStoreFleet.this.instances.get(ahead.get((int) (now % ahead.size())));
			this.peerReadInProgress = true;
			at(now + PEER_READ_MILLIS, () -> {
				this.peerReadInProgress = false;
				if (peer != null && !separated(this.zone, peer.zone)) {
					advance(peer.revision);
				}
			});
		}

	}

}
