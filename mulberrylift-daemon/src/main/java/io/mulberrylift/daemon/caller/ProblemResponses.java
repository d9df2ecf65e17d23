package io.mulberrylift.daemon.caller;

import io.mulberrylift.core.model.Refusal;
import jakarta.ws.rs.core.Response;

/**
 * Turns refusals into Jersey's responses.
 */
final class ProblemResponses {

	private ProblemResponses() {
	}

	/**
	 * Returns the response of a refusal.
	 * @param refusal the refusal
	 * @return a problem document
	 */
	static Response of(Refusal refusal) {
		ProblemDocument problem = ProblemDocument.of(refusal);
		Response.ResponseBuilder response = Response.status(problem.status()).entity(CallerJson.write(problem));
		problem.headers().forEach((name, values) -> response.header(name, values.get(0)));
		return response.build();
	}

}
