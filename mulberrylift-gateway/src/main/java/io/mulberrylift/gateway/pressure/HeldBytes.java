package io.mulberrylift.gateway.pressure;

/**
 * Counts and bounds the bytes that an instance holds for callers and endpoints: bodies of
 * requests and answers until they are sent, incomplete events, and events that are not
 * sent yet.
 *
 * <p>
 * Not thread-safe; confined to the event loop. Invariants: {@link #bytes()} is the sum of
 * the sizes of all leases; the parts of bodies beyond {@value #OWN_BYTES} bytes share
 * {@value #MAX_LARGE_BYTES} bytes, so that small ones are accepted beside large ones; all
 * bodies together have at most {@value #MAX_BYTES} bytes.
 * </p>
 */
public final class HeldBytes {

	/** Part of a body that does not count as large. */
	public static final int OWN_BYTES = 256 * 1024;

	/** Maximum size of the large parts of all bodies; a fifth of a small heap. */
	public static final int MAX_LARGE_BYTES = 24 * 1024 * 1024;

	/** Maximum size of all bodies; a third of a small heap. */
	public static final int MAX_BYTES = 40 * 1024 * 1024;

	/**
	 * Sum from which events are no longer read ahead of callers; what remains up to the
	 * maximum is for bodies.
	 */
	private static final int READ_AHEAD_BYTES = 30 * 1024 * 1024;

	private long bytes;

	private long largeBytes;

	private long maxBytes;

	private long rejected;

	/**
	 * Returns a lease without bytes.
	 * @return a new lease
	 */
	public Lease lease() {
		return new Lease();
	}

	/**
	 * Returns the number of bytes held.
	 * @return the sum of all leases
	 */
	public long bytes() {
		return this.bytes;
	}

	/**
	 * Returns the largest number of bytes held since the start.
	 * @return the number of bytes
	 */
	public long maxBytes() {
		return this.maxBytes;
	}

	/**
	 * Returns how often a body was not accepted.
	 * @return the number of rejected bodies
	 */
	public long rejected() {
		return this.rejected;
	}

	/**
	 * Returns whether events may be read although earlier ones are not sent yet.
	 * @return false if too much is held
	 */
	public boolean mayReadAhead() {
		return this.bytes < READ_AHEAD_BYTES;
	}

	private void change(int before, int after) {
		this.bytes += after - before;
		this.largeBytes += large(after) - large(before);
		this.maxBytes = Math.max(this.maxBytes, this.bytes);
	}

	private static int large(int size) {
		return Math.max(0, size - OWN_BYTES);
	}

	/**
	 * The bytes held for one purpose, until they are released.
	 *
	 * <p>
	 * Not thread-safe; confined to the event loop.
	 * </p>
	 */
	public final class Lease {

		private int size;

		private boolean released;

		private Lease() {
		}

		public int size() {
			return this.size;
		}

		/**
		 * Changes the size of a body.
		 * @param newSize the new size
		 * @return false if all bodies together would be too large; nothing is changed
		 * then
		 */
		public boolean resize(int newSize) {
			boolean grows = newSize > this.size;
			boolean tooMuch = HeldBytes.this.largeBytes + large(newSize) - large(this.size) > MAX_LARGE_BYTES
					|| HeldBytes.this.bytes + newSize - this.size > MAX_BYTES;
			if (grows && (tooMuch || this.released)) {
				HeldBytes.this.rejected++;
				return false;
			}
			set(newSize);
			return true;
		}

		/**
		 * Changes the size, also beyond the bounds: for bytes that were read already.
		 * @param newSize the new size
		 */
		public void set(int newSize) {
			if (!this.released) {
				change(this.size, newSize);
				this.size = newSize;
			}
		}

		/**
		 * Releases all bytes. Later calls have no effect.
		 */
		public void release() {
			set(0);
			this.released = true;
		}

	}

}
