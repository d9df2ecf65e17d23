package io.mulberrylift.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

import io.mulberrylift.core.gossip.DemandFigure;

/**
 * Demand for the services by rank and workspace: that of this instance as it arrives, and
 * that of its peers by their figures.
 *
 * <p>
 * Not thread-safe; owned by the reducer. Subjects are hashes, so figures of parts or
 * workspaces that this instance does not know are kept but never asked for; at most
 * {@value #MAX_PEER_FIGURES} of each peer are. Figures expire {@value #FIGURE_TTL_MILLIS}
 * ms after they were received.
 * </p>
 */
final class DemandTable {

	/** Maximum number of figures that one message carries. */
	static final int MAX_PUBLISHED = 6;

	static final long FIGURE_TTL_MILLIS = 6000;

	private static final int MAX_PEER_FIGURES = 256;

	/** Maximum number of own subjects; those without demand are dropped at intervals. */
	private static final int MAX_OWN = 20_000;

	/** Demand below which a subject is neither published nor kept, in ms per second. */
	private static final double MIN_PER_SECOND = 1;

	private final Map<Key, Own> own = new HashMap<>();

	private final Map<String, Map<Key, Received>> peers = new HashMap<>();

	/** When the last message of each peer was received. */
	private final Map<String, Long> heardMillis = new HashMap<>();

	/**
	 * Returns the subject of all requests of a service.
	 * @param service the service
	 * @return a hash that is equal on all instances
	 */
	static int subject(String service) {
		return ("admission/" + service).hashCode();
	}

	/**
	 * Returns the subject of the requests of a workspace at a service.
	 * @param service the service
	 * @param workspace the workspace
	 * @return a hash that is equal on all instances
	 */
	static int subject(String service, String workspace) {
		return ("admission/" + service + "/" + workspace).hashCode();
	}

	void add(int subject, int rank, boolean total, double workMillis, long nowMillis) {
		if (this.own.size() >= MAX_OWN) {
			this.own.values().removeIf((each) -> each.rate.perSecond(nowMillis) < MIN_PER_SECOND);
		}
		if (this.own.size() < MAX_OWN) {
			this.own.computeIfAbsent(new Key(subject, rank), (key) -> new Own(total)).rate.add(workMillis, nowMillis);
		}
	}

	/**
	 * Records work that was refused and is expected to return.
	 * @param subject subject of the service
	 * @param rank its rank
	 * @param workMillis the work
	 * @param nowMillis the current time
	 */
	void addWaiting(int subject, int rank, double workMillis, long nowMillis) {
		Own known = this.own.get(new Key(subject, rank));
		if (known != null) {
			known.waiting.add(workMillis, nowMillis);
		}
	}

	void apply(String peer, List<DemandFigure> figures, long nowMillis) {
		this.heardMillis.put(peer, nowMillis);
		if (figures.isEmpty()) {
			return;
		}
		Map<Key, Received> known = this.peers.computeIfAbsent(peer, (name) -> new HashMap<>());
		if (known.size() + figures.size() > MAX_PEER_FIGURES) {
			known.clear();
		}
		figures.forEach((each) -> known.put(new Key(each.subjectHash(), each.rank()), new Received(each, nowMillis)));
	}

	void expire(long nowMillis) {
		this.peers.values()
			.forEach((known) -> known.values()
				.removeIf((each) -> nowMillis - each.receivedMillis() > FIGURE_TTL_MILLIS));
		this.peers.values().removeIf(Map::isEmpty);
		this.heardMillis.values().removeIf((heard) -> nowMillis - heard > FIGURE_TTL_MILLIS);
	}

