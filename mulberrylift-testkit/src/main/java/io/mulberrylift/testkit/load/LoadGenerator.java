package io.mulberrylift.testkit.load;

import java.io.IOException;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import io.mulberrylift.testkit.history.HistoryEvent;
import io.mulberrylift.testkit.history.HistoryWriter;

/**
 * Open-loop load generator: sends requests at the times of a Poisson process, independent
 * of earlier answers, and sends some keys again through a randomly chosen instance.
 *
 * <p>
 * For use by one thread. Requests are sent by a pool of at most {@value #MAX_CALLERS}
 * threads.
 * </p>
 */
public final class LoadGenerator {

	private static final int MAX_CALLERS = 2_000;

	private static final double RESEND_SHARE = 0.3;

	private static final long MAX_RESEND_DELAY_MILLIS = 800;

	private static final long DRAIN_SECONDS = 90;

	private final LoadPlan plan;

	private final Supplier<List<String>> addresses;

	private final HistoryWriter history;

	private final LoadStatistics statistics = new LoadStatistics();

	private final ConcurrentMap<String, LoadSend> sends = new ConcurrentHashMap<>();

	private final AtomicLong lastSendId = new AtomicLong();

	/**
	 * Creates a generator.
	 * @param plan what to send
	 * @param addresses supplies the caller addresses of the instances, read for each send
	 * @param history receives the events seen by callers
	 */
	public LoadGenerator(LoadPlan plan, Supplier<List<String>> addresses, HistoryWriter history) {
		this.plan = Objects.requireNonNull(plan, "plan");
		this.addresses = Objects.requireNonNull(addresses, "addresses");
		this.history = Objects.requireNonNull(history, "history");
	}

	/**
	 * Sends the load and waits up to {@value #DRAIN_SECONDS} s for the remaining answers.
	 * @return the results of the sends
	 * @throws IOException if the HTTP client cannot be closed
	 * @throws InterruptedException if the thread is interrupted
	 */
	public LoadStatistics run() throws IOException, InterruptedException {
		SplittableRandom random = new SplittableRandom(this.plan.seed());
		RequestMix mix = new RequestMix(this.plan, random.split());
		ExecutorService callers = Executors.newFixedThreadPool(MAX_CALLERS);
		try (LoadCaller caller = new LoadCaller()) {
			long startNanos = System.nanoTime();
			double dueMillis = 0;
			while (dueMillis < this.plan.durationMillis()) {
				long dueNanos = startNanos + TimeUnit.MICROSECONDS.toNanos((long) (dueMillis * 1_000));
				sleepUntil(dueNanos);
				submit(mix.next(), dueNanos, random, caller, callers);
				dueMillis += -Math.log(1 - random.nextDouble()) * 1_000 / this.plan.ratePerSecond();
			}
			callers.shutdown();
			callers.awaitTermination(DRAIN_SECONDS, TimeUnit.SECONDS);
		}
		return this.statistics;
	}

	/**
	 * Finds the address and times of a send.
	 * @param sendId identity of the send in the history
	 * @return the send, empty if the identity is unknown
	 */
	public Optional<LoadSend> findSend(String sendId) {
		return Optional.ofNullable(this.sends.get(sendId));
	}

	private void submit(LoadRequest request, long dueNanos, SplittableRandom random, LoadCaller caller,
			ExecutorService callers) {
		String address = pick(random);
		boolean resend = !request.idempotent() && random.nextDouble() < RESEND_SHARE;
		long delayMillis = random.nextLong(MAX_RESEND_DELAY_MILLIS);
		String resendAddress = pick(random);
		callers.execute(() -> send(address, request, dueNanos, caller));
		if (resend) {
			long resendNanos = dueNanos + TimeUnit.MILLISECONDS.toNanos(delayMillis);
			callers.execute(() -> {
				sleepQuietlyUntil(resendNanos);
				send(resendAddress, request, resendNanos, caller);
			});
		}
	}

	private String pick(SplittableRandom random) {
		List<String> known = this.addresses.get();
		return known.get(random.nextInt(known.size()));
	}

	private void send(String address, LoadRequest request, long dueNanos, LoadCaller caller) {
		String sendId = "send-" + this.lastSendId.incrementAndGet();
		long atEpochMillis = System.currentTimeMillis();
		this.sends.put(sendId, new LoadSend(address, atEpochMillis, atEpochMillis + request.timeoutMillis()));
		this.history.write(new HistoryEvent.Invoke(atEpochMillis, sendId, request.kind(), request.target(),
				request.fingerprint(), request.maxOutputTokens(), request.key(), request.idempotent(),
				atEpochMillis + request.timeoutMillis()));
		SendResult result = caller.send(address, request);
		this.history
			.write(new HistoryEvent.Answer(System.currentTimeMillis(), sendId, result.result(), result.textHash()));
		this.statistics.record(request, result, TimeUnit.NANOSECONDS.toMillis(result.firstTokenNanos() - dueNanos));
	}

	private static void sleepUntil(long nanos) throws InterruptedException {
		long waitNanos = nanos - System.nanoTime();
		if (waitNanos > 0) {
			TimeUnit.NANOSECONDS.sleep(waitNanos);
		}
	}

	private static void sleepQuietlyUntil(long nanos) {
		try {
			sleepUntil(nanos);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
