package io.mulberrylift.daemon.caller;

import io.mulberrylift.core.model.Outcome;
import io.mulberrylift.core.model.Refusal;
import io.mulberrylift.core.model.RefusalReason;
import jakarta.ws.rs.NotFoundException;
import jakarta.ws.rs.core.Response;
import jakarta.ws.rs.ext.ExceptionMapper;

/**
 * Answers calls to unknown paths with a problem document.
 *
 * <p>
 * Safe for use by several threads.
 * </p>
 */
final class UnknownPathMapper implements ExceptionMapper<NotFoundException> {

	@Override
	public Response toResponse(NotFoundException exception) {
		return ProblemResponses
			.of(Refusal.of(Outcome.NOT_RUN, RefusalReason.UNKNOWN_TARGET, "The path is not served here"));
	}

}
