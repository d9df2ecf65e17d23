package io.mulberrylift.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Predicate;

import io.mulberrylift.core.gossip.DemandFigure;

/**
 * Load of a service in virtual time: instances with a control each, endpoints that
 * process their requests one after the other, and callers that return once after a
 * refusal.
 */
final class ScarceLoad {

	static final int SLOTS = 8;

	private static final long FIGURES_INTERVAL_MILLIS = 1200;

	private static final double ADMISSION_SHARE = 0.8;

	private final SplittableRandom random;

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::number));

	private final List<AdmissionControl> instances = new ArrayList<>();

	private final List<Server> servers = new ArrayList<>();

	private final boolean withControl;

	final List<Asked> asked = new ArrayList<>();

	/** Whether figures of peers arrive. */
	boolean figuresArrive = true;

	long refusedWhileNotBusy;

	private long nextNumber;

	private long endMillis;

	ScarceLoad(int instances, int servers, long seed, boolean withControl) {
		this.random = new SplittableRandom(seed);
		this.withControl = withControl;
		for (int index = 0; index < instances; index++) {
			AdmissionControl control = new AdmissionControl(new SplittableRandom(seed * 1000 + index));
			control.setInstancePart(1.0 / instances);
			this.instances.add(control);
		}
		for (int index = 0; index < servers; index++) {
			this.servers.add(new Server());
		}
	}

	/**
	 * Adds requests of a kind that arrive at random times from the start on.
	 */
	void add(Kind kind, String workspace, double perSecond, long fromMillis, long untilMillis) {
		double at = fromMillis;
		while (true) {
			at += -Math.log(1 - this.random.nextDouble()) * 1000 / perSecond;
			if (at >= untilMillis) {
				this.endMillis = Math.max(this.endMillis, untilMillis);
				return;
			}
			// A geometric spread of sizes around the mean of the kind.
			double cost = kind.costMillis() * Math.exp(kind.spread() * (this.random.nextDouble() * 2 - 1));
			Asked each = new Asked(kind, workspace, cost, (long) at, this.random.nextLong());
			this.asked.add(each);
			schedule((long) at, each);
		}
	}

	private void schedule(long atMillis, Asked each) {
		this.events.add(new Event(atMillis, this.nextNumber++, each));
	}

	ScarceLoad play(List<String> workspaces) {
		this.instances.forEach((each) -> each.setWorkspaces(workspaces));
		for (long at = FIGURES_INTERVAL_MILLIS; at < this.endMillis; at += FIGURES_INTERVAL_MILLIS) {
			schedule(at, null);
		}
		while (!this.events.isEmpty()) {
			Event event = this.events.poll();
			if (event.asked() == null) {
				exchange(event.atMillis());
			}
			else {
				arrive(event.asked(), event.atMillis());
			}
		}
		return this;
	}

	private void exchange(long nowMillis) {
		for (int index = 0; index < this.instances.size(); index++) {
			this.instances.get(index).expire(nowMillis);
			List<DemandFigure> figures = this.instances.get(index).pollPublished(nowMillis);
			for (int peer = 0; peer < this.instances.size(); peer++) {
				if (peer != index && this.figuresArrive) {
					this.instances.get(peer).apply("instance-" + index, figures, nowMillis);
				}
			}
		}
	}

	private ServiceRoom room(long nowMillis) {
		int inUse = 0;
		double backlog = 0;
		boolean waiting = false;
		for (Server server : this.servers) {
			int count = server.requests(nowMillis);
			inUse += Math.min(SLOTS, count);
			waiting |= count > SLOTS;
			backlog += server.backlogMillis(nowMillis);
		}
		return new ServiceRoom(this.servers.size(), backlog, inUse, SLOTS * this.servers.size(), waiting);
	}

	private void arrive(Asked each, long nowMillis) {
		AdmissionControl instance = this.instances.get(this.random.nextInt(this.instances.size()));
		Server server = this.servers.stream()
			.min(Comparator.comparingDouble((candidate) -> candidate.backlogMillis(nowMillis)))
			.orElseThrow();
		double expected = server.backlogMillis(nowMillis) + each.costMillis;
		long remaining = each.firstMillis + each.kind.deadlineMillis() - nowMillis;
		ServiceRoom room = room(nowMillis);
		AdmissionRequest request = new AdmissionRequest("s", each.kind.name(), each.workspace, each.kind.rank(),
				each.costMillis, each.costMillis, expected, each.kind.targetMillis(), remaining, each.fingerprint);
		each.attempts++;
		AdmissionDecision decision = (this.withControl) ? instance.decide(request, room, nowMillis)
				: AdmissionDecision.ADMIT;
		if (decision instanceof AdmissionDecision.Refuse refuse) {
			this.refusedWhileNotBusy += room.isBusy() ? 0 : 1;
			comeBack(each, refuse.retryAfterMillis(), remaining, nowMillis);
		}
		else if (expected > ADMISSION_SHARE * remaining) {
			Optional<Long> after = (this.withControl) ? instance.refusedElsewhere(request, room, nowMillis)
					: Optional.empty();
			comeBack(each, after.orElse(300 + this.random.nextLong(600)), remaining, nowMillis);
		}
		else {
			server.add(each.costMillis, nowMillis);
			each.servedMillis = nowMillis + (long) expected;
		}
	}

	private void comeBack(Asked each, long afterMillis, long remainingMillis, long nowMillis) {
		each.refusals++;
		each.lastReturnMillis = afterMillis;
		if (each.attempts < 2) {
			schedule(nowMillis + Math.min(afterMillis, remainingMillis / 3), each);
		}
	}

	double served(Predicate<Asked> which) {
		return share(which, (each) -> each.servedMillis > 0);
	}

	double inTime(Predicate<Asked> which) {
		return share(which,
				(each) -> each.servedMillis > 0 && each.servedMillis - each.firstMillis <= each.kind.targetMillis());
	}

	double share(Predicate<Asked> which, Predicate<Asked> good) {
		long all = this.asked.stream().filter(which).count();
		return (all == 0) ? 1 : (double) this.asked.stream().filter(which).filter(good).count() / all;
	}

	record Kind(String name, int rank, double costMillis, double spread, long targetMillis, long deadlineMillis) {
	}

	static final class Asked {

		final Kind kind;

		final String workspace;

		final double costMillis;

		final long firstMillis;

		final long fingerprint;

		int attempts;

		int refusals;

		long lastReturnMillis;

		long servedMillis;

		Asked(Kind kind, String workspace, double costMillis, long firstMillis, long fingerprint) {
			this.kind = kind;
			this.workspace = workspace;
			this.costMillis = costMillis;
			this.firstMillis = firstMillis;
			this.fingerprint = fingerprint;
		}

	}

	private record Event(long atMillis, long number, Asked asked) {
	}

	private static final class Server {

		private final List<Double> ends = new ArrayList<>();

		private double freeMillis;

		double backlogMillis(long nowMillis) {
			return Math.max(0, this.freeMillis - nowMillis);
		}

		int requests(long nowMillis) {
			this.ends.removeIf((end) -> end <= nowMillis);
			return this.ends.size();
		}

		void add(double costMillis, long nowMillis) {
			this.freeMillis = Math.max(this.freeMillis, nowMillis) + costMillis;
			this.ends.add(this.freeMillis);
		}

	}

}
