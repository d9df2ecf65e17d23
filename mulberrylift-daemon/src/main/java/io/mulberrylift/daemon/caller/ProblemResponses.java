package io.mulberrylift.daemon.caller;

import io.mulberrylift.core.model.Refusal;
import jakarta.ws.rs.core.Response;

/**
 * Converts refusals into Jersey responses.
 */
final class ProblemResponses {

	private ProblemResponses() {
	}

	/**
	 * Converts a refusal into a response.
	 * @param refusal the refusal
	 * @return the response with the problem document as its body
	 */
	static Response of(Refusal refusal) {
		ProblemDocument problem = ProblemDocument.of(refusal);
		Response.ResponseBuilder response = Response.status(problem.status()).entity(CallerJson.write(problem));
		problem.headers().forEach((name, values) -> response.header(name, values.get(0)));
		return response.build();
	}

}
