package io.mulberrylift.core.placement;

import java.util.ArrayList;
import java.util.List;

import io.mulberrylift.core.forwarding.ForwardEndpoint;
import io.mulberrylift.core.model.EndpointId;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class EngineRoomTests {

	private static final EngineCostModel MODEL = new EngineCostModel(1.31, 0.000917, 0.00213, 154, 0.162, 2048, 38,
			344_250);

	private static final PromptDemand SHORT = new PromptDemand(5000, 36 * 38, 300, 10_000, 250);

	private static final PromptDemand LONG = new PromptDemand(260_000, 18 * 38, 4000, 15_000, 1000);

	private static List<ForwardEndpoint> engines() {
		List<ForwardEndpoint> engines = new ArrayList<>();
		for (int index = 0; index < 45; index++) {
			engines.add(new ForwardEndpoint(new EndpointId("e" + index), "s", "10.0.0." + index, 80,
					"zone-" + index % 3, 8, false, 0));
		}
		return engines;
	}

	private static EngineDivision division(EngineRoom room, long nowMillis) {
		List<EndpointWork> known = engines().stream()
			.map((each) -> new EndpointWork(each, List.of(), new EndpointHealth()))
			.toList();
		return room.division("s", engines(), known, MODEL, "zone-0", nowMillis);
	}

	/**
	 * Load of 24 instances: 15 short answers and 2.7 long prompts a second, in figures.
	 */
	private static EngineRoom loaded(int instances, int heard) {
		EngineRoom room = new EngineRoom();
		room.setLiveInstances(instances);
		for (long now = 0; now < 10_000; now += 1600) {
			room.recordArrival("s", SHORT, MODEL, 8, now);
		}
		for (long now = 0; now < 10_000; now += 9000) {
			room.recordArrival("s", LONG, MODEL, 8, now);
		}
		for (int peer = 1; peer <= heard; peer++) {
			room.applyPeer("peer-" + peer, room.figures(10_000), 10_000);
		}
		return room;
	}

	@Test
	void gapTargetsThatAFullIterationMissesAreShort() {
		assertThat(MODEL.fullIterationMillis()).isCloseTo(555, within(1.0));
		assertThat(DemandKind.of(250, MODEL)).isEqualTo(DemandKind.SHORT_ANSWER);
		assertThat(DemandKind.of(600, MODEL)).isEqualTo(DemandKind.LONG_PROMPT);
		assertThat(DemandKind.of(0, MODEL)).isEqualTo(DemandKind.LONG_PROMPT);
	}

	@Test
	void enginesOfEachZoneAreDividedAlike() {
		EngineDivision division = division(loaded(24, 23), 10_000);
		for (int zone = 0; zone < 3; zone++) {
			String name = "zone-" + zone;
			long sideOfShort = engines().stream()
				.filter((each) -> each.zone().equals(name) && division.side(each.id()) == DemandKind.SHORT_ANSWER)
				.count();
			assertThat(sideOfShort).isEqualTo(division.engines(DemandKind.SHORT_ANSWER) / 3);
		}
	}

	/** Failure: instances hear of a third of the others only. */
	@Test
	void shareDoesNotDependOnHowManyInstancesAreHeard() {
		double all = division(loaded(24, 23), 10_000).shortShare();
		double few = division(loaded(24, 7), 10_000).shortShare();
		assertThat(all).isStrictlyBetween(0.05, 0.6);
		assertThat(few).isCloseTo(all, within(0.01));
	}

	/** Failure: all instances start again. */
	@Test
	void nothingIsDividedAfterARestartUntilBothKindsAreKnown() {
		EngineRoom room = new EngineRoom();
		room.setLiveInstances(24);
		assertThat(division(room, 0).isDivided()).isFalse();
		room.recordArrival("s", SHORT, MODEL, 8, 0);
		assertThat(division(room, 10).isDivided()).isFalse();
		room.applyPeer("peer-1", loaded(24, 0).figures(10_000), 20);
		assertThat(division(room, 30).isDivided()).isTrue();
	}

	/** Load: a burst of short answers ends. */
	@Test
	void figuresFollowTheDemandWithinTwoSeconds() {
		EngineRoom room = loaded(24, 0);
		double before = figure(room, DemandKind.SHORT_ANSWER, 10_000);
		assertThat(figure(room, DemandKind.SHORT_ANSWER, 12_000)).isLessThan(before / 3);
	}

	@Test
	void figuresOfLostInstancesExpire() {
		EngineRoom room = new EngineRoom();
		room.applyPeer("peer-1", loaded(24, 0).figures(10_000), 0);
		room.expire(4000);
		assertThat(division(room, 4000).isDivided()).isTrue();
		room.expire(4001);
		assertThat(division(room, 4001).isDivided()).isFalse();
	}

	private static double figure(EngineRoom room, DemandKind kind, long nowMillis) {
		return room.figures(nowMillis)
			.stream()
			.filter((each) -> each.subjectHash() == kind.subjectHash("s"))
			.mapToLong((each) -> each.workMillisPerSecond())
			.sum();
	}

}
