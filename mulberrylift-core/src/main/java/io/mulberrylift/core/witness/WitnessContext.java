package io.mulberrylift.core.witness;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

import io.mulberrylift.core.configuration.IdempotencySettings;
import io.mulberrylift.core.effect.ControlEffect.Part;
import io.mulberrylift.core.effect.Effects;
import io.mulberrylift.core.effect.PeerEffect;
import io.mulberrylift.core.fleet.FleetState;
import io.mulberrylift.core.model.FleetList;
import io.mulberrylift.core.model.InstanceDescription;
import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.ZoneId;
import io.mulberrylift.core.peer.WitnessMessage;
import io.mulberrylift.core.time.Moment;

/**
 * State shared by the classes of this package: the fleet, the current time and the
 * sending of messages to other instances.
 *
 * <p>
 * Not thread-safe; owned by the reducer. A message to this instance itself is delivered
 * immediately and never becomes an effect.
 * </p>
 */
final class WitnessContext {

	private final FleetState fleet;

	private final PeerLiveness peers;

	private LocalReceiver localReceiver;

	private final Map<ZoneId, List<InstanceDescription>> orders = new HashMap<>();

	private FleetList orderedList;

	private Moment now = new Moment(0, 0);

	WitnessContext(FleetState fleet, PeerLiveness peers) {
		this.fleet = Objects.requireNonNull(fleet, "fleet");
		this.peers = Objects.requireNonNull(peers, "peers");
	}

	void deliverLocallyTo(LocalReceiver receiver) {
		this.localReceiver = receiver;
	}

	void observe(Moment moment) {
		this.now = moment;
	}

	Moment now() {
		return this.now;
	}

	FleetState fleet() {
		return this.fleet;
	}

	PeerLiveness peers() {
		return this.peers;
	}

	IdempotencySettings settings() {
		return this.fleet.configuration()
			.map((configuration) -> configuration.promise())
			.orElse(IdempotencySettings.DEFAULTS);
	}

	boolean isWitnessZone(ZoneId zone) {
		return this.fleet.configuration().map((known) -> known.witnessZones().contains(zone)).orElse(false);
	}

	/**
	 * Returns the instances of a zone in the order of {@link SeatTable}.
	 * @param zone the zone
	 * @return the instances, empty if none is listed
	 */
	List<InstanceDescription> order(ZoneId zone) {
		FleetList list = this.fleet.list();
		if (list != this.orderedList) {
			this.orderedList = list;
			this.orders.clear();
		}
		return this.orders.computeIfAbsent(zone, (key) -> SeatTable.order(list, key));
	}

	boolean isSelf(InstanceId instance) {
		return instance.equals(this.fleet.self().id());
	}

	void send(InstanceId to, WitnessMessage message, Effects effects) {
		if (isSelf(to)) {
			this.localReceiver.receive(to, message, effects);
			return;
		}
		effects.count(Part.WITNESS, "sent");
		effects.add(new PeerEffect.Send(to, message));
	}

	/**
	 * Receives the messages that this instance sends to itself.
	 */
	@FunctionalInterface
	interface LocalReceiver {

		void receive(InstanceId from, WitnessMessage message, Effects effects);

	}

}
