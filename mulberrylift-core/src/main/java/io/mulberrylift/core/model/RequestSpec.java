package io.mulberrylift.core.model;

import java.util.Objects;
import java.util.Optional;

/**
 * The properties of a caller's request that the reducer needs. The body stays in the
 * embedding process.
 *
 * <p>
 * Immutable by convention: the prefix block array must not be changed after construction.
 * </p>
 *
 * @param requestId identifier of this send, unique within the incarnation of the instance
 * @param workspace the workspace to which the request is attributed
 * @param profile name of the profile that applies
 * @param kind the kind of work
 * @param target name of the model or the plain service
 * @param promptTokens estimated length of the prompt in tokens, 0 for plain services
 * @param maxOutputTokens maximum number of generated tokens, 0 for plain services
 * @param prefixBlocks hashes of the prompt's blocks, each computed over the prompt up to
 * the end of the block
 * @param fingerprint hash of target and body; equal requests have equal fingerprints
 * @param key the idempotency key, empty when the caller sent none
 * @param repeatable whether the request may run more than once
 * @param timeoutMillis time from the arrival to the deadline, in milliseconds
 */
public record RequestSpec(long requestId, WorkspaceId workspace, String profile, WorkKind kind, String target,
		int promptTokens, int maxOutputTokens, long[] prefixBlocks, long fingerprint, Optional<IdempotencyKey> key,
		boolean repeatable, long timeoutMillis) {

	/** Number of prompt tokens covered by one prefix block. */
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
	 * Returns the number of tokens that the request may occupy in an engine's memory.
	 * @return the sum of the prompt tokens and the maximum output tokens
	 */
	public long totalTokens() {
		return (long) this.promptTokens + this.maxOutputTokens;
	}

}
