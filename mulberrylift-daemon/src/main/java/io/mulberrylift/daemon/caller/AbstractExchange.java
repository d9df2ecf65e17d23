package io.mulberrylift.daemon.caller;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.mulberrylift.core.model.Refusal;
import io.mulberrylift.core.model.RequestSpec;
import io.mulberrylift.daemon.exchange.AnswerSink;
import io.mulberrylift.daemon.exchange.CallerExchange;
import io.mulberrylift.daemon.exchange.ModelCall;
import io.mulberrylift.daemon.exchange.ServiceCall;

/**
 * Base class of the exchanges of model and service requests.
 *
 * <p>
 * Thread-safe: all state is guarded by the exchange's own monitor. After its end, an
 * exchange sends nothing more.
 * </p>
 */
abstract class AbstractExchange implements CallerExchange, AnswerSink {

	private final RequestSpec spec;

	private final ResponseStream stream;

	private boolean ended;

	/**
	 * Creates an exchange.
	 * @param spec description of the request for the reducer
	 * @param stream stream that sends the response
	 */
	AbstractExchange(RequestSpec spec, ResponseStream stream) {
		this.spec = spec;
		this.stream = stream;
	}

	@Override
	public RequestSpec spec() {
		return this.spec;
	}

	@Override
	public Optional<ModelCall> modelCall() {
		return Optional.empty();
	}

	@Override
	public Optional<ServiceCall> serviceCall() {
		return Optional.empty();
	}

	@Override
	public AnswerSink sink() {
		return this;
	}

	@Override
	public void whenWritable(Runnable action) {
		this.stream.whenWritable(action);
	}

	@Override
	public synchronized void refuse(Refusal refusal) {
		if (!markEnded()) {
			return;
		}
		ProblemDocument problem = ProblemDocument.of(refusal);
		if (this.stream.begun()) {
			this.stream.send(CompletionWriter.errorEvent(problem));
			this.stream.finish();
		}
		else {
			sendResponse(problem.status(), problem.headers(), CallerJson.write(problem));
		}
	}

	/**
	 * Returns the stream that sends the response.
	 * @return the stream
	 */
	ResponseStream stream() {
		return this.stream;
	}

	/**
	 * Returns whether the exchange has ended or its connection has failed.
	 * @return true if nothing more can be sent
	 */
	boolean isClosed() {
		return this.ended || this.stream.failed();
	}

	/**
	 * Marks the exchange as ended.
	 * @return false if it had already ended
	 */
	boolean markEnded() {
		boolean first = !this.ended;
		this.ended = true;
		return first;
	}

	/**
	 * Sends a complete response.
	 * @param status the HTTP status
	 * @param headers headers without the content length
	 * @param body complete body, may be empty
	 */
	void sendResponse(int status, Map<String, List<String>> headers, byte[] body) {
		this.stream.begin(status, headers);
		if (body.length > 0) {
			this.stream.send(body);
		}
		this.stream.finish();
	}

}
