package io.mulberrylift.core.effect;

/**
 * Requests to the platform's services.
 */
public sealed interface PlatformEffect extends Effect {

	/**
	 * Reads the instance list.
	 */
	record ReadList() implements PlatformEffect {
	}

	/**
	 * Reads the configuration, waiting for a document newer than the known one.
	 *
	 * @param knownVersion highest version known, 0 for none
	 * @param waitMillis maximum wait in milliseconds, 0 to read without waiting
	 */
	record WatchConfiguration(long knownVersion, long waitMillis) implements PlatformEffect {
	}

}
