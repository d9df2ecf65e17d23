package io.mulberrylift.core.placement;

import java.util.List;

/**
 * Load of a service's engines by the work that one instance knows now. Immutable.
 *
 * @param shortSlotShare share of the slots in its own zone that generate short answers
 * @param longBusyShare share of all engines that prefill a long prompt
 */
record KnownLoad(double shortSlotShare, double longBusyShare) {

	/** No load. */
	static final KnownLoad NONE = new KnownLoad(0, 0);

	/**
	 * Returns the known load.
	 * @param engines the engines with their work
	 * @param model their cost model
	 * @param zone availability zone whose work is known completely
	 * @param nowMillis the current time
	 * @return the load
	 */
	static KnownLoad of(List<EndpointWork> engines, EngineCostModel model, String zone, long nowMillis) {
		long slots = 0;
		long shortSlots = 0;
		long longBusy = 0;
		for (EndpointWork engine : engines) {
			boolean ownZone = zone.equals(engine.endpoint().zone());
			slots += (ownZone) ? engine.endpoint().slots() : 0;
			boolean busy = false;
			for (WorkItem item : engine.items()) {
				boolean shortAnswer = DemandKind.of(item.gapTargetMillis(), model) == DemandKind.SHORT_ANSWER;
				shortSlots += (ownZone && shortAnswer && item.phase() != WorkPhase.HELPER_PREFILL) ? 1 : 0;
				busy |= !shortAnswer && item.remainingPrefillMillis(nowMillis) > 0;
			}
			longBusy += (busy) ? 1 : 0;
		}
		return new KnownLoad((double) shortSlots / Math.max(1, slots), (double) longBusy / Math.max(1, engines.size()));
	}

	/**
	 * Returns the number of engines that the short answers in progress need if other
	 * zones have as many.
	 * @param engines number of engines
	 * @param comfortableSlotShare share of their slots that is used comfortably
	 * @return the number
	 */
	double shortEngines(int engines, double comfortableSlotShare) {
		return Math.min(1, this.shortSlotShare / comfortableSlotShare) * engines;
	}

}
