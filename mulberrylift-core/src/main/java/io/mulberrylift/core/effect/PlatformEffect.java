package io.mulberrylift.core.effect;

/**
 * Effects towards the platform's services.
 */
public sealed interface PlatformEffect extends Effect {

	/**
	 * Reads the instance list.
	 */
	record ReadList() implements PlatformEffect {
	}

	/**
	 * Waits for a configuration document newer than the known one.
	 *
	 * @param knownVersion highest version known, 0 for none
	 * @param waitMillis longest wait in milliseconds, 0 to read at once
	 */
	record WatchConfiguration(long knownVersion, long waitMillis) implements PlatformEffect {
	}

}
