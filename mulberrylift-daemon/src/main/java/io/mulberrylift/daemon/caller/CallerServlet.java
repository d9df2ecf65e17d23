package io.mulberrylift.daemon.caller;

import java.io.IOException;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ScheduledExecutorService;

import io.mulberrylift.core.model.Outcome;
import io.mulberrylift.core.model.Refusal;
import io.mulberrylift.core.model.RefusalReason;
import jakarta.servlet.AsyncContext;
import jakarta.servlet.http.HttpServlet;
import jakarta.servlet.http.HttpServletRequest;
import jakarta.servlet.http.HttpServletResponse;

/**
 * Serves completion requests and calls to plain services without blocking a thread per
 * call.
 *
 * <p>
 * Thread-safe.
 * </p>
 */
public final class CallerServlet extends HttpServlet {

	private static final long serialVersionUID = 1L;

	private static final long OVERLOADED_RETRY_MILLIS = 1_000;

	private final transient CallerGateway gateway;

	private final transient OpenCalls openCalls;

	private final transient BodyReader.BodyLimits limits;

	private final transient ScheduledExecutorService timer;

	/**
	 * Creates the servlet.
	 * @param gateway validates requests and submits them to the reducer
	 * @param openCalls limits the open calls
	 * @param maxBodyBytes maximum size of a body in bytes
	 * @param bodyTimeoutMillis time within which the complete body must arrive, in
	 * milliseconds
	 * @param timer schedules the timeouts of bodies
	 */
	public CallerServlet(CallerGateway gateway, OpenCalls openCalls, int maxBodyBytes, long bodyTimeoutMillis,
			ScheduledExecutorService timer) {
		this.gateway = gateway;
		this.openCalls = openCalls;
		this.limits = new BodyReader.BodyLimits(maxBodyBytes, bodyTimeoutMillis);
		this.timer = timer;
	}

	@Override
	protected void service(HttpServletRequest request, HttpServletResponse response) throws IOException {
		AsyncContext context = request.startAsync();
		context.setTimeout(0);
		CallerRequest head = head(request);
		Optional<OpenCalls.Permit> permit = this.openCalls.tryAcquire();
		OpenCall call = new OpenCall(head, context, this.gateway, permit);
		if (permit.isEmpty()) {
			call.refused(Refusal.retryable(Outcome.NOT_RUN, RefusalReason.OVERLOADED,
					"The limit of open requests is reached", OVERLOADED_RETRY_MILLIS));
		}
		else if (request.getContentLengthLong() > this.limits.maxBodyBytes()) {
			call.refused(Refusal.of(Outcome.NOT_RUN, RefusalReason.BODY_TOO_LARGE, "The body has "
					+ request.getContentLengthLong() + " bytes; allowed: at most " + this.limits.maxBodyBytes()));
		}
		else {
			new BodyReader(request.getInputStream(), this.limits, permit.get(), call).start(this.timer);
		}
	}

	private static CallerRequest head(HttpServletRequest request) {
		Map<String, List<String>> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
		Collections.list(request.getHeaderNames())
			.forEach((name) -> headers.put(name, Collections.list(request.getHeaders(name))));
		String query = (request.getQueryString() != null) ? request.getQueryString() : "";
		return new CallerRequest(request.getMethod(), request.getRequestURI(), query, headers, new byte[0]);
	}

}
