package io.mulberrylift.core.forwarding;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * Terms of a workspace that apply to all of its requests. Immutable.
 *
 * @param priority priority of its requests, 0 is the highest; it takes precedence over
 * that of a route; empty if the route decides
 * @param allowedRegions regions that its requests may be in, empty if they may be
 * anywhere
 */
public record WorkspaceTerms(Optional<Integer> priority, List<String> allowedRegions) {

	/** Terms that restrict nothing. */
	public static final WorkspaceTerms NONE = new WorkspaceTerms(Optional.empty(), List.of());

	/**
	 * Creates the terms.
	 */
	public WorkspaceTerms {
		Objects.requireNonNull(priority, "priority");
		allowedRegions = List.copyOf(allowedRegions);
	}

}
