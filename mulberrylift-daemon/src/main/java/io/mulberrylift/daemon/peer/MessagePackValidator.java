package io.mulberrylift.daemon.peer;

import java.io.IOException;

import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Validates that a frame body is exactly one complete MessagePack value before it is
 * deserialized, so that a declared length cannot make the decoder allocate more memory
 * than the frame holds.
 */
final class MessagePackValidator {

	/** Maximum nesting depth of arrays and maps. */
	static final int MAX_DEPTH = 16;

	private MessagePackValidator() {
	}

	/**
	 * Validates the structure of a frame body.
	 * @param body the body
	 * @throws MalformedFrameException if it is not exactly one complete value or exceeds
	 * the maximum depth
	 */
	static void validate(byte[] body) throws MalformedFrameException {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(body)) {
			validateElements(unpacker);
			if (unpacker.getTotalReadBytes() != body.length) {
				throw new MalformedFrameException("frame body has trailing bytes after its MessagePack value");
			}
		}
		catch (MalformedFrameException ex) {
			throw ex;
		}
		catch (IOException | RuntimeException ex) {
			throw new MalformedFrameException("frame body is not a complete MessagePack value", ex);
		}
	}

	private static void validateElements(MessageUnpacker unpacker) throws IOException {
		long[] remaining = new long[MAX_DEPTH + 1];
		remaining[0] = 1;
		int depth = 0;
		while (depth >= 0) {
			if (remaining[depth] == 0) {
				depth--;
				continue;
			}
			remaining[depth]--;
			long elementCount = readElementCount(unpacker);
			if (elementCount > 0) {
				depth++;
				if (depth > MAX_DEPTH) {
					throw new MalformedFrameException("frame body is nested deeper than " + MAX_DEPTH);
				}
				remaining[depth] = elementCount;
			}
		}
	}

	private static long readElementCount(MessageUnpacker unpacker) throws IOException {
		switch (unpacker.getNextFormat().getValueType()) {
			case ARRAY:
				return unpacker.unpackArrayHeader();
			case MAP:
				return 2L * unpacker.unpackMapHeader();
			default:
				unpacker.skipValue();
				return 0;
		}
	}

}
