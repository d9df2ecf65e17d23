package io.mulberrylift.gateway.endpoint;

/**
 * Bounds the bytes of all answers that are buffered until they are complete.
 *
 * <p>
 * Not thread-safe; confined to the event loop. Each answer may have some bytes of its
 * own; only larger ones share the rest.
 * </p>
 */
final class AnswerBuffers {

	/** Maximum size of one answer. */
	static final int MAX_ANSWER_BYTES = 8 * 1024 * 1024;

	/** Size up to which an answer is always accepted. */
	static final int OWN_BYTES = 256 * 1024;

	/** Maximum size of all answers beyond their own bytes; a fifth of a small heap. */
	static final int MAX_SHARED_BYTES = 24 * 1024 * 1024;

	private int sharedBytes;

	/**
	 * Extends an answer.
	 * @param before size of the answer so far
	 * @param added number of bytes to add
	 * @return false if the answer or all answers together would be too large; nothing is
	 * added then
	 */
	boolean extend(int before, int added) {
		int shared = shared(before + added) - shared(before);
		if (before + added > MAX_ANSWER_BYTES || this.sharedBytes + shared > MAX_SHARED_BYTES) {
			return false;
		}
		this.sharedBytes += shared;
		return true;
	}

	/**
	 * Releases an answer.
	 * @param bytes size of the answer
	 */
	void release(int bytes) {
		this.sharedBytes -= shared(bytes);
	}

	private static int shared(int bytes) {
		return Math.max(0, bytes - OWN_BYTES);
	}

}
