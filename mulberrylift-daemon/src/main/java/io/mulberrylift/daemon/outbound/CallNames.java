package io.mulberrylift.daemon.outbound;

import java.io.IOException;
import java.util.Collections;
import java.util.Set;
import java.util.UUID;
import java.util.WeakHashMap;
import java.util.concurrent.atomic.AtomicLong;

import org.apache.hc.client5.http.impl.DefaultClientConnectionReuseStrategy;
import org.apache.hc.core5.http.ConnectionReuseStrategy;
import org.apache.hc.core5.http.EndpointDetails;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpRequestInterceptor;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpResponseInterceptor;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.http.protocol.HttpCoreContext;

/**
 * Names each call in a header, so that a second answer to an earlier call on a connection
 * is not taken for the answer to the current one.
 *
 * <p>
 * Safe for use by several threads. A connection is reused only after an answer that names
 * its call. A call fails if its answer names another one, or names none on a connection
 * that has carried earlier calls.
 * </p>
 */
final class CallNames implements HttpRequestInterceptor, HttpResponseInterceptor, ConnectionReuseStrategy {

	private static final String ATTRIBUTE = CallNames.class.getName();

	private final String prefix = UUID.randomUUID() + "-";

	private final AtomicLong lastNumber = new AtomicLong();

	/** Connections that are kept after a call; each has its own details. */
	private final Set<EndpointDetails> reusedConnections = Collections
		.synchronizedSet(Collections.newSetFromMap(new WeakHashMap<>()));

	@Override
	public void process(HttpRequest request, EntityDetails entity, HttpContext context) {
		String name = this.prefix + this.lastNumber.incrementAndGet();
		request.setHeader(OutboundHttpClient.CALL_HEADER, name);
		context.setAttribute(ATTRIBUTE, name);
	}

	@Override
	public void process(HttpResponse response, EntityDetails entity, HttpContext context) throws IOException {
		boolean named = response.containsHeader(OutboundHttpClient.CALL_HEADER);
		boolean reused = this.reusedConnections.contains(HttpCoreContext.cast(context).getEndpointDetails());
		if (named ? !namesCall(response, context) : reused) {
			throw new UnrelatedReplyException();
		}
	}

	private static boolean namesCall(HttpResponse response, HttpContext context) {
		Header header = response.getFirstHeader(OutboundHttpClient.CALL_HEADER);
		return header != null && header.getValue().equals(context.getAttribute(ATTRIBUTE));
	}

	@Override
	public boolean keepAlive(HttpRequest request, HttpResponse response, HttpContext context) {
		boolean keep = namesCall(response, context)
				&& DefaultClientConnectionReuseStrategy.INSTANCE.keepAlive(request, response, context);
		if (keep) {
			this.reusedConnections.add(HttpCoreContext.cast(context).getEndpointDetails());
		}
		return keep;
	}

}
