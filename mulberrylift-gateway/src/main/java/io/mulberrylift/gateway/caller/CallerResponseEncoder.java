package io.mulberrylift.gateway.caller;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;

/**
 * Encodes responses, without a body for HEAD requests.
 *
 * <p>
 * Not thread-safe; each connection has its own instance.
 * </p>
 */
final class CallerResponseEncoder extends HttpResponseEncoder {

	private boolean bodyless;

	void setBodyless(boolean bodyless) {
		this.bodyless = bodyless;
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpResponse response) {
		return (this.bodyless && response.status().code() >= 200) || super.isContentAlwaysEmpty(response);
	}

}
