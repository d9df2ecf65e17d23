package io.mulberrylift.daemon.outbound;

import java.io.IOException;

import org.apache.hc.client5.http.async.AsyncExecCallback;
import org.apache.hc.client5.http.async.AsyncExecChain;
import org.apache.hc.client5.http.async.AsyncExecChainHandler;
import org.apache.hc.client5.http.protocol.HttpClientContext;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.nio.AsyncEntityProducer;

/**
 * Inserts the {@link SendGate} of a call between connecting and sending the request.
 *
 * <p>
 * Immutable and safe for use by several threads. Calls without a gate pass unchanged.
 * </p>
 */
final class SendGateHandler implements AsyncExecChainHandler {

	private static final String ATTRIBUTE = SendGate.class.getName();

	static void attach(SendGate gate, HttpClientContext context) {
		context.setAttribute(ATTRIBUTE, gate);
	}

	@Override
	public void execute(HttpRequest request, AsyncEntityProducer entityProducer, AsyncExecChain.Scope scope,
			AsyncExecChain chain, AsyncExecCallback callback) throws HttpException, IOException {
		if (scope.clientContext.getAttribute(ATTRIBUTE) instanceof SendGate gate) {
			AsyncExecChain.Scope gatedScope = new AsyncExecChain.Scope(scope.exchangeId, scope.route,
					scope.originalRequest, scope.cancellableDependency, scope.clientContext,
					new GatedExecRuntime(scope.execRuntime, gate), scope.scheduler, scope.execCount);
			chain.proceed(request, entityProducer, gatedScope, callback);
		}
		else {
			chain.proceed(request, entityProducer, scope, callback);
		}
	}

}
