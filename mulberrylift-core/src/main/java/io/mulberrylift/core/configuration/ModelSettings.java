package io.mulberrylift.core.configuration;

import java.util.List;

/**
 * Settings of a served model.
 *
 * @param version the version that engines load
 * @param adapters the adapters that engines load with the model
 * @param maxPromptTokens maximum accepted length of a prompt in tokens
 * @param maxOutputTokens maximum accepted length of an answer in tokens
 */
public record ModelSettings(String version, List<String> adapters, int maxPromptTokens, int maxOutputTokens) {

	/** Default maximum length of a prompt in tokens. */
	public static final int DEFAULT_MAX_PROMPT_TOKENS = 1_000_000;

	/** Default maximum length of an answer in tokens. */
	public static final int DEFAULT_MAX_OUTPUT_TOKENS = 8_192;

	/**
	 * Creates the settings. Absent values, null or 0, get their defaults.
	 */
	public ModelSettings {
		version = (version != null) ? version : "1";
		adapters = (adapters != null) ? List.copyOf(adapters) : List.of();
		maxPromptTokens = (maxPromptTokens != 0) ? maxPromptTokens : DEFAULT_MAX_PROMPT_TOKENS;
		maxOutputTokens = (maxOutputTokens != 0) ? maxOutputTokens : DEFAULT_MAX_OUTPUT_TOKENS;
	}

}