	/**
	 * Returns the figures to tell peers: the totals of the services and the largest
	 * workspaces, those that were told longest ago first.
	 * @param nowMillis the current time
	 * @return at most {@value #MAX_PUBLISHED} figures
	 */
	List<DemandFigure> pollPublished(long nowMillis) {
		List<DemandFigure> figures = new ArrayList<>();
		this.own.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().rate.perSecond(nowMillis) >= MIN_PER_SECOND)
			.sorted(Comparator.comparingDouble((Map.Entry<Key, Own> entry) -> -entry.getValue().urgency(nowMillis))
				.thenComparingInt((entry) -> entry.getKey().subject()))
			.limit(MAX_PUBLISHED)
			.forEach((entry) -> {
				Own each = entry.getValue();
				each.publishedMillis = nowMillis;
				figures.add(new DemandFigure(entry.getKey().subject(), entry.getKey().rank(),
						Math.round(each.rate.perSecond(nowMillis)), Math.round(each.waitingMillis(nowMillis))));
			});
		return figures;
	}

	/**
	 * Returns the demand for a subject by rank, of all instances whose figures are known.
	 * @param subject the subject
	 * @param nowMillis the current time
	 * @return work in milliseconds per second
	 */
	Map<Integer, Double> byRank(int subject, long nowMillis) {
		Map<Integer, Double> demand = new TreeMap<>();
		this.own.forEach((key, each) -> {
			if (key.subject() == subject) {
				demand.merge(key.rank(), each.rate.perSecond(nowMillis), Double::sum);
			}
		});
		forEachReceived(subject, nowMillis,
				(figure) -> demand.merge(figure.rank(), (double) figure.workMillisPerSecond(), Double::sum));
		return demand;
	}

	/**
	 * Returns the work that is expected to return by rank.
	 * @param subject the subject
	 * @param nowMillis the current time
	 * @return work in milliseconds
	 */
	Map<Integer, Double> waitingByRank(int subject, long nowMillis) {
		Map<Integer, Double> waiting = new TreeMap<>();
		this.own.forEach((key, each) -> {
			if (key.subject() == subject) {
				waiting.merge(key.rank(), each.waitingMillis(nowMillis), Double::sum);
			}
		});
		forEachReceived(subject, nowMillis,
				(figure) -> waiting.merge(figure.rank(), (double) figure.waitingMillis(), Double::sum));
		return waiting;
	}

	double demand(int subject, int rank, long nowMillis) {
		Key key = new Key(subject, rank);
		Own known = this.own.get(key);
		double demand = (known != null) ? known.rate.perSecond(nowMillis) : 0;
		for (Map<Key, Received> peer : this.peers.values()) {
			Received received = peer.get(key);
			if (received != null && nowMillis - received.receivedMillis() <= FIGURE_TTL_MILLIS) {
				demand += received.figure().workMillisPerSecond();
			}
		}
		return demand;
	}

	/**
	 * Returns the number of instances whose figures are known, also those that have no
	 * demand.
	 * @param nowMillis the current time
	 * @return the number, including this instance
	 */
	int reporters(long nowMillis) {
		return 1 + (int) this.heardMillis.values()
			.stream()
			.filter((heard) -> nowMillis - heard <= FIGURE_TTL_MILLIS)
			.count();
	}

	long oldestFigureMillis(int subject, long nowMillis) {
		long oldest = 0;
		for (Map<Key, Received> peer : this.peers.values()) {
			for (Map.Entry<Key, Received> entry : peer.entrySet()) {
				long ageMillis = nowMillis - entry.getValue().receivedMillis();
				if (entry.getKey().subject() == subject && ageMillis <= FIGURE_TTL_MILLIS) {
					oldest = Math.max(oldest, ageMillis);
				}
			}
		}
		return oldest;
	}

	private void forEachReceived(int subject, long nowMillis, Consumer<DemandFigure> action) {
		for (Map<Key, Received> peer : this.peers.values()) {
			peer.forEach((key, received) -> {
				if (key.subject() == subject && nowMillis - received.receivedMillis() <= FIGURE_TTL_MILLIS) {
					action.accept(received.figure());
				}
			});
		}
	}

	private record Key(int subject, int rank) {

		// Generated methods of records link method handles at each start; these do not.

		@Override
		public boolean equals(Object other) {
			return other instanceof Key key && this.subject == key.subject && this.rank == key.rank;
		}

		@Override
		public int hashCode() {
			return 31 * this.subject + this.rank;
		}

	}

	private record Received(DemandFigure figure, long receivedMillis) {
	}

	private static final class Own {

		private static final double TOTAL_FACTOR = 1000;

		private static final double MILLIS_PER_SECOND = 1000;

		private final boolean total;

		private final DemandRate rate = new DemandRate();

		private final DemandRate waiting = new DemandRate();

		private long publishedMillis = Long.MIN_VALUE / 2;

		Own(boolean total) {
			this.total = total;
		}

		private double waitingMillis(long nowMillis) {
			// Refused work returns within about the period of the rate.
			return this.waiting.perSecond(nowMillis) * DemandRate.PERIOD_MILLIS / MILLIS_PER_SECOND;
		}

		private double urgency(long nowMillis) {
			double age = Math.min(FIGURE_TTL_MILLIS, nowMillis - this.publishedMillis);
			return this.rate.perSecond(nowMillis) * age * ((this.total) ? TOTAL_FACTOR : 1);
		}

	}

}
