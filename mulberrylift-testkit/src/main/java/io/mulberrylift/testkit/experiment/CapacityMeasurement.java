package io.mulberrylift.testkit.experiment;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;

import io.mulberrylift.core.model.RequestSpec;
import io.mulberrylift.testkit.engine.EngineListener;
import io.mulberrylift.testkit.engine.EngineModel;
import io.mulberrylift.testkit.engine.EngineRequest;
import io.mulberrylift.testkit.engine.EngineSettings;

/**
 * Measures the throughput of one engine that is never idle: a closed loop keeps a fixed
 * number of requests of the workload's mix at the engine. Prompts that are too long for
 * one engine are sent in parts that fit, because a fleet splits their work across several
 * engines.
 */
final class CapacityMeasurement {

	private static final int CONCURRENCY = 24;

	private static final long SEED = 99;

	private static final long REQUESTS = 6_000;

	private static final int MAX_PART_TOKENS = 300_000;

	private static final double MICROS_PER_SECOND = 1e6;

	private CapacityMeasurement() {
	}

	/**
	 * Measures the request rate that a fleet sustains.
	 * @param shape the fleet
	 * @return rate of the workload's mix in requests per second
	 */
	static double requestsPerSecond(FleetShape shape) {
		List<Arrival> arrivals = new Workload(shape, SEED).generate(1, REQUESTS);
		int[] running = new int[1];
		EngineModel model = new EngineModel(EngineSettings.midSize(), new EngineListener() {
			@Override
			public void ended(long atMicros, long requestId, int cachedTokens, int answerTokens) {
				running[0]--;
			}
		});
		Iterator<EngineRequest> requests = parts(arrivals).iterator();
		while (requests.hasNext()) {
			while (running[0] < CONCURRENCY && requests.hasNext()) {
				running[0]++;
				model.submit(requests.next());
			}
			model.advanceTo(model.nextEventMicros().orElse(model.nowMicros()));
		}
		return shape.engines() * arrivals.size() * MICROS_PER_SECOND / model.nowMicros();
	}

	private static List<EngineRequest> parts(List<Arrival> arrivals) {
		List<EngineRequest> parts = new ArrayList<>();
		for (Arrival arrival : arrivals) {
			for (int from = 0; from < arrival.promptTokens(); from += MAX_PART_TOKENS) {
				int tokens = Math.min(MAX_PART_TOKENS, arrival.promptTokens() - from);
				long[] blocks = (from == 0)
						? java.util.Arrays.copyOf(arrival.prefixBlocks(), tokens / RequestSpec.PREFIX_BLOCK_TOKENS)
						: new long[0];
				parts.add(new EngineRequest(parts.size() + 1, 0, tokens, (from == 0) ? arrival.answerTokens() : 1, 0,
						blocks, Optional.empty()));
			}
		}
		return parts;
	}

}
