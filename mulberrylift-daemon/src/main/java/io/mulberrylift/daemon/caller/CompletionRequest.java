package io.mulberrylift.daemon.caller;

import java.util.OptionalInt;

/**
 * The body of a completion request as the caller wrote it.
 *
 * @param model name of the model
 * @param prompt the whole prompt, not empty
 * @param maxOutputTokens wanted limit of generated tokens, empty for the model's limit
 * @param streaming whether the answer is sent as it is generated
 * @param includeUsage whether a stream carries the token counts
 */
record CompletionRequest(String model, String prompt, OptionalInt maxOutputTokens, boolean streaming,
		boolean includeUsage) {
}
