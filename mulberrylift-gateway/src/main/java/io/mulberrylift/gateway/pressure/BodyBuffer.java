package io.mulberrylift.gateway.pressure;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import io.netty.buffer.ByteBuf;

/**
 * A body that is held until it is complete.
 *
 * <p>
 * Not thread-safe; confined to the event loop. The lease has the size of the body as long
 * as it isn't released. Bytes are kept in blocks, so that little capacity is unused.
 * </p>
 */
public final class BodyBuffer {

	private static final int BLOCK_BYTES = 8 * 1024;

	private final HeldBytes.Lease lease;

	private final int maxBytes;

	private final List<byte[]> blocks = new ArrayList<>();

	/** Number of bytes used of the last block. */
	private int lastUsed;

	private int size;

	/**
	 * Creates an empty body.
	 * @param lease accounts for the bytes; has no bytes yet
	 * @param maxBytes maximum size of the body
	 */
	public BodyBuffer(HeldBytes.Lease lease, int maxBytes) {
		this.lease = Objects.requireNonNull(lease, "lease");
		this.maxBytes = maxBytes;
	}

	public int size() {
		return this.size;
	}

	public HeldBytes.Lease lease() {
		return this.lease;
	}

	/**
	 * Appends bytes.
	 * @param bytes the bytes, read to their end
	 * @return false if the body or all bodies together would be too large; nothing is
	 * appended then
	 */
	public boolean append(ByteBuf bytes) {
		int added = bytes.readableBytes();
		if (added == 0) {
			return true;
		}
		if (added > this.maxBytes - this.size || !this.lease.resize(this.size + added)) {
			return false;
		}
		this.size += added;
		byte[] last = this.blocks.isEmpty() ? new byte[0] : this.blocks.get(this.blocks.size() - 1);
		int fits = Math.min(added, last.length - this.lastUsed);
		bytes.readBytes(last, this.lastUsed, fits);
		this.lastUsed += fits;
		int rest = added - fits;
		if (rest > 0) {
			byte[] block = new byte[(this.blocks.isEmpty()) ? rest : Math.max(BLOCK_BYTES, rest)];
			bytes.readBytes(block, 0, rest);
			this.blocks.add(block);
			this.lastUsed = rest;
		}
		return true;
	}

	/**
	 * Returns the body. The lease remains.
	 * @return the bytes
	 */
	public byte[] toByteArray() {
		if (this.blocks.size() == 1) {
			return this.blocks.get(0);
		}
		byte[] body = new byte[this.size];
		int position = 0;
		for (byte[] block : this.blocks) {
			int length = Math.min(block.length, this.size - position);
			System.arraycopy(block, 0, body, position, length);
			position += length;
		}
		return body;
	}

}
