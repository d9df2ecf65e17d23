package io.mulberrylift.core.model;

import java.util.Arrays;

/**
 * Classes of prompt length by which latencies are broken down.
 */
public enum PromptLengthClass {

	/** At most 2,000 tokens. */
	UP_TO_2K("le2k", 2_000),

	/** At most 8,000 tokens. */
	UP_TO_8K("le8k", 8_000),

	/** At most 32,000 tokens. */
	UP_TO_32K("le32k", 32_000),

	/** At most 128,000 tokens. */
	UP_TO_128K("le128k", 128_000),

	/** More than 128,000 tokens. */
	OVER_128K("gt128k", Integer.MAX_VALUE);

	private final String label;

	private final int maxTokens;

	PromptLengthClass(String label, int maxTokens) {
		this.label = label;
		this.maxTokens = maxTokens;
	}

	/**
	 * Returns the class of a prompt.
	 * @param promptTokens length of the prompt in tokens
	 * @return the smallest class that the prompt fits
	 */
	public static PromptLengthClass of(int promptTokens) {
		return Arrays.stream(values())
			.filter((candidate) -> promptTokens <= candidate.maxTokens)
			.findFirst()
			.orElse(OVER_128K);
	}

	/**
	 * Returns the name under which metrics show the class.
	 * @return the name
	 */
	public String label() {
		return this.label;
	}

}
