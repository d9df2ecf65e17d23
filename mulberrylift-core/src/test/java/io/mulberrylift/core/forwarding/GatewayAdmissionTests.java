package io.mulberrylift.core.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.mulberrylift.core.gossip.DemandFigure;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load: more requests to a service of two endpoints with 11 slots each than they can run,
 * at one instance, from routes and workspaces of different priority.
 */
class GatewayAdmissionTests {

	private static final long ANSWER_MILLIS = 100;

	/** Requests per second that the endpoints can run. */
	private static final double ROOM_PER_SECOND = 2 * 11 * 1000 / (double) ANSWER_MILLIS;

	private final GatewayFixture fixture = new GatewayFixture();

	private final Map<Long, String> pathByRequest = new HashMap<>();

	private final Map<String, Integer> asked = new HashMap<>();

	private void setTerms(GatewayTerms terms) {
		this.fixture.reduce(new GatewayEvent.LimitsRead(
				new GatewayIdentity("instance-1", "zone-a", new RetryBounds(0.2, 10_000, 100), 2600, 4000, terms)));
	}

	private static Route route(String prefix, int priority) {
		Route plain = GatewayFixture.route(prefix, "plain", RequestKind.IDEMPOTENT, 2);
		return new Route(plain.name(), plain.host(), prefix, plain.services(), plain.kind(), 5000, 150, 0, 1, priority,
				false);
	}

	@BeforeEach
	void start() {
		setTerms(GatewayTerms.NONE.withScarceRoomDivided());
		ForwardingConfiguration base = GatewayFixture.configuration(1,
				List.of(route("/urgent/", 0), route("/late/", 2)));
		this.fixture.reduce(new GatewayEvent.ConfigurationRead(
				new ForwardingConfiguration(1, base.routes(), base.services(), Map.of("key-1", "w1", "key-2", "w2"),
						true, ClientLimits.DEFAULT, Map.of("w2", new WorkspaceTerms(Optional.of(0), List.of())))));
		this.fixture.reduce(new GatewayEvent.EndpointsRead(GatewayFixture.defaultEndpoints()));
	}

	/** Each endpoint runs 11 requests at a time, in order of arrival. */
	private void play(double load, List<String> paths, List<String> keys, int seconds) {
		Map<String, List<Long>> queues = new HashMap<>();
		Map<Long, Long> ends = new HashMap<>();
		double due = 0;
		int handled = 0;
		int number = 0;
		for (int step = 0; step < seconds * 100; step++) {
			this.fixture.nowMillis += 10;
			for (long attempt : ends.entrySet()
				.stream()
				.filter((each) -> each.getValue() <= this.fixture.nowMillis)
				.map(Map.Entry::getKey)
				.sorted()
				.toList()) {
				ends.remove(attempt);
				queues.values().forEach((queue) -> queue.remove(attempt));
				this.fixture.end(attempt, AttemptOutcome.COMPLETED);
			}
			due += load * ROOM_PER_SECOND / 100;
			for (; due >= 1; due--) {
				int index = number++ % paths.size();
				long request = this.fixture.arrive(paths.get(index), 0, Optional.of(keys.get(index)), number,
						List.of());
				String name = paths.get(index) + keys.get(index);
				this.pathByRequest.put(request, name);
				this.asked.merge(name, 1, Integer::sum);
			}
			List<GatewayEffect.Send> sends = this.fixture.all(GatewayEffect.Send.class);
			for (GatewayEffect.Send send : sends.subList(handled, sends.size())) {
				queues.computeIfAbsent(send.endpoint().id().value(), (id) -> new ArrayList<>()).add(send.attemptId());
			}
			handled = sends.size();
			queues.values()
				.forEach((queue) -> queue.stream()
					.limit(11)
					.forEach((attempt) -> ends.putIfAbsent(attempt, this.fixture.nowMillis + ANSWER_MILLIS)));
			if (step % 5 == 0) {
				this.fixture.reduce(new GatewayEvent.Tick());
			}
		}
	}

	private double served(String name) {
		long delivered = this.fixture.all(GatewayEffect.Deliver.class)
			.stream()
			.filter((each) -> name.equals(this.pathByRequest.get(each.requestId())))
			.count();
		return delivered / (double) this.asked.get(name);
	}

