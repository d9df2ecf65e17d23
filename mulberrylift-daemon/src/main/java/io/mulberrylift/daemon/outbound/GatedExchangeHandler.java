package io.mulberrylift.daemon.outbound;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.nio.AsyncClientExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.RequestChannel;
import org.apache.hc.core5.http.protocol.HttpContext;

/**
 * Checks a {@link SendGate} before the delegate writes the request head. A closed gate
 * fails the exchange.
 *
 * <p>
 * As safe for use by several threads as its delegate.
 * </p>
 */
final class GatedExchangeHandler implements AsyncClientExchangeHandler {

	private final AsyncClientExchangeHandler delegate;

	private final SendGate gate;

	GatedExchangeHandler(AsyncClientExchangeHandler delegate, SendGate gate) {
		this.delegate = delegate;
		this.gate = gate;
	}

	@Override
	public void produceRequest(RequestChannel channel, HttpContext context) throws HttpException, IOException {
		this.gate.pass();
		this.delegate.produceRequest(channel, context);
	}

	@Override
	public void consumeResponse(HttpResponse response, EntityDetails entity, HttpContext context)
			throws HttpException, IOException {
		this.delegate.consumeResponse(response, entity, context);
	}

	@Override
	public void consumeInformation(HttpResponse response, HttpContext context) throws HttpException, IOException {
		this.delegate.consumeInformation(response, context);
	}

	@Override
	public void cancel() {
		this.delegate.cancel();
	}

	@Override
	public int available() {
		return this.delegate.available();
	}

	@Override
	public void produce(DataStreamChannel channel) throws IOException {
		this.delegate.produce(channel);
	}

	@Override
	public void updateCapacity(CapacityChannel capacityChannel) throws IOException {
		this.delegate.updateCapacity(capacityChannel);
	}

	@Override
	public void consume(ByteBuffer source) throws IOException {
		this.delegate.consume(source);
	}

	@Override
	public void streamEnd(List<? extends Header> trailers) throws HttpException, IOException {
		this.delegate.streamEnd(trailers);
	}

	@Override
	public void failed(Exception cause) {
		this.delegate.failed(cause);
	}

	@Override
	public void releaseResources() {
		this.delegate.releaseResources();
	}

}
