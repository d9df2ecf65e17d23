package io.mulberrylift.daemon.peer;

import java.io.IOException;

import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/**
 * Checks that a body is one whole MessagePack value before it is bound, so that no length
 * in it can ask for more memory than the frame has.
 */
final class MessagePackValidator {

	/** Greatest depth of arrays and maps within each other. */
	static final int MAX_DEPTH = 16;

	private MessagePackValidator() {
	}

	/**
	 * Checks a body.
	 * @param body the body
	 * @throws MalformedFrameException if it is not one whole value or nested too deep
	 */
	static void validate(byte[] body) throws MalformedFrameException {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(body)) {
			walk(unpacker);
			if (unpacker.getTotalReadBytes() != body.length) {
				throw new MalformedFrameException("frame has bytes after its value");
			}
		}
		catch (MalformedFrameException ex) {
			throw ex;
		}
		catch (IOException | RuntimeException ex) {
			throw new MalformedFrameException("frame is not a whole MessagePack value", ex);
		}
	}

	private static void walk(MessageUnpacker unpacker) throws IOException {
		long[] missing = new long[MAX_DEPTH + 1];
		missing[0] = 1;
		int depth = 0;
		while (depth >= 0) {
			if (missing[depth] == 0) {
				depth--;
				continue;
			}
			missing[depth]--;
			long elements = elements(unpacker);
			if (elements > 0) {
				depth++;
				if (depth > MAX_DEPTH) {
					throw new MalformedFrameException("frame is nested deeper than " + MAX_DEPTH);
				}
				missing[depth] = elements;
			}
		}
	}

	private static long elements(MessageUnpacker unpacker) throws IOException {
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
