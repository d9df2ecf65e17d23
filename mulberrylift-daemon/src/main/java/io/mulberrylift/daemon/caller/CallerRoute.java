package io.mulberrylift.daemon.caller;

import io.mulberrylift.core.configuration.FleetConfiguration;
import io.mulberrylift.core.model.RefusalReason;
import io.mulberrylift.daemon.exchange.CallerExchange;

/**
 * The kinds of requests that the caller servlet accepts.
 */
enum CallerRoute {

	/** A text completion. */
	COMPLETION {

		@Override
		CheckResult<CallerExchange> start(CallerGateway gateway, CallerRequest request, ResponseStream stream) {
			return model(CompletionFormat.COMPLETION, gateway, request, stream);
		}

		@Override
		boolean isRepeatable(CallerRequest request, FleetConfiguration configuration) {
			return EarlyRefusals.isRepeatableModelWork(request, configuration);
		}

	},

	/** A chat completion. */
	CHAT {

		@Override
		CheckResult<CallerExchange> start(CallerGateway gateway, CallerRequest request, ResponseStream stream) {
			return model(CompletionFormat.CHAT, gateway, request, stream);
		}

		@Override
		boolean isRepeatable(CallerRequest request, FleetConfiguration configuration) {
			return EarlyRefusals.isRepeatableModelWork(request, configuration);
		}

	},

	/** A call to a plain service. */
	SERVICE {

		@Override
		CheckResult<CallerExchange> start(CallerGateway gateway, CallerRequest request, ResponseStream stream) {
			return ServicePath.parse(request.path(), request.query())
				.map((path) -> gateway.startServiceCall(path, request, stream))
				.orElseGet(() -> CheckResult.refused(RefusalReason.BAD_REQUEST,
						"The path must name a service and must have no empty or dot segments, encoded separators or "
								+ "parameters"));
		}

		@Override
		boolean isRepeatable(CallerRequest request, FleetConfiguration configuration) {
			return EarlyRefusals.isRepeatableServiceCall(request, configuration);
		}

	};

	/** Path of text completions. */
	static final String COMPLETION_PATH = "/v1/completions";

	/** Path of chat completions. */
	static final String CHAT_PATH = "/v1/chat/completions";

	/**
	 * Returns the route of a path.
	 * @param path the raw path, one that the servlet is mapped to
	 * @return the route; {@link #SERVICE}, which refuses malformed paths, for all other
	 * paths
	 */
	static CallerRoute of(String path) {
		if (path.equals(COMPLETION_PATH)) {
			return COMPLETION;
		}
		return (path.equals(CHAT_PATH)) ? CHAT : SERVICE;
	}

	/**
	 * Validates a request and creates its exchange.
	 * @param gateway validates requests
	 * @param request the request
	 * @param stream stream that sends the response
	 * @return the exchange, or why the request is refused
	 */
	abstract CheckResult<CallerExchange> start(CallerGateway gateway, CallerRequest request, ResponseStream stream);

	/**
	 * Returns whether a request is known to be for work that may run more than once.
	 * @param request the request, with or without its body
	 * @param configuration the configuration in force
	 * @return true if the work may be repeated; false if not or if this cannot be
	 * determined
	 */
	abstract boolean isRepeatable(CallerRequest request, FleetConfiguration configuration);

	private static CheckResult<CallerExchange> model(CompletionFormat format, CallerGateway gateway,
			CallerRequest request, ResponseStream stream) {
		if (!"POST".equals(request.method())) {
			return CheckResult.refused(RefusalReason.BAD_REQUEST,
					"The method is " + request.method() + "; allowed: POST");
		}
		return gateway.startCompletion(format, request, stream);
	}

}
