package io.mulberrylift.core.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import io.mulberrylift.core.configuration.FleetConfiguration;
import io.mulberrylift.core.configuration.ProfileSettings;
import io.mulberrylift.core.configuration.RoutingSettings;
import io.mulberrylift.core.configuration.WorkspaceSettings;
import io.mulberrylift.core.event.EndpointEvent;
import io.mulberrylift.core.fleet.FleetState;
import io.mulberrylift.core.fleet.InstanceIdentity;
import io.mulberrylift.core.model.EndpointDescription;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.FleetList;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.LoadReport;
import io.mulberrylift.core.model.RequestSpec;
import io.mulberrylift.core.model.WorkKind;
import io.mulberrylift.core.model.WorkspaceId;
import io.mulberrylift.core.model.ZoneId;
import io.mulberrylift.core.time.Moment;

/**
 * Fleet of engines with 100,000 tokens of memory each, and a scheduler for it.
 */
final class SchedulingFixture {

	static final long MEMORY_TOKENS = 100_000;

	final FleetState fleet;

	final PolicyScheduler scheduler;

	private final RoutingSettings routing;

	private long configurationVersion;

	private long nextRequestId = 1;

	SchedulingFixture(RoutingSettings routing, int engines) {
		this.routing = routing;
		this.fleet = new FleetState(new InstanceIdentity(new InstanceId("entry-1"), new ZoneId("zone-1"), 1));
		limitWorkspace(0);
		List<EndpointDescription> endpoints = new ArrayList<>();
		for (int i = 1; i <= engines; i++) {
			endpoints.add(new EndpointDescription(engine(i), WorkKind.MODEL, new ZoneId("zone-" + i), "127.0.0.1:" + i,
					Set.of("model"), MEMORY_TOKENS, false, false));
		}
		this.fleet.update(new FleetList(1, 1, List.of(), endpoints));
		this.scheduler = new PolicyScheduler(this.fleet, new SplittableRandom(1));
	}

	static SchedulingFixture slack(int engines, int longEnginePercent) {
		return new SchedulingFixture(new RoutingSettings("slack", 0, 0, 0, longEnginePercent), engines);
	}

	static EndpointId engine(int number) {
		return new EndpointId("engine-" + number);
	}

	void limitWorkspace(long maxTokensPerSecond) {
		this.fleet.configure(++this.configurationVersion, new FleetConfiguration(null, null, null, null,
				Map.of("yard", new WorkspaceSettings(1, maxTokensPerSecond, null)), this.routing, null, null, null));
	}

	static Moment at(long millis) {
		return new Moment(millis, millis);
	}

	PendingRequest request(int promptTokens, long timeoutMillis, long... prefixBlocks) {
		return request(promptTokens, timeoutMillis, Set.of(), 0, false, prefixBlocks);
	}

	PendingRequest request(int promptTokens, long timeoutMillis, Set<EndpointId> excluded, long notBeforeMillis,
			boolean suspected, long... prefixBlocks) {
		RequestSpec spec = new RequestSpec(this.nextRequestId++, new WorkspaceId("yard"), "short", WorkKind.MODEL,
				"model", promptTokens, 50, prefixBlocks, 1, Optional.empty(), true, timeoutMillis);
		ProfileSettings profile = new ProfileSettings(5, timeoutMillis, timeoutMillis, true, false, 0);
		return new PendingRequest(spec, profile, 1, 0, timeoutMillis, 0, 0, excluded, notBeforeMillis, suspected);
	}

	void report(int engine, long atMillis, int requests, long queuedPromptTokens, long usedMemoryTokens) {
		EndpointEvent.LoadReported event = new EndpointEvent.LoadReported(at(atMillis), new LoadReport(engine(engine),
				1, requests, 0, queuedPromptTokens, usedMemoryTokens, false, Set.of("model"), "", 0));
		this.scheduler.loadReported(event);
	}

	List<Assignment> admitAndAssign(PendingRequest request, long atMillis) {
		if (this.scheduler.admit(request, at(atMillis)).isPresent()) {
			throw new AssertionError("The scheduler refused the request");
		}
		return this.scheduler.assign(at(atMillis));
	}

	EndpointId assigned(PendingRequest request, long atMillis) {
		return admitAndAssign(request, atMillis).get(0).endpoint();
	}

	void end(PendingRequest request, EndpointId endpoint, int cachedTokens, long firstTokenMillis,
			long durationMillis) {
		int promptTokens = request.spec().promptTokens();
		this.scheduler.ended(new AttemptReport(request.requestId(), endpoint, true, promptTokens, cachedTokens, 20,
				firstTokenMillis, durationMillis), at(durationMillis));
	}

}
