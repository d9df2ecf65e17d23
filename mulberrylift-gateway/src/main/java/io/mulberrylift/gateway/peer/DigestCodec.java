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
import io.mulberrylift.core.gossip.FullState;
import io.mulberrylift.core.gossip.InstanceDigest;
import io.mulberrylift.core.gossip.KnownMember;
import io.mulberrylift.core.placement.EndpointSummary;
import io.mulberrylift.core.placement.RequestWork;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Writes digests as MessagePack and reads them. Stateless and safe for use by several
 * threads. The sender is not written; the datagram's source names it.
 */
public final class DigestCodec {

	/** Largest message in bytes; fits one datagram on common links. */
	public static final int MAX_BYTES = 1400;

	private static final int FULL_FORMAT = 4;

	private static final int CHANGES_FORMAT = 5;

	/** Memory in sums is told in units of so many tokens. */
	private static final int SUMMARY_MEMORY_UNIT_TOKENS = 4096;

	/** Reading time in sums is told in units of so many milliseconds. */
	private static final int SUMMARY_PREFILL_UNIT_MILLIS = 8;

	private static final int MAX_ENTRIES = 4096;

	/** Memory is told in units of so many tokens. */
	private static final int MEMORY_UNIT_TOKENS = 512;

	/** Times are told in units of so many milliseconds. */
	private static final int TIME_UNIT_MILLIS = 4;

	private DigestCodec() {
	}

	/**
	 * Writes a digest. Work that would make the message too large is left out.
	 * @param digest the digest
	 * @param maxBytes largest message, at most {@value #MAX_BYTES} bytes
	 * @return the message; larger only if it holds no work and is still too large
	 */
	public static byte[] encode(InstanceDigest digest, int maxBytes) {
		List<Map.Entry<Long, RequestWork>> work = new ArrayList<>(digest.work().entrySet());
		// Reading decides more than writing, so that it is kept longest.
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
			if (digest.fullState().isPresent()) {
				pack(packer, digest.fullState().get());
			}
			return packer.toByteArray();
		}
		catch (IOException ex) {
			throw new IllegalStateException("Packing to memory failed", ex);
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
	 * Writes a sum. Plain work is its number of slots alone; a negative number announces
	 * the rest.
	 * @param packer takes it
	 * @param summary the sum
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
	 * Returns the room that a sum takes in a message.
	 * @param summary the sum
	 * @return the size in bytes
	 */
	public static int size(EndpointSummary summary) {
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			pack(packer, summary);
			return (int) packer.getTotalWrittenBytes();
		}
		catch (IOException ex) {
			throw new IllegalStateException("Packing to memory failed", ex);
		}
	}

	private static long ceilToUnits(long value, int unit) {
		return (value + unit - 1) / unit;
	}

	private static void pack(MessageBufferPacker packer, FullState state) throws IOException {
		packer.packString(state.zone()).packLong(state.configurationVersion()).packLong(state.storeRevision());
		packer.packArrayHeader(state.avoided().size());
		for (AvoidedEndpoint avoided : state.avoided()) {
			packer.packInt(avoided.endpointHash()).packLong(avoided.leftMillis());
		}
		packer.packArrayHeader(state.crashes().size());
		for (CrashObservation crash : state.crashes()) {
			packer.packLong(crash.fingerprint()).packInt(crash.endpointHash());
		}
		packer.packArrayHeader(state.members().size());
		for (KnownMember member : state.members()) {
			packer.packString(member.address()).packString(member.zone()).packLong(member.ageMillis());
		}
	}

