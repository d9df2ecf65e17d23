package io.mulberrylift.daemon.caller;

import java.util.OptionalInt;

/**
 * The body of a completion request as sent by the caller.
 *
 * @param model name of the model
 * @param prompt the complete prompt, not empty
 * @param maxOutputTokens requested maximum of generated tokens, empty for the model's
 * limit
 * @param streaming whether the answer is streamed as it is generated
 * @param includeUsage whether a streamed answer includes the token counts
 */
record CompletionRequest(String model, String prompt, OptionalInt maxOutputTokens, boolean streaming,
		boolean includeUsage) {
}
