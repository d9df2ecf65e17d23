package io.mulberrylift.core.model;

import java.util.Objects;
import java.util.Optional;

/**
 * What the reducer needs to know of a caller's request. The body stays in the embedding
 * process.
 *
 * <p>
 * Immutable by convention: the prefix block array must not be changed after construction.
 * </p>
 *
 * @param requestId identity of this send, unique within the instance's incarnation
 * @param workspace the workspace that pays for the request
 * @param profile name of the profile that applies
 * @param kind the kind of work
 * @param target name of the model or the plain service
 * @param promptTokens estimated length of the prompt in tokens, 0 for plain services
 * @param maxOutputTokens greatest number of generated tokens, 0 for plain services
 * @param prefixBlocks hashes of the prompt's blocks, each over all text up to its end
 * @param fingerprint hash of target and body, equal for equal requests
 * @param key the idempotency key, empty when the caller sent none
 * @param repeatable whether the request may run more than once
 * @param timeoutMillis time from arrival within which the request must end, in
 * milliseconds
 */
public record RequestSpec(long requestId, WorkspaceId workspace, String profile, WorkKind kind, String target,
		int promptTokens, int maxOutputTokens, long[] prefixBlocks, long fingerprint, Optional<IdempotencyKey> key,
		boolean repeatable, long timeoutMillis) {

	/** Number of prompt tokens that one prefix block covers. */
	public static final int PREFIX_BLOCK_TOKENS = 1_024;

	/**
	 * Creates the description.
	 * @throws NullPointerException if a reference is null
	 * @throws IllegalArgumentException if a token count is negative or the timeout is not
	 * positive
	 */
	public RequestSpec {
		Objects.requireNonNull(workspace, "workspace");
		Objects.requireNonNull(profile, "profile");
		Objects.requireNonNull(kind, "kind");
		Objects.requireNonNull(target, "target");
		Objects.requireNonNull(prefixBlocks, "prefixBlocks");
		Objects.requireNonNull(key, "key");
		if (promptTokens < 0 || maxOutputTokens < 0) {
			throw new IllegalArgumentException("Token counts must not be negative");
		}
		if (timeoutMillis <= 0) {
			throw new IllegalArgumentException("Timeout must be positive");
		}
	}

	/**
	 * Returns the tokens that the request may occupy in an engine's memory.
	 * @return prompt and output tokens together
	 */
	public long totalTokens() {
		return (long) this.promptTokens + this.maxOutputTokens;
	}

}
