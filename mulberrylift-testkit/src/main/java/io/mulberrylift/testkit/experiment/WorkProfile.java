package io.mulberrylift.testkit.experiment;

import java.util.Locale;

import io.mulberrylift.core.configuration.ProfileSettings;

/**
 * Profiles of the requests, by prompt length.
 */
enum WorkProfile {

	/** Prompts up to 8,000 tokens. */
	SHORT(8, 15_000, 256),

	/** Prompts up to 100,000 tokens. */
	MEDIUM(5, 120_000, 512),

	/** Prompts above 100,000 tokens. */
	LONG(2, 300_000, 1_024);

	private static final int MEDIUM_PROMPT_TOKENS = 100_000;

	private final int priority;

	private final long timeoutMillis;

	private final int maxOutputTokens;

	WorkProfile(int priority, long timeoutMillis, int maxOutputTokens) {
		this.priority = priority;
		this.timeoutMillis = timeoutMillis;
		this.maxOutputTokens = maxOutputTokens;
	}

	static WorkProfile of(int promptTokens) {
		if (promptTokens <= LengthClass.SHORT_PROMPT_TOKENS) {
			return SHORT;
		}
		return (promptTokens <= MEDIUM_PROMPT_TOKENS) ? MEDIUM : LONG;
	}

	String label() {
		return name().toLowerCase(Locale.ROOT);
	}

	long timeoutMillis() {
		return this.timeoutMillis;
	}

	int maxOutputTokens() {
		return this.maxOutputTokens;
	}

	ProfileSettings settings() {
		return new ProfileSettings(this.priority, this.timeoutMillis, this.timeoutMillis, true, false, 0);
	}

}
