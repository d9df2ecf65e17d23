package io.mulberrylift.core.forwarding;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.LongStream;

import io.mulberrylift.core.gossip.FullState;
import io.mulberrylift.core.gossip.InstanceDigest;
import io.mulberrylift.core.gossip.RelayPeer;
import io.mulberrylift.core.gossip.StoreRevision;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.placement.RequestWork;
import io.mulberrylift.core.placement.WorkTable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Streams of engines that read prompts and send nothing meanwhile, and of engines that
 * are dead, in virtual time.
 */
class GatewayStallTests {

	private static final int STREAMS = 68;

	private static final int READING_MILLIS = 8000;

	/** Maximum number of probes of an engine in a silence of 1.4 s. */
	private static final int MAX_PROBES = 4;

	private static final long TICK_MILLIS = 20;

	/** Time without a chunk after which short streams of dead engines are moved. */
	private static final long STALL_MILLIS = 900;

	private static final RelayPeer NEAR = new RelayPeer("10.0.0.2:7", true);

	private static final RelayPeer FAR = new RelayPeer("10.0.0.3:7", false);

	private final GatewayFixture fixture = new GatewayFixture();

	/** Engines that accept no connection. */
	private final Set<EndpointId> dead = new HashSet<>();

	private int handled;

	private long messages;

	private void start(int engines) {
		this.fixture.started();
		this.fixture.listEngines(engines);
	}

	/** Advances the clock; living engines accept the connections that probe them. */
	private void run(long millis) {
		for (long passed = 0; passed < millis; passed += TICK_MILLIS) {
			this.fixture.advance(TICK_MILLIS);
			List<GatewayEffect> effects = this.fixture.effects;
			for (; this.handled < effects.size(); this.handled++) {
				if (effects.get(this.handled) instanceof GatewayEffect.ProbeEndpoint probe
						&& !this.dead.contains(probe.endpoint().id())) {
					this.fixture.reduce(new GatewayEvent.ConnectionEstablished(probe.endpoint().id()));
				}
			}
		}
	}

	private List<GatewayEffect.Send> beginStreams(int count) {
		for (int index = 0; index < count; index++) {
			this.fixture.arrive("/stream/x", 5000);
		}
		List<GatewayEffect.Send> sends = this.fixture.all(GatewayEffect.Send.class);
		assertThat(sends).hasSize(count);
		sends.forEach((send) -> this.fixture.reduce(new GatewayEvent.AnswerChunk(send.attemptId())));
		return sends;
	}

	/** A peer tells that engines read one of three parts of a prompt each. */
	private void peerReads(Set<EndpointId> engines, double millis) {
		Map<Long, RequestWork> work = new HashMap<>();
		engines.forEach((engine) -> work.put((long) WorkTable.hash(engine), new RequestWork(false, millis, 200_000, 0,
				800, 3000, (long) millis, 40, WorkTable.hash(engine), List.of(1, 2))));
		hear("10.0.0.9:1", work);
	}

	private static Set<EndpointId> engines(List<GatewayEffect.Send> sends) {
		return sends.stream().map((send) -> send.endpoint().id()).collect(Collectors.toSet());
	}

	private void hear(String peer, Map<Long, RequestWork> work) {
		FullState state = new FullState("zone-b", 1, StoreRevision.NONE, Optional.empty(), true, List.of(), List.of(),
				List.of());
		this.messages++;
		this.fixture.reduce(new GatewayEvent.DigestReceived(
				new InstanceDigest(peer, 1, this.messages, work, List.of(), List.of(), List.of(), Optional.of(state))));
	}

