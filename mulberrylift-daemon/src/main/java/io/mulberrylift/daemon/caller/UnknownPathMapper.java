package io.mulberrylift.daemon.caller;

import io.mulberrylift.core.model.Outcome;
import io.mulberrylift.core.model.Refusal;
import io.mulberrylift.core.model.RefusalReason;
import jakarta.ws.rs.NotFoundException;
import jakarta.ws.rs.core.Response;
import jakarta.ws.rs.ext.ExceptionMapper;

/**
 * Responds to requests for unknown paths with a problem document.
 *
 * <p>
 * Thread-safe.
 * </p>
 */
final class UnknownPathMapper implements ExceptionMapper<NotFoundException> {

	@Override
	public Response toResponse(NotFoundException exception) {
		return ProblemResponses
			.of(Refusal.of(Outcome.NOT_RUN, RefusalReason.UNKNOWN_TARGET, "There is no resource at this path"));
	}

}
