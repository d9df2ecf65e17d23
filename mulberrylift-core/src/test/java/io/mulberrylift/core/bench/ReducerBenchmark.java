package io.mulberrylift.core.bench;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.mulberrylift.core.FleetFixture;
import io.mulberrylift.core.effect.AttemptEffect;
import io.mulberrylift.core.effect.Effect;
import io.mulberrylift.core.event.AttemptEvent;
import io.mulberrylift.core.event.ControlEvent;
import io.mulberrylift.core.event.RequestEvent;
import io.mulberrylift.core.model.EndpointDescription;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the throughput of the reducer for two fleet sizes.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.Throughput)
@OutputTimeUnit(TimeUnit.SECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(1)
public class ReducerBenchmark {

	private static final int PROMPT_TOKENS = 2_000;

	/** Number of listed engines. */
	@Param({ "20", "180" })
	public int endpoints;

	private FleetFixture fixture;

	private long requestId;

	private long streamAttemptId;

	private int position;

	/**
	 * Creates the fleet and starts one stream.
	 */
	@Setup
	public void createFleet() {
		this.fixture = new FleetFixture(IntStream.range(0, this.endpoints)
			.mapToObj((number) -> FleetFixture.engine("engine-" + number, 400_000))
			.toArray(EndpointDescription[]::new));
		this.fixture.takeEffects(Effect.class);
		this.streamAttemptId = arrive();
	}

	/**
	 * Admits, routes and finishes one request, which takes two events.
	 * @return the effects of the second event
	 */
	@Benchmark
	public List<Effect> admitRouteAndFinish() {
		long attemptId = arrive();
		return this.fixture.reducer()
			.reduce(new AttemptEvent.Finished(this.fixture.now(), attemptId, PROMPT_TOKENS, 0, 100, Optional.empty()));
	}

	/**
	 * Advances the position of a stream by one token.
	 */
	@Benchmark
	public void advanceStream() {
		this.fixture.reducer().advanceStream(this.streamAttemptId, this.position++);
	}

	/**
	 * Reduces a tick when nothing is due.
	 * @return the effects
	 */
	@Benchmark
	public List<Effect> tick() {
		return this.fixture.reducer().reduce(new ControlEvent.Tick(this.fixture.now()));
	}

	private long arrive() {
		this.requestId++;
		List<Effect> effects = this.fixture.reducer()
			.reduce(new RequestEvent.Arrived(this.fixture.now(), FleetFixture.brief(this.requestId, PROMPT_TOKENS)));
		for (Effect effect : effects) {
			if (effect instanceof AttemptEffect.Dispatch dispatch) {
				return dispatch.attemptId();
			}
		}
		throw new IllegalStateException("The request was not dispatched");
	}

}
