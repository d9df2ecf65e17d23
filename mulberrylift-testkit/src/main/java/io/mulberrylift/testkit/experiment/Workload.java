package io.mulberrylift.testkit.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import io.mulberrylift.core.model.RequestSpec;

/**
 * Generates requests: Poisson arrivals with a burst in every minute, log-normal prompt
 * lengths with one in fifty above 100,000 tokens, ten workspaces of different size, and
 * prefixes that are shared by prompts of a workspace. Equal seeds give equal requests.
 */
final class Workload {

	private static final long MICROS_PER_SECOND = 1_000_000;

	private static final long BURST_PERIOD_SECONDS = 60;

	private static final long BURST_SECONDS = 6;

	private static final double BURST_FACTOR = 2.5;

	private static final double LONG_SHARE = 0.02;

	private static final int MIN_TOKENS = 1_000;

	private static final int LONG_TOKENS = 100_000;

	private static final int MAX_TOKENS = 1_000_000;

	private static final double MEDIAN_TOKENS = 1_500;

	private static final double SIGMA = 1.2;

	private static final double LONG_SIGMA = 0.85;

	private static final int TEMPLATES = 4;

	private static final double SHARED_DOCUMENT_SHARE = 0.25;

	private final Random random;

	private final FleetShape shape;

	Workload(FleetShape shape, long seed) {
		this.shape = shape;
		this.random = new Random(seed);
	}

	/**
	 * Generates the requests of a time span.
	 * @param requestsPerSecond mean request rate
	 * @param durationSeconds length of the time span in seconds
	 * @return the requests in the order of their send times
	 */
	List<Arrival> generate(double requestsPerSecond, long durationSeconds) {
		List<Arrival> arrivals = new ArrayList<>();
		double seconds = 0;
		while (true) {
			seconds += -Math.log(1 - this.random.nextDouble()) / (requestsPerSecond * rateFactor(seconds));
			if (seconds >= durationSeconds) {
				return arrivals;
			}
			arrivals.add(next(arrivals.size() + 1, Math.round(seconds * MICROS_PER_SECOND)));
		}
	}

	private static double rateFactor(double seconds) {
		double quietFactor = (BURST_PERIOD_SECONDS - BURST_FACTOR * BURST_SECONDS)
				/ (BURST_PERIOD_SECONDS - BURST_SECONDS);
		return (seconds % BURST_PERIOD_SECONDS < BURST_SECONDS) ? BURST_FACTOR : quietFactor;
	}

	private Arrival next(long id, long sendMicros) {
		int workspace = nextWorkspace();
		int promptTokens = nextPromptTokens();
		int answerTokens = nextAnswerTokens(WorkProfile.of(promptTokens));
		long[] blocks = nextBlocks(id, workspace, promptTokens);
		return new Arrival(id, sendMicros, this.random.nextInt(this.shape.entries()), workspace, promptTokens,
				answerTokens, blocks);
	}

	private int nextWorkspace() {
		double position = this.random.nextDouble();
		return (int) (FleetShape.WORKSPACES * position * position * position);
	}

	private int nextPromptTokens() {
		if (this.random.nextDouble() < LONG_SHARE) {
			double tokens = LONG_TOKENS * Math.exp(LONG_SIGMA * Math.abs(this.random.nextGaussian()));
			return (int) Math.min(MAX_TOKENS, tokens + 1);
		}
		double tokens = MIN_TOKENS + MEDIAN_TOKENS * Math.exp(SIGMA * this.random.nextGaussian());
		return (int) Math.min(LONG_TOKENS, tokens);
	}

	private int nextAnswerTokens(WorkProfile profile) {
		double median = profile.maxOutputTokens() / 4.0;
		double tokens = median * Math.exp(0.6 * this.random.nextGaussian());
		return (int) Math.max(8, Math.min(profile.maxOutputTokens(), tokens));
	}

	private long[] nextBlocks(long id, int workspace, int promptTokens) {
		long[] blocks = new long[promptTokens / RequestSpec.PREFIX_BLOCK_TOKENS];
		boolean sharesDocument = this.random.nextDouble() < SHARED_DOCUMENT_SHARE;
		int shared = sharesDocument ? blocks.length / 2 : 1;
		long sharedKey = key(workspace, this.random.nextInt(TEMPLATES),
				sharesDocument ? promptTokens / LONG_TOKENS : 0);
		for (int i = 0; i < blocks.length; i++) {
			blocks[i] = (i < shared) ? mix(sharedKey, i) : mix(id << Integer.SIZE, i);
		}
		return blocks;
	}

	private static long key(int workspace, int template, int size) {
		return 1 + workspace + 100L * template + 10_000L * size;
	}

	private static long mix(long key, int index) {
		long hash = (key * 0x9E3779B97F4A7C15L + index) * 0xBF58476D1CE4E5B9L;
		return hash ^ (hash >>> Integer.SIZE);
	}

}
