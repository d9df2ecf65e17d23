package io.mulberrylift.core.forwarding;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.placement.EngineCostModel;

/**
 * A gateway with an engine service and a service without a cost model, whose clock and
 * events are controlled by the test.
 */
final class GatewayFixture {

	static final EngineCostModel MODEL = new EngineCostModel(0.925, 0.007, 0.00254, 256, 0.0917, 2048, 46, 450_000);

	final Gateway gateway = new Gateway(
			new GatewayIdentity("instance-1", "zone-a", new RetryBounds(0.2, 10_000, 100), 2600, 4000),
			new SplittableRandom(7));

	final List<GatewayEffect> effects = new ArrayList<>();

	long nowMillis = 1000;

	private long nextRequest = 1;

	static Route route(String prefix, String service, RequestKind kind, int maxAttempts) {
		boolean stream = kind.isStream();
		return new Route("route" + prefix, "api.example", prefix, List.of(new WeightedService(service, 1)), kind,
				(stream) ? 10_000 : 800, 300, (stream) ? 200 : 0, maxAttempts, 1, false);
	}

	static ForwardingConfiguration configuration(long version, List<Route> routes) {
		Map<String, ForwardedService> services = Map.of("engines",
				new ForwardedService("engines", 100, Optional.of(MODEL)), "plain",
				new ForwardedService("plain", 100, Optional.empty()));
		return new ForwardingConfiguration(version, new RouteTable(routes), services, Map.of("key-1", "workspace-1"),
				true, ClientLimits.DEFAULT);
	}

	static List<Route> defaultRoutes() {
		return List.of(route("/stream/", "engines", RequestKind.RESUMABLE_STREAM, 2),
				new Route("route/long/", "api.example", "/long/", List.of(new WeightedService("engines", 1)),
						RequestKind.RESUMABLE_STREAM, 15_000, 4000, 800, 2, 1, false),
				route("/once-stream/", "engines", RequestKind.STREAM, 2),
				route("/read/", "plain", RequestKind.IDEMPOTENT, 2),
				route("/post/", "plain", RequestKind.NON_IDEMPOTENT, 2));
	}

	static ForwardEndpoint endpoint(String id, String service, boolean leaving) {
		int port = 1024 + Math.floorMod(id.hashCode(), 40_000);
		return new ForwardEndpoint(new EndpointId(id), service, "10.0.0.1", port, "zone-a", 11, leaving, 0);
	}

	static List<ForwardEndpoint> defaultEndpoints() {
		return List.of(endpoint("e1", "engines", false), endpoint("e2", "engines", false),
				endpoint("e3", "engines", false), endpoint("p1", "plain", false), endpoint("p2", "plain", false));
	}

	GatewayFixture started() {
		reduce(new GatewayEvent.ConfigurationRead(configuration(1, defaultRoutes())));
		reduce(new GatewayEvent.EndpointsRead(defaultEndpoints()));
		return this;
	}

	void reduce(GatewayEvent event) {
		this.effects.addAll(this.gateway.reduce(event, this.nowMillis));
	}

	void advance(long millis) {
		this.nowMillis += millis;
		reduce(new GatewayEvent.Tick());
	}

	long arrive(String path, long promptTokens) {
		return arrive(path, promptTokens, Optional.of("key-1"), 42);
	}

	long arrive(String path, long promptTokens, Optional<String> key, long fingerprint) {
		return arrive(path, promptTokens, key, fingerprint, List.of());
	}

	long arrive(String path, long promptTokens, Optional<String> key, long fingerprint, List<Long> promptParts) {
		long id = this.nextRequest++;
		reduce(new GatewayEvent.RequestArrived(id, new ForwardRequest("attempt-" + id, "api.example", path, key, 10_000,
				promptTokens, 100, fingerprint, promptParts, Optional.empty())));
		return id;
	}

	void end(long attemptId, AttemptOutcome outcome) {
		reduce(new GatewayEvent.AttemptEnded(attemptId, outcome, 0));
	}

	void listEngines(int count) {
		reduce(new GatewayEvent.EndpointsRead(
				IntStream.range(0, count).mapToObj((index) -> endpoint("engine-" + index, "engines", false)).toList()));
	}

	void grantReservations() {
		all(GatewayEffect.ReserveMemory.class).forEach((each) -> reduce(
				new GatewayEvent.ReservationAnswered(each.requestId(), each.endpoint().id(), Optional.of(true))));
	}

	/**
	 * Returns the fields of the last log line of an event.
	 */
	Map<String, Object> logged(String event) {
		Map<String, Object> fields = new HashMap<>();
		all(GatewayEffect.Log.class).stream().filter((line) -> line.event().equals(event)).forEach((line) -> {
			fields.clear();
			for (int index = 0; index < line.fields().size(); index += 2) {
				fields.put((String) line.fields().get(index), line.fields().get(index + 1));
			}
		});
		return fields;
	}

	/**
	 * Returns the attempts after which their requests were sent to another endpoint, in
	 * the order of these later attempts.
	 */
	List<Long> movedAttempts() {
		Map<Long, Long> lastAttempts = new HashMap<>();
		List<Long> moved = new ArrayList<>();
		for (GatewayEffect.Send send : all(GatewayEffect.Send.class)) {
			Long before = lastAttempts.put(send.requestId(), send.attemptId());
			if (before != null) {
				moved.add(before);
			}
		}
		return moved;
	}

	<T extends GatewayEffect> List<T> all(Class<T> type) {
		return this.effects.stream().filter(type::isInstance).map(type::cast).toList();
	}

	<T extends GatewayEffect> T last(Class<T> type) {
		List<T> all = all(type);
		return all.get(all.size() - 1);
	}

}
