package io.mulberrylift.testkit.load;

import io.mulberrylift.core.model.WorkKind;
import io.mulberrylift.testkit.engine.AnswerText;

/**
 * One request of the load.
 *
 * <p>
 * Immutable and safe for use by several threads.
 * </p>
 *
 * @param kind the kind of work
 * @param target the model or service
 * @param profile the profile
 * @param workspace the workspace
 * @param body the prompt, or the body of the service call
 * @param maxOutputTokens maximum length of the answer in tokens, 0 for services
 * @param key idempotency key, empty if there is none
 * @param timeoutMillis time from the send to the deadline, in milliseconds
 */
record LoadRequest(WorkKind kind, String target, String profile, String workspace, String body, int maxOutputTokens,
		String key, long timeoutMillis) {

	boolean idempotent() {
		return this.key.isEmpty();
	}

	long fingerprint() {
		return AnswerText.promptHash(this.body);
	}

	int promptTokens() {
		return (this.kind == WorkKind.MODEL) ? AnswerText.promptTokens(this.body) : 0;
	}

}
