package io.mulberrylift.core.orders;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

import io.mulberrylift.core.configuration.FleetConfiguration;
import io.mulberrylift.core.effect.ControlEffect.Part;
import io.mulberrylift.core.effect.Effects;
import io.mulberrylift.core.effect.EndpointEffect;
import io.mulberrylift.core.event.EndpointEvent;
import io.mulberrylift.core.fleet.EndpointState;
import io.mulberrylift.core.fleet.FleetState;
import io.mulberrylift.core.hash.Rendezvous;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.EngineOrder;
import io.mulberrylift.core.model.InstanceDescription;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.LoadReport;
import io.mulberrylift.core.model.WorkKind;
import io.mulberrylift.core.time.Moment;

/**
 * Sends orders to engines until they match the desired state of the configuration.
 *
 * <p>
 * Not thread-safe; owned by the reducer. Each engine has one coordinator, chosen by
 * rendezvous hashing among the listed instances of its zone. The fencing number of an
 * order is the version of the configuration from which the order was derived. Engines
 * that check fencing therefore refuse a delayed coordinator with an outdated
 * configuration; for engines that do not, the current coordinator detects the difference
 * in the next load report and sends its order again. Two coordinators with the same
 * version send the same orders.
 * </p>
 *
 * <p>
 * Loads are rate limited so that all coordinators together stay within the rate of the
 * weight store; role changes do not use the store and are not limited. An engine that
 * does not report a role is ordered into its role once per engine process and version.
 * After an executed order, the next one is sent only after a load report that arrived
 * later.
 * </p>
 */
public final class OrdersPart {

	private static final long RUN_INTERVAL_MILLIS = 1_000;

	private static final long ANSWER_TIMEOUT_MILLIS = 30_000;

	private final FleetState fleet;

	private final Map<EndpointId, PendingOrder> pendingOrders = new HashMap<>();

	private long nextRunMonotonicMillis = Long.MIN_VALUE;

	private final Map<EndpointId, ExecutedRoleOrder> executedRoleOrders = new HashMap<>();

	private final Map<EndpointId, Long> lastExecutedMonotonicMillis = new HashMap<>();

	private final ModelLoadRateLimiter modelLoadRateLimiter = new ModelLoadRateLimiter();

	private long highestFencingNumberSeen;

	/**
	 * Creates the part without pending orders.
	 * @param fleet the shared fleet state, not null
	 */
	public OrdersPart(FleetState fleet) {
		this.fleet = Objects.requireNonNull(fleet, "fleet");
	}

	/**
	 * Sends the orders that are due.
	 * @param now the current time
	 * @param effects receives the orders
	 */
	public void tick(Moment now, Effects effects) {
		this.modelLoadRateLimiter.recordProcessStart(now);
		Optional<FleetConfiguration> configuration = this.fleet.configuration();
		boolean due = now.monotonicMillis() >= this.nextRunMonotonicMillis;
		if (configuration.isEmpty() || isConfigurationOutdated()
				|| !(due || this.modelLoadRateLimiter.isSlotDue(now))) {
			return;
		}
		this.nextRunMonotonicMillis = now.monotonicMillis() + RUN_INTERVAL_MILLIS;
		this.modelLoadRateLimiter.planNextSlot(this.fleet.self().id(), this.fleet.list(), configuration.get().orders(),
				now);
		this.pendingOrders.values().removeIf((order) -> order.timeoutMonotonicMillis() <= now.monotonicMillis());
		this.lastExecutedMonotonicMillis.keySet().removeIf((engine) -> this.fleet.endpoint(engine).isEmpty());
		this.executedRoleOrders.keySet().removeIf((engine) -> this.fleet.endpoint(engine).isEmpty());
		this.fleet.endpoints()
			.stream()
			.filter(this::isDueForOrder)
			.forEach((engine) -> orderMissing(engine, configuration.get(), now, effects));
	}

	private boolean mayStartLoad(FleetConfiguration configuration, Moment now) {
		return this.modelLoadRateLimiter.mayStartLoad(this.fleet.self().id(), this.fleet.list(), configuration.orders(),
				now);
	}

	/**
	 * Returns whether an engine has seen a newer configuration than this instance.
	 * @return true if this instance must not send orders
	 */
	private boolean isConfigurationOutdated() {
		return this.highestFencingNumberSeen > this.fleet.configurationVersion();
	}

	private boolean isDueForOrder(EndpointState engine) {
		return engine.description().kind() == WorkKind.MODEL && !engine.isLeaving() && engine.lastReport().isPresent()
				&& !this.pendingOrders.containsKey(engine.id()) && hasReportedSinceLastOrder(engine)
				&& coordinator(engine).map(this.fleet.self().id()::equals).orElse(false);
	}

