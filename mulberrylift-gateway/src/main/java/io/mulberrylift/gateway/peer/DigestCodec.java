package io.mulberrylift.gateway.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.mulberrylift.core.gossip.AvoidedEndpoint;
import io.mulberrylift.core.gossip.CrashObservation;
import io.mulberrylift.core.gossip.EndpointLimit;
import io.mulberrylift.core.gossip.FleetFigures;
import io.mulberrylift.core.gossip.FullState;
import io.mulberrylift.core.gossip.InstanceDigest;
import io.mulberrylift.core.gossip.KnownMember;
import io.mulberrylift.core.gossip.RequestAttribute;
import io.mulberrylift.core.gossip.StoreKnowledge;
import io.mulberrylift.core.gossip.StoreRevision;
import io.mulberrylift.core.gossip.StoreRole;
import io.mulberrylift.core.placement.EndpointSummary;
import io.mulberrylift.core.placement.RequestWork;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes digests as MessagePack and decodes them. Stateless and thread-safe. The sender
 * is not encoded, since the source address of the datagram identifies it.
 */
public final class DigestCodec {

	/**
	 * Maximum size of a message, which fits into one unfragmented datagram on common
	 * links.
	 */
	public static final int MAX_BYTES = 1400;

	private static final int FULL_FORMAT = 12;

	private static final int CHANGES_FORMAT = 11;

	/** Unit of memory in summaries. */
	private static final int SUMMARY_MEMORY_UNIT_TOKENS = 4096;

	/** Unit of prefill time in summaries. */
	private static final int SUMMARY_PREFILL_UNIT_MILLIS = 8;

	private static final int MAX_ENTRIES = 4096;

	/** Unit of memory in the work of single requests. */
	private static final int MEMORY_UNIT_TOKENS = 512;

	private static final long ENDED_LIMIT = -1;

	/** Number of the optional field of a full state that contains the store's epoch. */
	private static final int STORE_EPOCH_FIELD = 1;

	/** Number of the optional field that contains how changes of the store are read. */
	private static final int STORE_ROLE_FIELD = 2;

	/** Number of the optional field that contains the age of the store's answer. */
	private static final int STORE_CONFIRMED_AGE_FIELD = 3;

	/** Unit of times. */
	private static final int TIME_UNIT_MILLIS = 4;

	private DigestCodec() {
	}

	/**
	 * Encodes a digest. Work of requests that does not fit is left out.
	 * @param digest the digest
	 * @param maxBytes maximum size of the message, capped at {@value #MAX_BYTES} bytes
	 * @return the message; it exceeds the maximum only if it is too large without any
	 * work
	 */
	public static byte[] encode(InstanceDigest digest, int maxBytes) {
		List<Map.Entry<Long, RequestWork>> work = new ArrayList<>(digest.work().entrySet());
		// Work in prefill affects placement more than work in decode, so it is left out
		// last.
		work.sort(Comparator.comparing((each) -> each.getValue().decoding()));
		byte[] message = encode(digest, work);
		while (message.length > Math.min(maxBytes, MAX_BYTES) && !work.isEmpty()) {
			work = work.subList(0, work.size() * 3 / 4);
			message = encode(digest, work);
		}
		return message;
	}