	/**
	 * Reads a digest.
	 * @param sender address that the message came from
	 * @param message the message
	 * @return the digest
	 * @throws IOException if the message is malformed or of another format
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
			for (int left = size(unpacker); left > 0; left--) {
				work.put(unpacker.unpackLong(), unpackWork(unpacker));
			}
			List<Long> ended = new ArrayList<>();
			for (int left = size(unpacker); left > 0; left--) {
				ended.add(unpacker.unpackLong());
			}
			List<EndpointSummary> summaries = new ArrayList<>();
			for (int left = size(unpacker); left > 0; left--) {
				summaries.add(unpackSummary(unpacker));
			}
			Optional<FullState> whole = (format == FULL_FORMAT) ? Optional.of(unpackState(unpacker)) : Optional.empty();
			return new InstanceDigest(sender, incarnation, sequence, work, ended, summaries, whole);
		}
		catch (RuntimeException ex) {
			throw new IOException("Digest is malformed: " + ex.getMessage(), ex);
		}
	}

	private static int size(MessageUnpacker unpacker) throws IOException {
		int size = unpacker.unpackArrayHeader();
		if (size > MAX_ENTRIES) {
			throw new IOException("Digest holds more than " + MAX_ENTRIES + " entries");
		}
		return size;
	}

	private static RequestWork unpackWork(MessageUnpacker unpacker) throws IOException {
		boolean writing = unpacker.unpackBoolean();
		int endpointHash = unpacker.unpackInt();
		long gapTargetMillis = unpacker.unpackLong() * TIME_UNIT_MILLIS;
		int weight = unpacker.unpackInt();
		long memoryTokens = unpacker.unpackLong() * MEMORY_UNIT_TOKENS;
		long helperMemoryTokens = unpacker.unpackLong() * MEMORY_UNIT_TOKENS;
		List<Integer> helpers = new ArrayList<>();
		for (int left = size(unpacker); left > 0; left--) {
			helpers.add(unpacker.unpackInt());
		}
		int partMillis = (writing) ? 0 : unpacker.unpackInt();
		long dueMillis = (writing) ? 0 : unpacker.unpackLong() * TIME_UNIT_MILLIS;
		long expectedFirstMillis = (writing) ? 0 : unpacker.unpackLong() * TIME_UNIT_MILLIS;
		return new RequestWork(writing, partMillis, memoryTokens, helperMemoryTokens, gapTargetMillis, dueMillis,
				expectedFirstMillis, weight, endpointHash, helpers);
	}

	private static EndpointSummary unpackSummary(MessageUnpacker unpacker) throws IOException {
		int key = unpacker.unpackInt();
		int slots = unpacker.unpackInt();
		if (slots >= 0) {
			return new EndpointSummary(key, slots, 0, 0, 0, 0);
		}
		int writers = unpacker.unpackInt();
		long readMillis = unpacker.unpackLong() * SUMMARY_PREFILL_UNIT_MILLIS;
		long memoryTokens = unpacker.unpackLong() * SUMMARY_MEMORY_UNIT_TOKENS;
		long gapTargetMillis = unpacker.unpackLong() * TIME_UNIT_MILLIS;
		return new EndpointSummary(key, -1 - slots, writers, readMillis, memoryTokens, gapTargetMillis);
	}

	private static FullState unpackState(MessageUnpacker unpacker) throws IOException {
		String zone = unpacker.unpackString();
		long configurationVersion = unpacker.unpackLong();
		long storeRevision = unpacker.unpackLong();
		List<AvoidedEndpoint> avoided = new ArrayList<>();
		for (int left = size(unpacker); left > 0; left--) {
			avoided.add(new AvoidedEndpoint(unpacker.unpackInt(), unpacker.unpackLong()));
		}
		List<CrashObservation> crashes = new ArrayList<>();
		for (int left = size(unpacker); left > 0; left--) {
			crashes.add(new CrashObservation(unpacker.unpackLong(), unpacker.unpackInt()));
		}
		List<KnownMember> members = new ArrayList<>();
		for (int left = size(unpacker); left > 0; left--) {
			members.add(new KnownMember(unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackLong()));
		}
		return new FullState(zone, configurationVersion, storeRevision, avoided, crashes, members);
	}

}
