package io.mulberrylift.testkit.experiment;

/**
 * Classes of prompt length for which results are reported.
 */
enum LengthClass {

	/** Up to 2,000 tokens. */
	UP_TO_2K("<=2k", 2_000),

	/** Up to 8,000 tokens. */
	UP_TO_8K("<=8k", 8_000),

	/** Up to 32,000 tokens. */
	UP_TO_32K("<=32k", 32_000),

	/** Up to 128,000 tokens. */
	UP_TO_128K("<=128k", 128_000),

	/** Above 128,000 tokens. */
	ABOVE_128K(">128k", Integer.MAX_VALUE);

	/** Maximum length of a short prompt, in tokens. */
	static final int SHORT_PROMPT_TOKENS = 8_000;

	private final String label;

	private final int maxPromptTokens;

	LengthClass(String label, int maxPromptTokens) {
		this.label = label;
		this.maxPromptTokens = maxPromptTokens;
	}

	String label() {
		return this.label;
	}

	static LengthClass of(int promptTokens) {
		for (LengthClass lengthClass : values()) {
			if (promptTokens <= lengthClass.maxPromptTokens) {
				return lengthClass;
			}
		}
		throw new IllegalArgumentException("No length class for " + promptTokens + " tokens");
	}

}
