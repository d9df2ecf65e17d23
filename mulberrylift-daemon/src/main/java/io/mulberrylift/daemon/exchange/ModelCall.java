package io.mulberrylift.daemon.exchange;

/**
 * The body of a completion request.
 *
 * @param model name of the model
 * @param prompt the whole prompt
 * @param maxOutputTokens greatest number of generated tokens
 */
public record ModelCall(String model, String prompt, int maxOutputTokens) {
}
