package io.mulberrylift.gateway.endpoint;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.netty.buffer.ByteBuf;

/**
 * Splits the bytes of an event stream into complete events, so that an event that is
 * never completed is not forwarded in part.
 *
 * <p>
 * Not thread-safe; each attempt has its own instance. An event ends with an empty line;
 * lines end with LF or CR LF. An identifier that is empty or has control characters is
 * none, since no header of a request can state it.
 * </p>
 */
public final class EventSplitter {

	private static final String ID_FIELD = "id:";

	private final int maxEventBytes;

	private byte[] buffer = new byte[512];

	private int length;

	/** Position at which the search for the end of the event continues. */
	private int scanned;

	private int lineStart;

	/**
	 * Creates a splitter without buffered bytes.
	 * @param maxEventBytes maximum size of an event that is not complete yet
	 */
	public EventSplitter(int maxEventBytes) {
		this.maxEventBytes = maxEventBytes;
	}

	/**
	 * Appends bytes and removes the events that are complete.
	 * @param bytes the bytes, read to their end
	 * @return the complete events in order
	 * @throws IllegalStateException if the incomplete event exceeds its maximum size
	 */
	public List<StreamEvent> split(ByteBuf bytes) {
		append(bytes);
		List<StreamEvent> events = new ArrayList<>();
		int eventStart = 0;
		while (this.scanned < this.length) {
			if (this.buffer[this.scanned] == '\n') {
				if (isEmptyLine()) {
					events.add(event(eventStart, this.scanned + 1));
					eventStart = this.scanned + 1;
				}
				this.lineStart = this.scanned + 1;
			}
			this.scanned++;
		}
		discard(eventStart);
		if (this.length > this.maxEventBytes) {
			throw new IllegalStateException("Event is larger than " + this.maxEventBytes + " bytes");
		}
		return events;
	}

	/**
	 * Returns the number of bytes of the incomplete event.
	 * @return the number of buffered bytes
	 */
	public int bufferedBytes() {
		return this.length;
	}

	/**
	 * Returns whether part of an event is buffered.
	 * @return {@code true} if the last event is incomplete
	 */
	public boolean hasPartialEvent() {
		return this.length > 0;
	}

	private boolean isEmptyLine() {
		int size = this.scanned - this.lineStart;
		return size == 0 || (size == 1 && this.buffer[this.lineStart] == '\r');
	}

	private void append(ByteBuf bytes) {
		int size = bytes.readableBytes();
		if (this.length + size > this.buffer.length) {
			byte[] larger = new byte[Math.max(this.buffer.length * 2, this.length + size)];
			System.arraycopy(this.buffer, 0, larger, 0, this.length);
			this.buffer = larger;
		}
		bytes.readBytes(this.buffer, this.length, size);
		this.length += size;
	}

	private void discard(int count) {
		System.arraycopy(this.buffer, count, this.buffer, 0, this.length - count);
		this.length -= count;
		this.scanned -= count;
		this.lineStart -= count;
	}

	private StreamEvent event(int start, int end) {
		byte[] bytes = new byte[end - start];
		System.arraycopy(this.buffer, start, bytes, 0, bytes.length);
		return new StreamEvent(bytes, id(bytes));
	}

	private static boolean isIdentifier(String text) {
		return !text.isEmpty() && text.chars().noneMatch(Character::isISOControl);
	}

	private static Optional<String> id(byte[] event) {
		Optional<String> id = Optional.empty();
		for (String line : new String(event, StandardCharsets.ISO_8859_1).split("\r?\n")) {
			if (line.startsWith(ID_FIELD)) {
				id = Optional.of(line.substring(ID_FIELD.length()).trim()).filter(EventSplitter::isIdentifier);
			}
		}
		return id;
	}

}
