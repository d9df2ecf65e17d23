package io.mulberrylift.daemon.caller;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.mulberrylift.core.model.Outcome;
import io.mulberrylift.core.model.Refusal;
import io.mulberrylift.core.model.RefusalReason;
import io.mulberrylift.core.model.RequestSpec;
import io.mulberrylift.core.model.StoredAnswer;
import io.mulberrylift.daemon.exchange.AnswerSink;
import io.mulberrylift.daemon.exchange.ServiceCall;
import io.mulberrylift.daemon.exchange.ServiceReply;

/**
 * A call to a plain service in progress.
 *
 * <p>
 * Thread-safe. The caller receives the complete answer or none of it.
 * </p>
 */
final class ServiceExchange extends AbstractExchange {

	private static final String DEFAULT_CONTENT_TYPE = "application/octet-stream";

	private final ServiceCall call;

	private ServiceReply reply;

	/**
	 * Creates an exchange.
	 * @param spec description of the request for the reducer
	 * @param call the call
	 * @param stream stream that sends the response
	 */
	ServiceExchange(RequestSpec spec, ServiceCall call, ResponseStream stream) {
		super(spec, stream);
		this.call = call;
	}

	@Override
	public Optional<ServiceCall> serviceCall() {
		return Optional.of(this.call);
	}

	@Override
	public int acceptedTokens() {
		return 0;
	}

	@Override
	public boolean acceptTokens(int offset, List<String> text) {
		throw new IllegalStateException("A plain service's answer has no tokens; use acceptReply");
	}

	@Override
	public void acceptEnd(String finishReason, int promptTokens, int outputTokens) {
		throw new IllegalStateException("A plain service's answer has no tokens; use acceptReply");
	}

	@Override
	public synchronized void acceptReply(ServiceReply newReply) {
		this.reply = newReply;
	}

	@Override
	public synchronized Optional<StoredAnswer> storedAnswer() {
		if (this.reply == null || this.reply.body().length > AnswerSink.MAX_BUFFERED_BYTES) {
			return Optional.empty();
		}
		return Optional.of(new StoredAnswer(this.reply.httpStatus(), contentType(this.reply), this.reply.body()));
	}

	@Override
	public synchronized void complete() {
		if (this.reply == null) {
			refuse(Refusal.of(Outcome.FAILED, RefusalReason.INTERNAL,
					"The call was completed without an answer of the service"));
		}
		else if (markEnded()) {
			sendResponse(this.reply.httpStatus(), EndToEndHeaders.ofResponse(this.reply.headers()), this.reply.body());
		}
	}

	@Override
	public synchronized void replay(StoredAnswer answer) {
		if (markEnded()) {
			sendResponse(answer.httpStatus(), Map.of("Content-Type", List.of(answer.contentType())), answer.body());
		}
	}

	private static String contentType(ServiceReply reply) {
		return reply.headers()
			.entrySet()
			.stream()
			.filter((entry) -> entry.getKey().equalsIgnoreCase("Content-Type"))
			.flatMap((entry) -> entry.getValue().stream())
			.findFirst()
			.orElse(DEFAULT_CONTENT_TYPE);
	}

}