	private boolean hasReportedSinceLastOrder(EndpointState engine) {
		long lastExecuted = this.lastExecutedMonotonicMillis.getOrDefault(engine.id(), Long.MIN_VALUE);
		return engine.lastReportMonotonicMillis() >= lastExecuted;
	}

	private Optional<InstanceId> coordinator(EndpointState engine) {
		return this.fleet.list()
			.instances()
			.stream()
			.filter((instance) -> !instance.leaving())
			.filter((instance) -> instance.zone().equals(engine.description().zone()))
			.map(InstanceDescription::id)
			.max(Comparator.comparingLong((id) -> Rendezvous.score(id.value(), engine.id().value())));
	}

	private void orderMissing(EndpointState engine, FleetConfiguration configuration, Moment now, Effects effects) {
		LoadReport report = engine.lastReport().orElseThrow();
		Optional<EngineOrder> role = DesiredState
			.missingRole(engine.description(), report.role(), configuration, this.fleet.configurationVersion())
			.filter((order) -> !isExecutedRoleOrder(report, order));
		if (role.isPresent()) {
			send(engine, role.get(), now, effects);
			return;
		}
		List<EngineOrder> loads = DesiredState.missingLoads(engine.description(), report.loadedModels(), configuration,
				this.fleet.configurationVersion());
		if (!loads.isEmpty() && mayStartLoad(configuration, now)) {
			this.modelLoadRateLimiter.recordLoad(configuration.orders(), now);
			send(engine, loads.get(0), now, effects);
		}
	}

	private boolean isExecutedRoleOrder(LoadReport report, EngineOrder order) {
		return report.role().isEmpty() && new ExecutedRoleOrder(order, report.incarnation())
			.equals(this.executedRoleOrders.get(report.endpoint()));
	}

	private void send(EndpointState engine, EngineOrder order, Moment now, Effects effects) {
		this.pendingOrders.put(engine.id(), new PendingOrder(order, now.monotonicMillis() + ANSWER_TIMEOUT_MILLIS));
		String version = (order.version().isEmpty()) ? "" : " version " + order.version();
		effects.info(Part.ORDERS, order.kind() + " " + order.subject() + version + " sent to " + engine.id());
		effects.count(Part.ORDERS, "sent");
		effects.add(new EndpointEffect.SendOrder(engine.id(), order));
	}

	/**
	 * Handles an engine's answer to an order.
	 * @param event the answer
	 * @param effects receives the resulting effects
	 */
	public void answered(EndpointEvent.OrderAnswered event, Effects effects) {
		this.highestFencingNumberSeen = Math.max(this.highestFencingNumberSeen, event.highestFencingNumber());
		PendingOrder sent = this.pendingOrders.get(event.endpoint());
		if (sent != null && sent.order().equals(event.order())) {
			this.pendingOrders.remove(event.endpoint());
		}
		if (event.executed()) {
			this.lastExecutedMonotonicMillis.put(event.endpoint(), event.at().monotonicMillis());
		}
		if (event.executed() && event.order().kind() == EngineOrder.Kind.CHANGE_ROLE) {
			this.fleet.endpoint(event.endpoint())
				.flatMap(EndpointState::lastReport)
				.ifPresent((report) -> this.executedRoleOrders.put(event.endpoint(),
						new ExecutedRoleOrder(event.order(), report.incarnation())));
		}
		effects.count(Part.ORDERS, event.executed() ? "obeyed" : "refused");
		if (!event.executed()) {
			effects.warn(Part.ORDERS, event.endpoint() + " refused an order with fencing number "
					+ event.order().fencingNumber() + "; the highest it has seen is " + event.highestFencingNumber());
		}
	}

	/**
	 * Returns the state for the operators' state dump.
	 * @return the unanswered orders and the highest fencing number seen
	 */
	public Map<String, Object> describe() {
		Map<String, Object> state = new TreeMap<>();
		Map<String, String> unanswered = new TreeMap<>();
		this.pendingOrders.forEach((engine, order) -> unanswered.put(engine.value(), order.order().toString()));
		state.put("unanswered", unanswered);
		state.put("highestFencingNumberSeen", this.highestFencingNumberSeen);
		return state;
	}

	private record ExecutedRoleOrder(EngineOrder order, long incarnation) {
	}

	private record PendingOrder(EngineOrder order, long timeoutMonotonicMillis) {
	}

}
