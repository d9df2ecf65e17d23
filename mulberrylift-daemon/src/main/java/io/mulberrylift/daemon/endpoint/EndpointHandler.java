package io.mulberrylift.daemon.endpoint;

import java.util.Optional;

import io.mulberrylift.core.effect.EndpointEffect;
import io.mulberrylift.core.model.EndpointDescription;
import io.mulberrylift.daemon.loop.EffectHandler;
import io.mulberrylift.daemon.loop.EventSink;
import io.mulberrylift.daemon.outbound.OutboundHttpClient;

/**
 * Reads endpoints' load, manages their memory holds and sends them orders.
 *
 * <p>
 * Effects are handled on the loop's thread, replies on reactor threads. Every effect
 * leads to an event except an {@link EndpointEffect.ReadLoad} while another read of the
 * endpoint is outstanding, and a failing {@link EndpointEffect.ListHolds} or
 * {@link EndpointEffect.SendOrder}.
 * </p>
 */
public final class EndpointHandler implements EffectHandler<EndpointEffect> {

	private final EndpointDirectory directory;

	private final LoadReader loadReader;

	private final HoldClient holdClient;

	private final OrderClient orderClient;

	/**
	 * Creates the handler.
	 * @param directory the published endpoints
	 * @param client sends the calls
	 * @param events receives the results
	 */
	public EndpointHandler(EndpointDirectory directory, OutboundHttpClient client, EventSink events) {
		this.directory = directory;
		this.loadReader = new LoadReader(client, events);
		this.holdClient = new HoldClient(client, events);
		this.orderClient = new OrderClient(client, events);
	}

	@Override
	public void handle(EndpointEffect effect) {
		Optional<EndpointDescription> endpoint = this.directory.find(effect.endpoint());
		if (endpoint.isPresent()) {
			handle(endpoint.get(), effect);
		}
		else {
			handleUnlisted(effect);
		}
	}

	private void handle(EndpointDescription endpoint, EndpointEffect effect) {
		if (effect instanceof EndpointEffect.ReadLoad) {
			this.loadReader.read(endpoint);
		}
		else if (effect instanceof EndpointEffect.AcquireHold acquire) {
			this.holdClient.acquire(endpoint, acquire.hold());
		}
		else if (effect instanceof EndpointEffect.ReleaseHold release) {
			this.holdClient.release(endpoint, release.hold());
		}
		else if (effect instanceof EndpointEffect.ListHolds) {
			this.holdClient.list(endpoint);
		}
		else if (effect instanceof EndpointEffect.SendOrder order) {
			this.orderClient.send(endpoint, order.order());
		}
	}

	private void handleUnlisted(EndpointEffect effect) {
		this.loadReader.removeUnlisted(this.directory);
		if (effect instanceof EndpointEffect.ReadLoad) {
			this.loadReader.reportUnreachable(effect.endpoint(), false);
		}
		else if (effect instanceof EndpointEffect.AcquireHold acquire) {
			this.holdClient.reportUnanswered(effect.endpoint(), acquire.hold());
		}
		else if (effect instanceof EndpointEffect.ReleaseHold release) {
			this.holdClient.reportUnanswered(effect.endpoint(), release.hold());
		}
	}

}
