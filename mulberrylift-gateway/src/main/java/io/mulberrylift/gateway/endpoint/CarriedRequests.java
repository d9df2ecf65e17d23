package io.mulberrylift.gateway.endpoint;

import java.util.Arrays;
import java.util.Objects;

/**
 * The requests that a connection has carried, by their identifiers.
 *
 * <p>
 * Not thread-safe; confined to the event loop. Holds hashes, so that long identifiers
 * need no memory: a request may seem to have been carried that was not, never the other
 * way round.
 * </p>
 */
final class CarriedRequests {

	/** Limits the memory of a connection to 4 KiB and the time to search it. */
	static final int MAX_REQUESTS = 1024;

	private static final int INITIAL_CAPACITY = 4;

	private int[] hashes = new int[INITIAL_CAPACITY];

	private int size;

	/**
	 * Adds a request.
	 * @param identifier identifier of the request
	 * @throws IllegalStateException if {@value #MAX_REQUESTS} requests were added
	 */
	void add(String identifier) {
		Objects.requireNonNull(identifier, "identifier");
		if (isFull()) {
			throw new IllegalStateException("Connection has carried " + this.size + " requests already");
		}
		if (this.size == this.hashes.length) {
			this.hashes = Arrays.copyOf(this.hashes, Math.min(MAX_REQUESTS, 2 * this.size));
		}
		this.hashes[this.size] = identifier.hashCode();
		this.size++;
	}

	/**
	 * Returns whether a request may have been added.
	 * @param identifier identifier of the request
	 * @return {@code false} if it certainly was not
	 */
	boolean mayContain(String identifier) {
		int hash = identifier.hashCode();
		for (int index = 0; index < this.size; index++) {
			if (this.hashes[index] == hash) {
				return true;
			}
		}
		return false;
	}

	int size() {
		return this.size;
	}

	/**
	 * Returns whether no more requests can be added.
	 * @return {@code true} after {@value #MAX_REQUESTS} requests
	 */
	boolean isFull() {
		return this.size == MAX_REQUESTS;
	}

}
