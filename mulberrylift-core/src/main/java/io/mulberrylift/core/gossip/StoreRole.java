package io.mulberrylift.core.gossip;

import java.util.Optional;

/**
 * How an instance learns of changes in the platform's store.
 */
public enum StoreRole {

	/** Reads what its peers have read. */
	FOLLOWING(0),

	/** Watches the store, which answers. */
	READING(1),

	/** Watches the store, but is not answered. */
	FAILING(2);

	private final int code;

	StoreRole(int code) {
		this.code = code;
	}

	/**
	 * Returns the number that stands for the role in messages.
	 * @return the number, which no later build changes
	 */
	public int code() {
		return this.code;
	}

	/**
	 * Returns whether an instance of this role takes one of the places of readers of its
	 * zone. One that is not answered leaves it to the next.
	 * @return true unless the store does not answer it
	 */
	public boolean takesPlace() {
		return this != FAILING;
	}

	/**
	 * Returns the role of a number in a message.
	 * @param code the number
	 * @return the role, empty if no role has the number
	 */
	public static Optional<StoreRole> ofCode(int code) {
		for (StoreRole role : values()) {
			if (role.code == code) {
				return Optional.of(role);
			}
		}
		return Optional.empty();
	}

}
