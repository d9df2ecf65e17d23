package io.mulberrylift.daemon.outbound;

import org.apache.hc.client5.http.EndpointInfo;
import org.apache.hc.client5.http.HttpRoute;
import org.apache.hc.client5.http.async.AsyncExecRuntime;
import org.apache.hc.client5.http.protocol.HttpClientContext;
import org.apache.hc.core5.concurrent.Cancellable;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.nio.AsyncClientExchangeHandler;
import org.apache.hc.core5.util.TimeValue;

/**
 * Delegates to the client's runtime and checks a {@link SendGate} before a request is
 * written.
 *
 * <p>
 * As safe for use by several threads as its delegate.
 * </p>
 */
final class GatedExecRuntime implements AsyncExecRuntime {

	private final AsyncExecRuntime delegate;

	private final SendGate gate;

	GatedExecRuntime(AsyncExecRuntime delegate, SendGate gate) {
		this.delegate = delegate;
		this.gate = gate;
	}

	@Override
	public Cancellable execute(String id, AsyncClientExchangeHandler handler, HttpClientContext context) {
		return this.delegate.execute(id, new GatedExchangeHandler(handler, this.gate), context);
	}

	@Override
	public boolean isEndpointAcquired() {
		return this.delegate.isEndpointAcquired();
	}

	@Override
	public Cancellable acquireEndpoint(String id, HttpRoute route, Object state, HttpClientContext context,
			FutureCallback<AsyncExecRuntime> callback) {
		return this.delegate.acquireEndpoint(id, route, state, context, callback);
	}

	@Override
	public void releaseEndpoint() {
		this.delegate.releaseEndpoint();
	}

	@Override
	public void discardEndpoint() {
		this.delegate.discardEndpoint();
	}

	@Override
	public boolean isEndpointConnected() {
		return this.delegate.isEndpointConnected();
	}

	@Override
	public Cancellable connectEndpoint(HttpClientContext context, FutureCallback<AsyncExecRuntime> callback) {
		return this.delegate.connectEndpoint(context, callback);
	}

	@Override
	public void disconnectEndpoint() {
		this.delegate.disconnectEndpoint();
	}

	@Override
	public void upgradeTls(HttpClientContext context) {
		this.delegate.upgradeTls(context);
	}

	@Override
	public void upgradeTls(HttpClientContext context, FutureCallback<AsyncExecRuntime> callback) {
		this.delegate.upgradeTls(context, callback);
	}

	@Override
	public EndpointInfo getEndpointInfo() {
		return this.delegate.getEndpointInfo();
	}

	@Override
	public boolean validateConnection() {
		return this.delegate.validateConnection();
	}

	@Override
	public void markConnectionReusable(Object state, TimeValue validity) {
		this.delegate.markConnectionReusable(state, validity);
	}

	@Override
	public void markConnectionNonReusable() {
		this.delegate.markConnectionNonReusable();
	}

	@Override
	public AsyncExecRuntime fork() {
		return new GatedExecRuntime(this.delegate.fork(), this.gate);
	}

}