	/**
	 * Load: 45 engines that all read parts of long prompts of other instances, of which
	 * this instance knows nothing; 68 short streams were taken from them as stalled after
	 * 903 ms.
	 */
	@Test
	void soundStreamsOfEnginesThatReadUnknownPromptsAreNotMoved() {
		start(45);
		List<GatewayEffect.Send> sends = beginStreams(STREAMS);
		SplittableRandom random = new SplittableRandom(68);
		Map<EndpointId, Long> silentUntil = new HashMap<>();
		int silences = 0;
		for (int passed = 0; passed < READING_MILLIS; passed += TICK_MILLIS) {
			for (EndpointId engine : engines(sends)) {
				if (silentUntil.getOrDefault(engine, 0L) <= this.fixture.nowMillis) {
					sends.stream()
						.filter((send) -> send.endpoint().id().equals(engine))
						.forEach((send) -> this.fixture.reduce(new GatewayEvent.AnswerChunk(send.attemptId())));
					silentUntil.put(engine, this.fixture.nowMillis + 920 + random.nextLong(500));
					silences++;
				}
			}
			run(TICK_MILLIS);
		}
		assertThat(this.fixture.all(GatewayEffect.CancelAttempt.class)).isEmpty();
		assertThat(this.fixture.all(GatewayEffect.Send.class)).hasSize(STREAMS);
		assertThat(this.fixture.gateway.reachesEndpoints()).isTrue();
		assertThat(this.fixture.all(GatewayEffect.ProbeEndpoint.class)).hasSizeBetween(silences / 2,
				silences * MAX_PROBES);
	}

	/**
	 * Load: the same with one part of a prompt of 900,000 tokens, of which a peer tells.
	 * Callers would leave after 2 s, but another engine that reads as well is no better.
	 */
	@Test
	void soundStreamsAreNotMovedWhileKnownReadingExplainsTheSilence() {
		start(12);
		List<GatewayEffect.Send> sends = beginStreams(12);
		for (int round = 0; round < 5; round++) {
			peerReads(engines(sends), 4000);
			run(700);
		}
		assertThat(this.fixture.movedAttempts()).isEmpty();
		assertThat(this.fixture.all(GatewayEffect.CancelAttempt.class)).isEmpty();
	}

	/** Failure: engines fall silent for good beside others that only read. */
	@Test
	void streamsOfDeadEnginesAreMovedAsSoonAsBefore() {
		start(45);
		List<GatewayEffect.Send> sends = beginStreams(STREAMS);
		EndpointId dark = sends.get(0).endpoint().id();
		this.dead.add(dark);
		run(STALL_MILLIS);
		Set<Long> expected = new HashSet<>();
		sends.stream()
			.filter((send) -> send.endpoint().id().equals(dark))
			.forEach((send) -> expected.add(send.attemptId()));
		assertThat(this.fixture.movedAttempts()).containsExactlyInAnyOrderElementsOf(expected);
		assertThat(this.fixture.logged("stream-stalled")).containsEntry("verdict", StallDetector.Verdict.DEAD);
	}

	/**
	 * Failure: an engine dies while it is known to read; the same iteration time of it as
	 * before is waited for.
	 */
	@Test
	void streamsOfDeadEnginesThatWereKnownToReadAreMovedAsSoonAsBefore() {
		start(6);
		List<GatewayEffect.Send> sends = beginStreams(1);
		EndpointId dark = sends.get(0).endpoint().id();
		this.dead.add(dark);
		peerReads(Set.of(dark), 300);
		run(STALL_MILLIS);
		assertThat(this.fixture.movedAttempts()).hasSize(1);
	}

	/** Begins a stream whose engine falls silent until another one is to resume it. */
	private List<Long> moveStream() {
		start(6);
		GatewayEffect.Send silent = beginStreams(1).get(0);
		this.dead.add(silent.endpoint().id());
		run(STALL_MILLIS + 100);
		this.dead.clear();
		assertThat(this.fixture.movedAttempts()).containsExactly(silent.attemptId());
		return List.of(silent.attemptId(), this.fixture.last(GatewayEffect.Send.class).attemptId());
	}

	private void assertThatOnlyIsCancelled(long... attempts) {
		assertThat(this.fixture.all(GatewayEffect.CancelAttempt.class))
			.extracting(GatewayEffect.CancelAttempt::attemptId)
			.containsExactlyInAnyOrderElementsOf(LongStream.of(attempts).boxed().toList());
	}

