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
 * @param body the prompt or the call's body
 * @param maxOutputTokens greatest length of the answer in tokens, 0 for services
 * @param key idempotency key, empty for none
 * @param timeoutMillis time within which it must be answered, in milliseconds
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
