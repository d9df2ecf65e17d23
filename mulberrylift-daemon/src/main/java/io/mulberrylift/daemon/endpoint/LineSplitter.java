package io.mulberrylift.daemon.endpoint;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;

/**
 * Splits a stream of bytes into lines.
 *
 * <p>
 * Not safe for use by several threads. Buffers the bytes that have been appended and not
 * yet returned as lines.
 * </p>
 */
final class LineSplitter {

	private static final int INITIAL_CAPACITY_BYTES = 8 * 1_024;

	private final int maxLineBytes;

	private byte[] buffer = new byte[INITIAL_CAPACITY_BYTES];

	private int start;

	private int scanned;

	private int end;

	LineSplitter(int maxLineBytes) {
		this.maxLineBytes = maxLineBytes;
	}

	void append(byte[] bytes) {
		ensureCapacity(bytes.length);
		System.arraycopy(bytes, 0, this.buffer, this.end, bytes.length);
		this.end += bytes.length;
	}

	private void ensureCapacity(int sizeBytes) {
		if (this.buffer.length - this.end >= sizeBytes) {
			return;
		}
		int bufferedBytes = this.end - this.start;
		byte[] target = this.buffer;
		if (target.length - bufferedBytes < sizeBytes) {
			target = new byte[Math.max(2 * this.buffer.length, bufferedBytes + sizeBytes)];
		}
		System.arraycopy(this.buffer, this.start, target, 0, bufferedBytes);
		this.buffer = target;
		this.scanned -= this.start;
		this.start = 0;
		this.end = bufferedBytes;
	}

	/**
	 * Removes the next line from the buffer.
	 * @return the line without its line feed, valid until the next call of
	 * {@link #append(byte[])}; empty when no complete line is buffered
	 * @throws MalformedAnswerException if a line is too long
	 */
	Optional<ByteBuffer> nextLine() throws MalformedAnswerException {
		while (this.scanned < this.end) {
			if (this.buffer[this.scanned++] == '\n') {
				ByteBuffer line = ByteBuffer.wrap(this.buffer, this.start, this.scanned - 1 - this.start);
				this.start = this.scanned;
				checkLength(line.remaining());
				return Optional.of(line);
			}
		}
		checkLength(this.end - this.start);
		return Optional.empty();
	}

	private void checkLength(int lengthBytes) throws MalformedAnswerException {
		if (lengthBytes > this.maxLineBytes) {
			throw new MalformedAnswerException("line is longer than " + this.maxLineBytes + " bytes");
		}
	}

	boolean buffersMoreThan(int sizeBytes) {
		return this.end - this.start > sizeBytes;
	}

	/**
	 * Copies the bytes that have not been returned as lines.
	 * @return the copy, empty for none
	 */
	byte[] remaining() {
		return Arrays.copyOfRange(this.buffer, this.start, this.end);
	}

}
