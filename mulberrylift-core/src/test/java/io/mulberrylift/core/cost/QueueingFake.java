package io.mulberrylift.core.cost;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiFunction;
import java.util.function.Function;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;

import io.mulberrylift.core.forwarding.ForwardEndpoint;
import io.mulberrylift.core.gossip.CostFigure;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.placement.EndpointWork;
import io.mulberrylift.core.placement.LeastLoadedPlacement;
import io.mulberrylift.core.placement.ObservedLoad;
import io.mulberrylift.core.placement.RequestWork;
import io.mulberrylift.core.placement.WorkTable;

/**
 * Endpoints with slots and a FIFO queue each, in virtual time, and instances that place a
 * Poisson stream of requests on them.
 */
final class QueueingFake {

	/** Time that ended requests wait to be told unless one is placed. */
	private static final long GOSSIP_MILLIS = 120;

	private static final long FULL_STATE_MILLIS = 1200;

	private static final long WARM_UP_MILLIS = 10_000;

	private final Load load;

	private final Policy policy;

	private final SplittableRandom random;

	private final List<Instance> instances = new ArrayList<>();

	private final List<Server> servers = new ArrayList<>();

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::order));

	private final List<Job> finished = new ArrayList<>();

	private long order;

	QueueingFake(Load load, Policy policy, long seed) {
		this.load = load;
		this.policy = policy;
		this.random = new SplittableRandom(seed);
		for (int index = 0; index < load.endpoints(); index++) {
			this.servers.add(new Server(index, load.slots()));
		}
		List<ForwardEndpoint> listed = this.servers.stream().map((server) -> server.endpoint).toList();
		for (int index = 0; index < load.instances(); index++) {
			this.instances.add(new Instance(new SplittableRandom(seed * 31 + index)));
			this.instances.get(index).costs.endpointsListed(listed);
		}
	}

	/**
	 * Plays the load.
	 */
	Result run() {
		double perMilli = this.load.utilization() * this.load.endpoints() * this.load.slots() / this.load.meanMillis();
		// Arrivals are drawn apart, so that all policies get the same ones.
		SplittableRandom arrivals = this.random.split();
		double atMillis = 0;
		for (int index = 0; atMillis < this.load.lengthMillis(); index++) {
			atMillis += -Math.log(1 - arrivals.nextDouble()) / perMilli;
			Kind kind = this.load.kinds().get(index % this.load.kinds().size());
			Job job = new Job(index, kind, (long) atMillis, kind.cost().apply(arrivals),
					this.instances.get(arrivals.nextInt(this.instances.size())));
			schedule((long) atMillis, () -> arrive(job));
		}
		for (long millis = 0; millis < this.load.lengthMillis(); millis += GOSSIP_MILLIS) {
			long now = millis;
			schedule(now, () -> gossip(now));
		}
		while (!this.events.isEmpty()) {
			this.events.poll().action().run();
		}
		return Result.of(this.finished.stream().filter((job) -> job.arrivalMillis >= WARM_UP_MILLIS).toList());
	}

	private void schedule(long atMillis, Runnable action) {
		this.events.add(new Event(atMillis, this.order++, action));
	}

	private void arrive(Job job) {
		Server server = this.servers.get(this.policy.choose(this, job));
		job.server = server;
		server.accepted(job, job.arrivalMillis);
		tellChanges(job.instance, job.arrivalMillis);
	}

	private void gossip(long nowMillis) {
		for (Instance from : this.instances) {
			tellChanges(from, nowMillis);
			if (nowMillis % FULL_STATE_MILLIS == 0) {
				List<CostFigure> figures = from.costs.pollPublished(8);
				peersOf(from, nowMillis).forEach((to) -> to.costs.applyFromPeer(figures, nowMillis));
			}
		}
	}

	/** Tells peers placed requests at once, and those that have ended with them. */
	private void tellChanges(Instance from, long nowMillis) {
		Map<Long, RequestWork> placed = new HashMap<>(from.work.ownWork());
		Set<Long> changed = from.work.drainChanged();
		placed.keySet().retainAll(changed);
		List<Long> ended = changed.stream().filter((id) -> !placed.containsKey(id)).toList();
		for (Instance to : peersOf(from, nowMillis)) {
			to.work.applyPeerChanges("peer-" + this.instances.indexOf(from), placed, ended, nowMillis);
		}
	}

	private List<Instance> peersOf(Instance from, long nowMillis) {
		return (nowMillis < this.load.peersLostUntilMillis()) ? List.of()
				: this.instances.stream().filter((to) -> to != from).toList();
	}

	long sentTo(int server, long fromMillis, long untilMillis) {
		return this.finished.stream()
			.filter((job) -> job.server.index == server && job.arrivalMillis >= fromMillis
					&& job.arrivalMillis < untilMillis)
			.count();
	}

	/** How an endpoint is chosen. */
	enum Policy {

		/** Least requests in progress per slot. */
		TODAY {

			@Override
			int choose(QueueingFake fake, Job job) {
				Instance instance = job.instance;
				ForwardEndpoint chosen = instance.today.place(fake.view(instance), "z").orElseThrow().endpoint();
				instance.put(job, chosen, 0, Long.MAX_VALUE / 4);
				return fake.index(chosen);
			}

		},

		LEARNED {

			@Override
			int choose(QueueingFake fake, Job job) {
				Instance instance = job.instance;
				long now = job.arrivalMillis;
				CostSubject subject = CostSubject.of("service", job.kind.route());
				ExpectedCompletionPlacement.Choice choice = instance.learned
					.place(fake.view(instance), "z", subject, now)
					.orElseThrow();
				ForwardEndpoint chosen = choice.placement().endpoint();
				instance.put(job, chosen, now + (long) choice.estimate().waitMillis(),
						now + (long) choice.estimate().totalMillis());
				instance.costs.sent(job.id, chosen, subject, choice.estimate(), now);
				return fake.index(chosen);
			}

		},

		/** Knows the costs of all requests and the speeds of all endpoints. */
		ORACLE {

			@Override
			int choose(QueueingFake fake, Job job) {
				return IntStream.range(0, fake.servers.size())
					.boxed()
					.min(Comparator.comparingDouble((Integer index) -> fake.servers.get(index).completes(job)))
					.orElseThrow();
			}

		};

		abstract int choose(QueueingFake fake, Job job);

	}

	private List<EndpointWork> view(Instance instance) {
		return instance.work.view(this.servers.stream().map((server) -> server.endpoint).toList());
	}

	private int index(ForwardEndpoint endpoint) {
		return endpoint.port() - 1;
	}

	/**
	 * A load to play.
	 *
	 * @param instances number of instances
	 * @param endpoints number of endpoints
	 * @param slots slots of each
	 * @param utilization share of the slots that the requests take at full speed
	 * @param kinds kinds of requests, equally frequent
	 * @param slowness factor of all times by endpoint and time
	 * @param lengthMillis length
	 * @param peersLostUntilMillis until when nothing is heard from peers
	 */
	record Load(int instances, int endpoints, int slots, double utilization, List<Kind> kinds,
			BiFunction<Integer, Long, Double> slowness, long lengthMillis, long peersLostUntilMillis) {

		double meanMillis() {
			return this.kinds.stream().mapToDouble(Kind::meanMillis).average().orElseThrow();
		}

	}

	/**
	 * A kind of requests.
	 *
	 * @param route the route
	 * @param aimMillis time within which an answer is on time
	 * @param meanMillis mean cost
	 * @param cost draws a cost
	 */
	record Kind(String route, long aimMillis, double meanMillis, Function<RandomGenerator, Double> cost) {
	}

	/**
	 * What the callers saw.
	 *
	 * @param p99Millis 99th percentile of the time until the answer
	 * @param onTime share of answers on time
	 */
	record Result(double p99Millis, double onTime) {

		static Result of(List<Job> jobs) {
			double[] millis = jobs.stream().mapToDouble((job) -> job.endMillis - job.arrivalMillis).sorted().toArray();
			double onTime = jobs.stream()
				.filter((job) -> job.endMillis - job.arrivalMillis <= job.kind.aimMillis())
				.count() / (double) jobs.size();
			return new Result(millis[(int) (0.99 * millis.length)], onTime);
		}

		static Result mean(List<Result> results) {
			return new Result(results.stream().mapToDouble(Result::p99Millis).average().orElseThrow(),
					results.stream().mapToDouble(Result::onTime).average().orElseThrow());
		}

	}

	private record Event(long atMillis, long order, Runnable action) {
	}

	/** An instance with its knowledge. */
	private static final class Instance {

		final WorkTable work = new WorkTable();

		final LearnedCosts costs = new LearnedCosts();

		final LeastLoadedPlacement today;

		final ExpectedCompletionPlacement learned;

		Instance(RandomGenerator random) {
			this.today = new LeastLoadedPlacement(random);
			this.learned = new ExpectedCompletionPlacement(this.costs, random);
		}

		void put(Job job, ForwardEndpoint chosen, long startMillis, long endMillis) {
			this.work.put(job.id, new RequestWork(false, 0, 0, 0, 0, startMillis, endMillis, 1,
					WorkTable.hash(chosen.id()), List.of()));
		}

	}

	/** A request. */
	private static final class Job {

		final long id;

		final Kind kind;

		final long arrivalMillis;

		final double costMillis;

		final Instance instance;

		Server server;

		long endMillis;

		Job(long id, Kind kind, long arrivalMillis, double costMillis, Instance instance) {
			this.id = id;
			this.kind = kind;
			this.arrivalMillis = arrivalMillis;
			this.costMillis = costMillis;
			this.instance = instance;
		}

	}

	/** An endpoint. Since its queue is FIFO, the end of a request is known at arrival. */
	private final class Server {

		final int index;

		final ForwardEndpoint endpoint;

		final double[] slotFreeMillis;

		final Map<Instance, Integer> inProgress = new HashMap<>();

		int requests;

		Server(int index, int slots) {
			this.index = index;
			this.endpoint = new ForwardEndpoint(new EndpointId("e" + index), "service", "10.0.0.1", index + 1, "z",
					slots, false, 0);
			this.slotFreeMillis = new double[slots];
		}

		double completes(Job job) {
			double start = Math.max(job.arrivalMillis, Arrays.stream(this.slotFreeMillis).min().orElseThrow());
			return start + job.costMillis * QueueingFake.this.load.slowness().apply(this.index, (long) start);
		}

		void accepted(Job job, long nowMillis) {
			double end = completes(job);
			int first = IntStream.range(0, this.slotFreeMillis.length)
				.boxed()
				.min(Comparator.comparingDouble((Integer slot) -> this.slotFreeMillis[slot]))
				.orElseThrow();
			this.slotFreeMillis[first] = end;
			this.requests++;
			job.endMillis = Math.max(nowMillis + 1, Math.round(end));
			schedule(job.endMillis, () -> {
				int running = Math.min(this.requests, this.slotFreeMillis.length);
				ObservedLoad reported = new ObservedLoad(running, this.requests - running, this.slotFreeMillis.length);
				job.instance.costs.loadReported(this.endpoint, reported, job.endMillis);
				this.requests--;
				job.instance.costs.completed(job.id, job.endMillis);
				job.instance.work.remove(job.id);
				QueueingFake.this.finished.add(job);
			});
		}

	}

}
