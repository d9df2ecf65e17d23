package io.mulberrylift.daemon.exchange;

/**
 * The body of a completion request.
 *
 * @param model name of the model
 * @param prompt the complete prompt
 * @param maxOutputTokens maximum number of generated tokens
 */
public record ModelCall(String model, String prompt, int maxOutputTokens) {
}