	/**
	 * Failure: a stream was taken from an engine that was silent for a second, and broken
	 * off when the engine that it was moved to refused it, although the first one went
	 * on.
	 */
	@ParameterizedTest
	@EnumSource(value = AttemptOutcome.class,
			names = { "REFUSED_FULL", "REJECTED", "NOT_CONNECTED", "BROKEN", "ENDPOINT_ERROR", "GARBLED" })
	void streamGoesOnAtItsEngineIfNoOtherResumesIt(AttemptOutcome outcome) {
		List<Long> attempts = moveStream();
		this.fixture.end(attempts.get(1), outcome);
		GatewayEffect.Send last = this.fixture.last(GatewayEffect.Send.class);
		while (last.attemptId() != attempts.get(1) && this.fixture.gateway.inProgress() > 0) {
			// A request that was not sent is sent to further engines.
			attempts = List.of(attempts.get(0), last.attemptId());
			this.fixture.end(last.attemptId(), outcome);
			last = this.fixture.last(GatewayEffect.Send.class);
		}
		assertThat(this.fixture.all(GatewayEffect.AbortAnswer.class)).isEmpty();
		assertThat(this.fixture.logged("stream-returned")).containsEntry("attempt", attempts.get(0));
		this.fixture.reduce(new GatewayEvent.AnswerChunk(attempts.get(0)));
		this.fixture.end(attempts.get(0), AttemptOutcome.COMPLETED);
		assertThat(this.fixture.all(GatewayEffect.Deliver.class)).hasSize(1);
		assertThat(this.fixture.all(GatewayEffect.AbortAnswer.class)).isEmpty();
		assertThatOnlyIsCancelled();
		assertThat(this.fixture.gateway.inProgress()).isZero();
	}

	/** Failure that must not occur: events of both engines are joined. */
	@Test
	void silentEngineThatGoesOnFirstKeepsTheStream() {
		List<Long> attempts = moveStream();
		this.fixture.reduce(new GatewayEvent.AnswerChunk(attempts.get(0)));
		assertThatOnlyIsCancelled(attempts.get(1));
		this.fixture.end(attempts.get(0), AttemptOutcome.COMPLETED);
		assertThat(this.fixture.all(GatewayEffect.Deliver.class)).hasSize(1);
		assertThatOnlyIsCancelled(attempts.get(1));
	}

	/** Failure that must not occur: events of both engines are joined. */
	@Test
	void engineThatResumesTheStreamFirstHasItAlone() {
		List<Long> attempts = moveStream();
		this.fixture.reduce(new GatewayEvent.AnswerChunk(attempts.get(1)));
		assertThatOnlyIsCancelled(attempts.get(0));
		this.fixture.end(attempts.get(1), AttemptOutcome.COMPLETED);
		assertThat(this.fixture.all(GatewayEffect.Deliver.class)).hasSize(1);
		assertThatOnlyIsCancelled(attempts.get(0));
	}

	@Test
	void lastEventOfTheSilentEngineCompletesTheStream() {
		List<Long> attempts = moveStream();
		this.fixture.end(attempts.get(0), AttemptOutcome.COMPLETED);
		assertThat(this.fixture.all(GatewayEffect.Deliver.class)).hasSize(1);
		assertThatOnlyIsCancelled(attempts.get(1));
		assertThat(this.fixture.gateway.inProgress()).isZero();
	}

	/** Failure: the silent engine is lost, and then the other one refuses the stream. */
	@Test
	void streamThatNoEngineHasIsBrokenOff() {
		List<Long> attempts = moveStream();
		this.fixture.end(attempts.get(0), AttemptOutcome.BROKEN_MIDWAY);
		assertThat(this.fixture.all(GatewayEffect.AbortAnswer.class)).isEmpty();
		this.fixture.end(attempts.get(1), AttemptOutcome.REFUSED_FULL);
		assertThat(this.fixture.all(GatewayEffect.AbortAnswer.class)).hasSize(1);
		assertThat(this.fixture.gateway.inProgress()).isZero();
	}