	private static byte[] encode(InstanceDigest digest, List<Map.Entry<Long, RequestWork>> work) {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			packer.packInt((digest.fullState().isPresent()) ? FULL_FORMAT : CHANGES_FORMAT);
			packer.packLong(digest.incarnation()).packLong(digest.sequence());
			packer.packArrayHeader(work.size());
			for (Map.Entry<Long, RequestWork> each : work) {
				packer.packLong(each.getKey());
				pack(packer, each.getValue());
			}
			packer.packArrayHeader(digest.ended().size());
			for (long request : digest.ended()) {
				packer.packLong(request);
			}
			packer.packArrayHeader(digest.summaries().size());
			for (EndpointSummary summary : digest.summaries()) {
				pack(packer, summary);
			}
			packer.packArrayHeader(digest.crashes().size());
			for (CrashObservation crash : digest.crashes()) {
				pack(packer, crash);
			}
			if (digest.fullState().isPresent()) {
				pack(packer, digest.fullState().get());
			}
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new IllegalStateException("Encoding a digest in memory failed", ex);
		}
	}

	private static void pack(MessageBufferPacker packer, RequestWork work) throws IOException {
		packer.packBoolean(work.decoding()).packInt(work.endpointHash());
		packer.packLong(work.gapTargetMillis() / TIME_UNIT_MILLIS).packInt((int) Math.round(work.weight()));
		packer.packLong(ceilToUnits(work.memoryTokens(), MEMORY_UNIT_TOKENS))
			.packLong(ceilToUnits(work.helperMemoryTokens(), MEMORY_UNIT_TOKENS));
		packer.packArrayHeader(work.helperHashes().size());
		for (int helper : work.helperHashes()) {
			packer.packInt(helper);
		}
		if (!work.decoding()) {
			packer.packInt((int) Math.round(work.partPrefillMillis()));
			packer.packLong(work.firstTokenDueMillis() / TIME_UNIT_MILLIS);
			packer.packLong(work.expectedFirstTokenMillis() / TIME_UNIT_MILLIS);
		}
	}

	/**
	 * Encodes a summary. If all other fields are zero, only the number of slots is
	 * encoded; a negative number indicates that the other fields follow.
	 * @param packer the packer to write to
	 * @param summary the summary
	 * @throws IOException if the packer fails
	 */
	private static void pack(MessageBufferPacker packer, EndpointSummary summary) throws IOException {
		packer.packInt(summary.endpointKey());
		boolean plain = summary.prefillMillis() == 0 && summary.memoryTokens() == 0 && summary.decodingRequests() == 0
				&& summary.gapTargetMillis() == 0;
		packer.packInt(plain ? summary.slotsInUse() : -1 - summary.slotsInUse());
		if (!plain) {
			packer.packInt(summary.decodingRequests());
			packer.packLong(ceilToUnits(summary.prefillMillis(), SUMMARY_PREFILL_UNIT_MILLIS));
			packer.packLong(ceilToUnits(summary.memoryTokens(), SUMMARY_MEMORY_UNIT_TOKENS));
			packer.packLong(summary.gapTargetMillis() / TIME_UNIT_MILLIS);
		}
	}

	/**
	 * Returns the encoded size of a summary.
	 * @param summary the summary
	 * @return the size in bytes
	 */
	public static int size(EndpointSummary summary) {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			pack(packer, summary);
			return (int) packer.getTotalWrittenBytes();
		}
		catch (IOException ex) {
			throw new IllegalStateException("Encoding a digest in memory failed", ex);
		}
	}

	private static long ceilToUnits(long value, int unit) {
		return (value + unit - 1) / unit;
	}

	private static void pack(MessageBufferPacker packer, CrashObservation crash) throws IOException {
		packer.packInt(crash.attribute().kind().ordinal()).packLong(crash.attribute().hash());
		if (crash.lostEndpointHash().isPresent()) {
			packer.packInt(crash.lostEndpointHash().get());
		}
		else {
			packer.packNil();
		}
		packer.packLong(crash.ageMillis() / TIME_UNIT_MILLIS);
	}

	private static void pack(MessageBufferPacker packer, FullState state) throws IOException {
		packer.packString(state.zone()).packLong(state.configurationVersion());
		packer.packLong(state.storeRevision().number());
		packer.packBoolean(state.endpointsReachable());
		packer.packArrayHeader(state.avoided().size());
		for (AvoidedEndpoint avoided : state.avoided()) {
			packer.packInt(avoided.endpointHash()).packLong(avoided.leftMillis());
		}
		packer.packArrayHeader(state.limits().size());
		for (EndpointLimit limit : state.limits()) {
			packer.packInt(limit.endpointHash());
			packer.packLong(limit.requestsPerSecond()
				.map((perSecond) -> Math.round(perSecond * EndpointLimit.UNITS_PER_REQUEST))
				.orElse(ENDED_LIMIT));
			packer.packLong(ceilToUnits(limit.ageMillis(), TIME_UNIT_MILLIS));
		}
		packer.packArrayHeader(state.members().size());
		for (KnownMember member : state.members()) {
			packer.packString(member.address()).packString(member.zone()).packLong(member.ageMillis());
		}
		packOptionalFields(packer, state);
	}

	/**
	 * Encodes the fields by their numbers. Readers skip numbers that they do not know,
	 * and builds without optional fields ignore all of them.
	 * @param packer the packer to write to
	 * @param state the state
	 * @throws IOException if the packer fails
	 */
	private static void packOptionalFields(MessageBufferPacker packer, FullState state) throws IOException {
		long storeEpoch = state.storeRevision().epoch();
		int fields = ((storeEpoch != 0) ? 1 : 0) + ((state.storeKnowledge().isPresent()) ? 2 : 0)
				+ FleetFiguresCodec.fields(state.figures());
		if (fields == 0) {
			return;
		}
		packer.packMapHeader(fields);
		if (storeEpoch != 0) {
			packer.packInt(STORE_EPOCH_FIELD).packLong(storeEpoch);
		}
		if (state.storeKnowledge().isPresent()) {
			StoreKnowledge knowledge = state.storeKnowledge().get();
			packer.packInt(STORE_ROLE_FIELD).packInt(knowledge.role().code());
			packer.packInt(STORE_CONFIRMED_AGE_FIELD)
				.packLong(ceilToUnits(knowledge.confirmedAgeMillis(), TIME_UNIT_MILLIS));
		}
		FleetFiguresCodec.pack(packer, state.figures());
	}

	/**
	 * Decodes a digest.
	 * @param sender address that the message was received from
	 * @param message the message
	 * @return the digest
	 * @throws IOException if the message is malformed or has an unknown format
	 */
	public static InstanceDigest decode(String sender, byte[] message) throws IOException {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(message)) {
			int format = unpacker.unpackInt();
			if (format != FULL_FORMAT && format != CHANGES_FORMAT) {
				throw new IOException("Digest has an unknown format; run the same version on all instances");
			}
			long incarnation = unpacker.unpackLong();
			long sequence = unpacker.unpackLong();
			Map<Long, RequestWork> work = new HashMap<>();
			for (int remaining = size(unpacker); remaining > 0; remaining--) {
				work.put(unpacker.unpackLong(), unpackWork(unpacker));
			}
			List<Long> ended = new ArrayList<>();
			for (int remaining = size(unpacker); remaining > 0; remaining--) {
				ended.add(unpacker.unpackLong());
			}
			List<EndpointSummary> summaries = new ArrayList<>();
			for (int remaining = size(unpacker); remaining > 0; remaining--) {
				summaries.add(unpackSummary(unpacker));
			}
			List<CrashObservation> crashes = new ArrayList<>();
			for (int remaining = size(unpacker); remaining > 0; remaining--) {
				crashes.add(unpackCrash(unpacker));
			}
			Optional<FullState> state = (format == FULL_FORMAT) ? Optional.of(unpackState(unpacker)) : Optional.empty();
			return new InstanceDigest(sender, incarnation, sequence, work, ended, summaries, crashes, state);
		}
		catch (RuntimeException ex) {
			throw new IOException("Digest is malformed: " + ex.getMessage(), ex);
		}
	}

	private static int size(MessageUnpacker unpacker) throws IOException {
		int size = unpacker.unpackArrayHeader();
		if (size > MAX_ENTRIES) {
			throw new IOException("Digest contains a list of more than " + MAX_ENTRIES + " entries");
		}
		return size;
	}

	private static RequestWork unpackWork(MessageUnpacker unpacker) throws IOException {
		boolean decoding = unpacker.unpackBoolean();
		int endpointHash = unpacker.unpackInt();
		long gapTargetMillis = unpacker.unpackLong() * TIME_UNIT_MILLIS;
		int weight = unpacker.unpackInt();
		long memoryTokens = unpacker.unpackLong() * MEMORY_UNIT_TOKENS;
		long helperMemoryTokens = unpacker.unpackLong() * MEMORY_UNIT_TOKENS;
		List<Integer> helpers = new ArrayList<>();
		for (int remaining = size(unpacker); remaining > 0; remaining--) {
			helpers.add(unpacker.unpackInt());
		}
		int partPrefillMillis = (decoding) ? 0 : unpacker.unpackInt();
		long firstTokenDueMillis = (decoding) ? 0 : unpacker.unpackLong() * TIME_UNIT_MILLIS;
		long expectedFirstTokenMillis = (decoding) ? 0 : unpacker.unpackLong() * TIME_UNIT_MILLIS;
		return new RequestWork(decoding, partPrefillMillis, memoryTokens, helperMemoryTokens, gapTargetMillis,
				firstTokenDueMillis, expectedFirstTokenMillis, weight, endpointHash, helpers);
	}

	private static EndpointSummary unpackSummary(MessageUnpacker unpacker) throws IOException {
		int key = unpacker.unpackInt();
		int slots = unpacker.unpackInt();
		if (slots >= 0) {
			return new EndpointSummary(key, slots, 0, 0, 0, 0);
		}
		int decodingRequests = unpacker.unpackInt();
		long prefillMillis = unpacker.unpackLong() * SUMMARY_PREFILL_UNIT_MILLIS;
		long memoryTokens = unpacker.unpackLong() * SUMMARY_MEMORY_UNIT_TOKENS;
		long gapTargetMillis = unpacker.unpackLong() * TIME_UNIT_MILLIS;
		return new EndpointSummary(key, -1 - slots, decodingRequests, prefillMillis, memoryTokens, gapTargetMillis);
	}

	private static FullState unpackState(MessageUnpacker unpacker) throws IOException {
		String zone = unpacker.unpackString();
		long configurationVersion = unpacker.unpackLong();
		long storeRevisionNumber = unpacker.unpackLong();
		boolean endpointsReachable = unpacker.unpackBoolean();
		List<AvoidedEndpoint> avoided = new ArrayList<>();
		for (int remaining = size(unpacker); remaining > 0; remaining--) {
			avoided.add(new AvoidedEndpoint(unpacker.unpackInt(), unpacker.unpackLong()));
		}
		List<EndpointLimit> limits = new ArrayList<>();
		for (int remaining = size(unpacker); remaining > 0; remaining--) {
			limits.add(unpackLimit(unpacker));
		}
		List<KnownMember> members = new ArrayList<>();
		for (int remaining = size(unpacker); remaining > 0; remaining--) {
			members.add(new KnownMember(unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackLong()));
		}
		OptionalFields optional = OptionalFields.unpack(unpacker);
		return new FullState(zone, configurationVersion, new StoreRevision(optional.storeEpoch(), storeRevisionNumber),
				optional.storeKnowledge(), endpointsReachable, avoided, limits, members, optional.figures());
	}

	private static CrashObservation unpackCrash(MessageUnpacker unpacker) throws IOException {
		RequestAttribute.Kind kind = RequestAttribute.Kind.values()[unpacker.unpackInt()];
		RequestAttribute attribute = new RequestAttribute(kind, unpacker.unpackLong());
		Optional<Integer> lostEndpointHash = (unpacker.tryUnpackNil()) ? Optional.empty()
				: Optional.of(unpacker.unpackInt());
		return new CrashObservation(attribute, lostEndpointHash, unpacker.unpackLong() * TIME_UNIT_MILLIS);
	}

	private static EndpointLimit unpackLimit(MessageUnpacker unpacker) throws IOException {
		int endpointHash = unpacker.unpackInt();
		long units = unpacker.unpackLong();
		Optional<Double> perSecond = (units < 0) ? Optional.empty()
				: Optional.of((double) units / EndpointLimit.UNITS_PER_REQUEST);
		return new EndpointLimit(endpointHash, perSecond, unpacker.unpackLong() * TIME_UNIT_MILLIS);
	}

	/**
	 * Fields that a build may leave out.
	 *
	 * @param storeEpoch epoch of the store, 0 if it is not stated
	 * @param storeKnowledge how the store is read, empty if it is not stated or unknown
	 * @param figures figures of the fleet
	 */
	private record OptionalFields(long storeEpoch, Optional<StoreKnowledge> storeKnowledge, FleetFigures figures) {

		static OptionalFields unpack(MessageUnpacker unpacker) throws IOException {
			long epoch = 0;
			Optional<StoreRole> role = Optional.empty();
			long confirmedAgeMillis = StoreKnowledge.UNCONFIRMED_MILLIS;
			FleetFiguresCodec figures = new FleetFiguresCodec();
			for (int remaining = (unpacker.hasNext()) ? unpacker.unpackMapHeader() : 0; remaining > 0; remaining--) {
				int field = unpacker.unpackInt();
				if (field == STORE_EPOCH_FIELD) {
					epoch = unpacker.unpackLong();
				}
				else if (field == STORE_ROLE_FIELD) {
					role = StoreRole.ofCode(unpacker.unpackInt());
				}
				else if (field == STORE_CONFIRMED_AGE_FIELD) {
					confirmedAgeMillis = unpacker.unpackLong() * TIME_UNIT_MILLIS;
				}
				else if (!figures.unpack(field, unpacker)) {
					unpacker.skipValue();
				}
			}
			long ageMillis = confirmedAgeMillis;
			return new OptionalFields(epoch, role.map((each) -> new StoreKnowledge(each, ageMillis)),
					figures.decoded());
		}

	}

}