	@Test
	void urgentRouteIsServedFirstAndTheOtherIsNotStarved() {
		play(1.5, List.of("/urgent/x", "/late/x"), List.of("key-1", "key-1"), 20);
		double urgent = served("/urgent/xkey-1");
		double late = served("/late/xkey-1");
		assertThat(late).isLessThanOrEqualTo(urgent + 0.05);
		assertThat(urgent).isGreaterThan(late);
		assertThat(late).isGreaterThanOrEqualTo((urgent + late) / 2 / 4);
		assertThat(this.fixture.logged("room-scarce")).containsEntry("service", "plain")
			.containsKeys("share", "demand");
	}

	@Test
	void priorityOfAWorkspaceTakesPrecedence() {
		play(1.5, List.of("/late/x", "/late/x"), List.of("key-1", "key-2"), 20);
		assertThat(served("/late/xkey-2")).isGreaterThan(served("/late/xkey-1"));
	}

	@Test
	void nothingIsRefusedWhileEverythingFits() {
		play(0.8, List.of("/urgent/x", "/late/x"), List.of("key-1", "key-1"), 20);
		assertThat(this.fixture.all(GatewayEffect.Refuse.class)).isEmpty();
	}

	@Test
	void refusalsForScarceRoomNameATimeWithinAThirdOfTheTimeLeft() {
		play(3, List.of("/urgent/x", "/late/x"), List.of("key-1", "key-1"), 10);
		assertThat(this.fixture.all(GatewayEffect.Refuse.class)).isNotEmpty().allSatisfy((refusal) -> {
			assertThat(refusal.cause()).isEqualTo(RefusalCause.OVERLOADED);
			assertThat(refusal.retryAfterMillis().orElseThrow()).isBetween(1L, 5000L / 3);
		});
	}

	@Test
	void configurationWithASinglePriorityAndWorkspaceDividesNothing() {
		this.fixture.reduce(new GatewayEvent.ConfigurationRead(
				GatewayFixture.configuration(2, List.of(route("/urgent/", 0), route("/late/", 0)))));
		play(2, List.of("/urgent/x", "/late/x"), List.of("key-1", "key-1"), 5);
		assertThat(this.fixture.logged("room-scarce")).isEmpty();
		assertThat(this.fixture.gateway.fleetFigures(this.fixture.nowMillis).demand()).isEmpty();
	}

	@Test
	void deploymentsThatDoNotAskForItDivideNothing() {
		setTerms(GatewayTerms.NONE);
		play(2, List.of("/urgent/x", "/late/x"), List.of("key-1", "key-2"), 5);
		assertThat(this.fixture.logged("room-scarce")).isEmpty();
		assertThat(this.fixture.gateway.fleetFigures(this.fixture.nowMillis).demand()).isEmpty();
	}

	/** The demand for the endpoints of some regions is not known. */
	@Test
	void requestsThatMustStayInRegionsAreNotRefused() {
		setTerms(new GatewayTerms(Optional.empty(), Optional.empty(), Map.of("zone-a", "north"))
			.withScarceRoomDivided());
		ForwardingConfiguration base = GatewayFixture.configuration(2, List.of(route("/late/", 2)));
		this.fixture.reduce(new GatewayEvent.ConfigurationRead(new ForwardingConfiguration(2, base.routes(),
				base.services(), Map.of("key-1", "w1", "key-2", "w2"), true, ClientLimits.DEFAULT,
				Map.of("w1", new WorkspaceTerms(Optional.empty(), List.of("north"))))));
		play(1.2, List.of("/late/x", "/late/x"), List.of("key-1", "key-2"), 10);
		assertThat(this.fixture.all(GatewayEffect.Refuse.class)).isNotEmpty()
			.noneMatch((refusal) -> this.pathByRequest.get(refusal.requestId()).endsWith("key-1"));
	}

	@Test
	void fewFiguresAreToldToPeers() {
		play(0.5, List.of("/urgent/x", "/late/x"), List.of("key-1", "key-2"), 3);
		List<DemandFigure> figures = this.fixture.gateway.fleetFigures(this.fixture.nowMillis).demand();
		assertThat(figures).hasSizeBetween(1, 6);
		assertThat(figures).allSatisfy((figure) -> assertThat(figure.workMillisPerSecond()).isPositive());
	}

}
