package io.mulberrylift.core.gossip;

import java.util.Objects;

/**
 * What several requests may have in common and may crash endpoints by.
 *
 * @param kind what the attribute is
 * @param hash hash of the attribute, equal on all instances
 */
public record RequestAttribute(Kind kind, long hash) {

	/**
	 * Creates the attribute.
	 */
	public RequestAttribute {
		Objects.requireNonNull(kind, "kind");
	}

	/**
	 * Returns the attribute that only repeated sends of the same request share.
	 * @param fingerprint fingerprint of the request
	 * @return the attribute
	 */
	public static RequestAttribute ofRequest(long fingerprint) {
		return new RequestAttribute(Kind.REQUEST, fingerprint);
	}

	/**
	 * Returns the attribute that requests with the same part of their prompts share.
	 * @param hash hash of the part
	 * @return the attribute
	 */
	public static RequestAttribute ofPromptPart(long hash) {
		return new RequestAttribute(Kind.PROMPT_PART, hash);
	}

	/**
	 * Returns the attribute as log lines show it.
	 * @return the kind and the hash in hexadecimal
	 */
	@Override
	public String toString() {
		return this.kind.label + ":" + Long.toHexString(this.hash);
	}

	/** What an attribute is. */
	public enum Kind {

		/** The whole request. */
		REQUEST("request"),

		/** A part of the prompt. */
		PROMPT_PART("prompt-part");

		private final String label;

		Kind(String label) {
			this.label = label;
		}

	}

}
