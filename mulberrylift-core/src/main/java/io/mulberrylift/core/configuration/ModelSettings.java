package io.mulberrylift.core.configuration;

import java.util.List;

/**
 * A served model.
 *
 * @param version version that engines should load
 * @param adapters adapters that engines should load beside it
 * @param maxPromptTokens longest accepted prompt in tokens
 * @param maxOutputTokens longest accepted answer in tokens
 */
public record ModelSettings(String version, List<String> adapters, int maxPromptTokens, int maxOutputTokens) {

	/** Longest prompt when the document names none, in tokens. */
	public static final int DEFAULT_MAX_PROMPT_TOKENS = 1_000_000;

	/** Longest answer when the document names none, in tokens. */
	public static final int DEFAULT_MAX_OUTPUT_TOKENS = 8_192;

	/**
	 * Creates the settings. Absent values, null or 0, take their defaults.
	 */
	public ModelSettings {
		version = (version != null) ? version : "1";
		adapters = (adapters != null) ? List.copyOf(adapters) : List.of();
		maxPromptTokens = (maxPromptTokens != 0) ? maxPromptTokens : DEFAULT_MAX_PROMPT_TOKENS;
		maxOutputTokens = (maxOutputTokens != 0) ? maxOutputTokens : DEFAULT_MAX_OUTPUT_TOKENS;
	}

}
