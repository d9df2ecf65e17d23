package io.mulberrylift.gateway.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.mulberrylift.core.gossip.ColdEndpoint;
import io.mulberrylift.core.gossip.CostFigure;
import io.mulberrylift.core.gossip.DemandFigure;
import io.mulberrylift.core.gossip.EvacuationKnowledge;
import io.mulberrylift.core.gossip.FleetFigures;
import io.mulberrylift.core.gossip.StoreRevision;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes the figures of a full state as optional fields, each a number and a list, and
 * collects them when a message is decoded. A list that is empty is not encoded. Further
 * values of an entry are skipped, so that later builds may add some at its end. Not
 * thread-safe; one object decodes one message.
 */
final class FleetFiguresCodec {

	private static final int EVACUATIONS_FIELD = 4;

	private static final int COLD_ENDPOINTS_FIELD = 5;

	private static final int DEMAND_FIELD = 6;

	private static final int COSTS_FIELD = 7;

	private static final int MAX_ENTRIES = 256;

	private static final int MIN_EVACUATIONS_VALUES = 2;

	private static final int COLD_ENDPOINT_VALUES = 2;

	private static final int DEMAND_VALUES = 4;

	private static final int COST_VALUES = 4;

	/** Unit of times. */
	private static final int TIME_UNIT_MILLIS = 4;

	private Optional<EvacuationKnowledge> evacuations = Optional.empty();

	private final List<ColdEndpoint> coldEndpoints = new ArrayList<>();

	private final List<DemandFigure> demand = new ArrayList<>();

	private final List<CostFigure> costs = new ArrayList<>();

	/**
	 * Returns the number of fields that are encoded.
	 * @param figures the figures
	 * @return the number, 0 if they state nothing
	 */
	static int fields(FleetFigures figures) {
		int fields = (figures.evacuations().isPresent()) ? 1 : 0;
		fields += (figures.coldEndpoints().isEmpty()) ? 0 : 1;
		fields += (figures.demand().isEmpty()) ? 0 : 1;
		return fields + ((figures.costs().isEmpty()) ? 0 : 1);
	}

	/**
	 * Encodes the fields.
	 * @param packer the packer to write to, after the header of the map
	 * @param figures the figures
	 * @throws IOException if the packer fails
	 */
	static void pack(MessagePacker packer, FleetFigures figures) throws IOException {
		if (figures.evacuations().isPresent()) {
			EvacuationKnowledge evacuations = figures.evacuations().get();
			packer.packInt(EVACUATIONS_FIELD).packArrayHeader(MIN_EVACUATIONS_VALUES + evacuations.zones().size());
			packer.packLong(evacuations.revision().epoch()).packLong(evacuations.revision().number());
			for (String zone : evacuations.zones()) {
				packer.packString(zone);
			}
		}
		if (!figures.coldEndpoints().isEmpty()) {
			packer.packInt(COLD_ENDPOINTS_FIELD).packArrayHeader(figures.coldEndpoints().size());
			for (ColdEndpoint cold : figures.coldEndpoints()) {
				packer.packArrayHeader(COLD_ENDPOINT_VALUES).packInt(cold.endpointHash());
				packer.packLong((cold.remainingMillis() + TIME_UNIT_MILLIS - 1) / TIME_UNIT_MILLIS);
			}
		}
		if (!figures.demand().isEmpty()) {
			packer.packInt(DEMAND_FIELD).packArrayHeader(figures.demand().size());
			for (DemandFigure each : figures.demand()) {
				packer.packArrayHeader(DEMAND_VALUES).packInt(each.subjectHash()).packInt(each.rank());
				packer.packLong(each.workMillisPerSecond()).packLong(each.waitingMillis());
			}
		}
		if (!figures.costs().isEmpty()) {
			packer.packInt(COSTS_FIELD).packArrayHeader(figures.costs().size());
			for (CostFigure each : figures.costs()) {
				packer.packArrayHeader(COST_VALUES).packInt(each.subjectHash()).packInt(each.quantity());
				packer.packLong(each.value()).packLong(each.weight());
			}
		}
	}

	/**
	 * Decodes a field.
	 * @param field number of the field
	 * @param unpacker the unpacker, before the value
	 * @return false if the number is not known; nothing has been read then
	 * @throws IOException if the value is malformed
	 */
	boolean unpack(int field, MessageUnpacker unpacker) throws IOException {
		switch (field) {
			case EVACUATIONS_FIELD -> unpackEvacuations(unpacker);
			case COLD_ENDPOINTS_FIELD -> {
				for (int remaining = size(unpacker); remaining > 0; remaining--) {
					int values = header(unpacker, COLD_ENDPOINT_VALUES);
					this.coldEndpoints
						.add(new ColdEndpoint(unpacker.unpackInt(), unpacker.unpackLong() * TIME_UNIT_MILLIS));
					unpacker.skipValue(values - COLD_ENDPOINT_VALUES);
				}
			}
			case DEMAND_FIELD -> {
				for (int remaining = size(unpacker); remaining > 0; remaining--) {
					int values = header(unpacker, DEMAND_VALUES);
					this.demand.add(new DemandFigure(unpacker.unpackInt(), unpacker.unpackInt(), unpacker.unpackLong(),
							unpacker.unpackLong()));
					unpacker.skipValue(values - DEMAND_VALUES);
				}
			}
			case COSTS_FIELD -> {
				for (int remaining = size(unpacker); remaining > 0; remaining--) {
					int values = header(unpacker, COST_VALUES);
					this.costs.add(new CostFigure(unpacker.unpackInt(), unpacker.unpackInt(), unpacker.unpackLong(),
							unpacker.unpackLong()));
					unpacker.skipValue(values - COST_VALUES);
				}
			}
			default -> {
				return false;
			}
		}
		return true;
	}

	private void unpackEvacuations(MessageUnpacker unpacker) throws IOException {
		int zones = header(unpacker, MIN_EVACUATIONS_VALUES) - MIN_EVACUATIONS_VALUES;
		StoreRevision revision = new StoreRevision(unpacker.unpackLong(), unpacker.unpackLong());
		List<String> names = new ArrayList<>();
		for (int remaining = zones; remaining > 0; remaining--) {
			names.add(unpacker.unpackString());
		}
		this.evacuations = Optional.of(new EvacuationKnowledge(revision, names));
	}

	private static int size(MessageUnpacker unpacker) throws IOException {
		int size = unpacker.unpackArrayHeader();
		if (size > MAX_ENTRIES) {
			throw new IOException("Digest contains a list of more than " + MAX_ENTRIES + " figures");
		}
		return size;
	}

	private static int header(MessageUnpacker unpacker, int minValues) throws IOException {
		int values = size(unpacker);
		if (values < minValues) {
			throw new IOException("Digest contains a figure of " + values + " values, at least " + minValues
					+ " are needed; run the same version on all instances");
		}
		return values;
	}

	/**
	 * Returns the figures that have been decoded.
	 * @return the figures
	 */
	FleetFigures decoded() {
		return new FleetFigures(this.evacuations, this.coldEndpoints, this.demand, this.costs);
	}

}
