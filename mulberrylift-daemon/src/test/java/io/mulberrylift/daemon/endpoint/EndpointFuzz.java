package io.mulberrylift.daemon.endpoint;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;

import io.mulberrylift.core.effect.AttemptEffect;
import io.mulberrylift.core.event.AttemptEvent;
import io.mulberrylift.core.event.Event;
import io.mulberrylift.core.fleet.InstanceIdentity;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.ZoneId;
import io.mulberrylift.core.time.Moment;
import io.mulberrylift.daemon.fuzz.FuzzSource;
import org.apache.hc.core5.concurrent.CallbackContribution;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpResponse;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Fuzz targets for corrupted engine responses.
 */
public final class EndpointFuzz {

	private static final String ANSWER = """
			{"type":"tokens","offset":0,"text":["Ic","e"," on"]}
			{"type":"tokens","offset":3,"text":[" Ring","\\u00e9 \\ud83d\\ude00"," Road"]}

			{"type":"tokens","offset":5,"text":[" Road","."]}
			{"type":"end","finishReason":"stop","promptTokens":4,"cachedTokens":0,"outputTokens":7}
			""";

	private static final String ERROR = "{\"type\":\"error\",\"detail\":\"out of memory\",\"retryAfterMillis\":50}\n";

	private static final String LOAD = """
			{"incarnation":7,"runningRequests":1,"queuedRequests":2,"queuedPromptTokens":3,"usedMemoryTokens":4,
			 "draining":false,"loadedModels":["outlook@7","prairie-winter"],"role":"mixed","ageMillis":5,
			 "cache":{"sequence":9,"complete":true,"added":["00000000000000ff"],"evicted":["ffffffffffffffff"]}}
			""";

	private static final List<Integer> STATUSES = List.of(200, 200, 200, 200, 400, 422, 429, 500, 503, 999);

	private EndpointFuzz() {
	}

	/**
	 * Feeds a corrupted answer in chunks of random size to a consumer whose caller may
	 * read slowly: the attempt must end exactly once.
	 * @param source generates the input
	 * @throws Exception if the consumer rejects the answer with an exception
	 */
	public static void tryAnswer(FuzzSource source) throws Exception {
		String valid = source.pick(List.of(ANSWER, ANSWER, ERROR, ANSWER.substring(0, 60) + "\n" + ERROR));
		byte[] answer = source.mutateJson(valid).getBytes(StandardCharsets.UTF_8);
		FuzzedAttempt attempt = new FuzzedAttempt();
		ModelAnswerConsumer consumer = new ModelAnswerConsumer(attempt);
		consumer.consumeResponse(new BasicHttpResponse(source.pick(STATUSES)), new BasicEntityDetails(-1, null), null,
				new CallbackContribution<Void>(null) {
					@Override
					public void completed(Void nothing) {
						// The consumer has processed the end of the stream.
					}
				});
		for (int from = 0; from < answer.length;) {
			int to = from + 1 + source.nextInt(answer.length - from);
			togglePause(source, attempt.caller);
			consumer.consume(ByteBuffer.wrap(answer, from, to - from).slice());
			from = to;
		}
		consumer.streamEnd(List.of());
		attempt.caller.resume();
		assertThat(attempt.endEvents).hasSize(1);
		if (attempt.endEvents.get(0) instanceof AttemptEvent.Failed failed) {
			assertThat(failed.detail()).isNotEqualTo("answer could not be forwarded to the caller");
		}
	}

	private static void togglePause(FuzzSource source, FakeExchange caller) {
		switch (source.nextInt(4)) {
			case 0 -> {
				caller.pause();
			}
			case 1 -> {
				caller.resume();
			}
			default -> {
				// The caller's state does not change.
			}
		}
	}

	/**
	 * Parses a corrupted load report: it must be readable or fail as an I/O error.
	 * @param source generates the input
	 */
	public static void tryLoad(FuzzSource source) {
		byte[] body = source.mutateJson(LOAD).getBytes(StandardCharsets.UTF_8);
		ErrorReply.parse(body);
		try {
			LoadReply reply = LoadReply.parse(body);
			assertThat(reply.toLoadReport(AttemptHandlerFixture.ENDPOINT).role()).isNotNull();
			reply.cacheChanges().ifPresent(EndpointFuzz::readBlocks);
		}
		catch (IOException ex) {
			// Expected: the endpoint is reported as unreachable.
		}
	}

	private static void readBlocks(LoadReply.Cache cache) {
		try {
			cache.addedBlocks();
			cache.evictedBlocks();
		}
		catch (IllegalArgumentException ex) {
			// Expected: the endpoint is reported as unreachable.
		}
	}

	/**
	 * An attempt without a connection that records its end events.
	 */
	private static final class FuzzedAttempt extends RunningAttempt {

		private final FakeExchange caller;

		private final List<Event> endEvents;

		FuzzedAttempt() {
			this(FakeExchange.model("prompt"), new ArrayList<>());
		}

		private FuzzedAttempt(FakeExchange caller, List<Event> endings) {
			super(new AttemptEffect.Dispatch(1, 1, AttemptHandlerFixture.ENDPOINT, 3, 1_000, 0, 0, List.of()), caller,
					new AttemptServices(new InstanceIdentity(new InstanceId("i"), new ZoneId("z"), 1), null, null,
							(event) -> recordEndEvent(event.apply(new Moment(0, 0)), endings),
							(attemptId, accepted) -> {
							}, () -> 0),
					() -> {
					});
			this.caller = caller;
			this.endEvents = endings;
		}

		private static void recordEndEvent(Event event, List<Event> endings) {
			if (!(event instanceof AttemptEvent.Started)) {
				endings.add(event);
			}
		}

		@Override
		Future<?> call(String address) {
			return new CompletableFuture<>();
		}

		@Override
		void cleanUpEndpoint() {
			// Nothing was sent to the endpoint.
		}

	}

}