	/** Failure that must not occur: an engine works on for a caller that has left. */
	@Test
	void bothAttemptsAreCancelledIfTheCallerLeaves() {
		List<Long> attempts = moveStream();
		this.fixture
			.reduce(new GatewayEvent.CallerDisconnected(this.fixture.last(GatewayEffect.Send.class).requestId()));
		assertThatOnlyIsCancelled(attempts.get(0), attempts.get(1));
	}

	@Test
	void bothAttemptsAreCancelledAtTheDeadline() {
		List<Long> attempts = moveStream();
		this.fixture.advance(10_000);
		assertThatOnlyIsCancelled(attempts.get(0), attempts.get(1));
		assertThat(this.fixture.all(GatewayEffect.AbortAnswer.class)).hasSize(1);
		assertThat(this.fixture.gateway.inProgress()).isZero();
	}

	/** Failure: an engine lives, but hangs on one request. */
	@Test
	void requestThatHangsAtALivingEngineIsMovedBeforeItsCallerLeaves() {
		start(6);
		this.fixture.arrive("/stream/x", 5000);
		run(1400);
		assertThat(this.fixture.all(GatewayEffect.CancelAttempt.class)).isEmpty();
		run(400);
		assertThat(this.fixture.all(GatewayEffect.CancelAttempt.class)).hasSize(1);
		assertThat(this.fixture.all(GatewayEffect.Send.class)).hasSize(2);
	}

	/** Load: a caller reads slowly, so that its stream isn't read for seconds. */
	@Test
	void streamThatIsNotReadBecauseOfItsCallerIsNotMoved() {
		start(6);
		long attempt = beginStreams(1).get(0).attemptId();
		this.fixture.reduce(new GatewayEvent.ReadingPaused(attempt, true));
		run(5000);
		assertThat(this.fixture.all(GatewayEffect.ProbeEndpoint.class)).isEmpty();
		this.fixture.reduce(new GatewayEvent.ReadingPaused(attempt, false));
		run(STALL_MILLIS - 2 * TICK_MILLIS);
		assertThat(this.fixture.all(GatewayEffect.CancelAttempt.class)).isEmpty();
	}

	/** Failure: the engine cuts off a stream that isn't read, which is no fault of it. */
	@Test
	void endpointThatCutsOffAStreamThatIsNotReadIsNotSuspected() {
		start(6);
		GatewayEffect.Send send = beginStreams(1).get(0);
		this.fixture.reduce(new GatewayEvent.ReadingPaused(send.attemptId(), true));
		this.fixture.end(send.attemptId(), AttemptOutcome.BROKEN_MIDWAY);
		assertThat(this.fixture.logged("endpoint-lost")).isEmpty();
		assertThat(this.fixture.all(GatewayEffect.Send.class)).hasSize(2);
	}

	/**
	 * Load: the engine of a stream that a peer has reads for longer than the time after
	 * which silent peers are left; the peer judges the stream itself.
	 */
	@Test
	void streamOfAPeerThatIsHeardOfIsNotHandedToAnotherPeer() {
		this.fixture.started();
		this.fixture.gateway.setRelayPeers(List.of(NEAR, FAR));
		this.fixture.arrive("/stream/x", 5000);
		this.fixture.end(this.fixture.last(GatewayEffect.Send.class).attemptId(), AttemptOutcome.NOT_CONNECTED);
		this.fixture.end(this.fixture.last(GatewayEffect.Send.class).attemptId(), AttemptOutcome.NOT_CONNECTED);
		GatewayEffect.Relay relay = this.fixture.last(GatewayEffect.Relay.class);
		run(1000);
		hear(relay.peer(), Map.of());
		run(900);
		assertThat(this.fixture.all(GatewayEffect.Relay.class)).hasSize(1);
		assertThat(this.fixture.all(GatewayEffect.CancelAttempt.class)).isEmpty();
		run(600);
		assertThat(this.fixture.all(GatewayEffect.Relay.class)).hasSize(2);
	}

}
