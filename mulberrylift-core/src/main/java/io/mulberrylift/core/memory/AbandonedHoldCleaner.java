package io.mulberrylift.core.memory;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import io.mulberrylift.core.effect.ControlEffect.Part;
import io.mulberrylift.core.effect.Effects;
import io.mulberrylift.core.effect.EndpointEffect;
import io.mulberrylift.core.event.EndpointEvent;
import io.mulberrylift.core.fleet.EndpointState;
import io.mulberrylift.core.fleet.FleetState;
import io.mulberrylift.core.hash.Rendezvous;
import io.mulberrylift.core.model.EndpointId;
import io.mulberrylift.core.model.HoldDescription;
import io.mulberrylift.core.model.InstanceDescription;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.WorkKind;
import io.mulberrylift.core.time.Moment;

/**
 * Lists the holds on engines and releases those whose owner no longer exists.
 *
 * <p>
 * Not thread-safe; owned by the reducer. Each engine is checked by one instance of its
 * zone, chosen by rendezvous hashing. A hold counts as abandoned if its owner is absent
 * from the instance list in two successive listings of the engine's holds that are at
 * least {@value #MIN_OWNER_ABSENCE_MILLIS} ms apart. Releasing a hold of a live owner
 * would abort its request, so a hold of a listed owner is never released here; it expires
 * on the engine.
 * </p>
 */
final class AbandonedHoldCleaner {

	private static final long LISTING_INTERVAL_MILLIS = 2_000;

	private static final long MIN_OWNER_ABSENCE_MILLIS = 6_000;

	private final FleetState fleet;

	private final Map<HoldKey, Long> ownerAbsentSinceMonotonicMillis = new HashMap<>();

	private final Map<EndpointId, Integer> listedHolds = new HashMap<>();

	private long nextMonotonicMillis = Long.MIN_VALUE;

	AbandonedHoldCleaner(FleetState fleet) {
		this.fleet = Objects.requireNonNull(fleet, "fleet");
	}

	void tick(Moment now, Effects effects) {
		if (now.monotonicMillis() < this.nextMonotonicMillis) {
			return;
		}
		this.nextMonotonicMillis = now.monotonicMillis() + LISTING_INTERVAL_MILLIS;
		this.listedHolds.keySet().removeIf((engine) -> this.fleet.endpoint(engine).isEmpty());
		this.ownerAbsentSinceMonotonicMillis.keySet().removeIf((key) -> this.fleet.endpoint(key.engine()).isEmpty());
		for (EndpointState endpoint : this.fleet.endpoints()) {
			if (endpoint.description().kind() == WorkKind.MODEL && isResponsibleFor(endpoint)) {
				effects.add(new EndpointEffect.ListHolds(endpoint.id()));
			}
		}
	}

	private boolean isResponsibleFor(EndpointState endpoint) {
		Optional<InstanceId> responsible = this.fleet.list()
			.instances()
			.stream()
			.filter((instance) -> !instance.leaving())
			.filter((instance) -> instance.zone().equals(endpoint.description().zone()))
			.map(InstanceDescription::id)
			.max(Comparator.comparingLong((id) -> Rendezvous.score(id.value(), endpoint.id().value())));
		return responsible.isPresent() && responsible.get().equals(this.fleet.self().id());
	}

	void listed(EndpointEvent.HoldsListed event, Effects effects) {
		this.listedHolds.put(event.endpoint(), event.holds().size());
		Map<HoldKey, Long> stillAbsent = new HashMap<>();
		for (HoldDescription hold : event.holds()) {
			if (!ownerExists(hold)) {
				HoldKey key = new HoldKey(event.endpoint(), hold.owner(), hold.ownerIncarnation(), hold.holdId());
				long since = this.ownerAbsentSinceMonotonicMillis.getOrDefault(key, event.at().monotonicMillis());
				stillAbsent.put(key, since);
				releaseWhenAbandoned(event, hold, since, effects);
			}
		}
		this.ownerAbsentSinceMonotonicMillis.keySet().removeIf((key) -> key.engine().equals(event.endpoint()));
		this.ownerAbsentSinceMonotonicMillis.putAll(stillAbsent);
	}

	private void releaseWhenAbandoned(EndpointEvent.HoldsListed event, HoldDescription hold, long sinceMonotonicMillis,
			Effects effects) {
		if (event.at().monotonicMillis() - sinceMonotonicMillis >= MIN_OWNER_ABSENCE_MILLIS) {
			effects.info(Part.MEMORY, "hold " + hold.holdId() + " of unlisted owner " + hold.owner() + " on engine "
					+ event.endpoint() + " is abandoned; releasing it");
			effects.count(Part.MEMORY, "hold.abandoned");
			effects.add(new EndpointEffect.ReleaseHold(event.endpoint(), hold));
		}
	}

	private boolean ownerExists(HoldDescription hold) {
		if (hold.owner().equals(this.fleet.self().id())) {
			return hold.ownerIncarnation() == this.fleet.self().incarnation();
		}
		return this.fleet.list().instances().stream().anyMatch((instance) -> instance.id().equals(hold.owner()));
	}

	Object describe() {
		return new HashMap<>(this.listedHolds);
	}

	private record HoldKey(EndpointId engine, InstanceId owner, long ownerIncarnation, long holdId) {
	}

}
