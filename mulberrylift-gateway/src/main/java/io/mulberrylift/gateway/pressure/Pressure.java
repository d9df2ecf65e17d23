package io.mulberrylift.gateway.pressure;

import java.util.function.LongSupplier;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;

/**
 * What the connections of an instance hold and wait for. Confined to the event loop.
 *
 * @param held the bytes held
 * @param waiting the connections that wait
 */
public record Pressure(HeldBytes held, WaitingConnections waiting) {

	/**
	 * Bytes of a connection's write buffer at which writing stops, and below which it
	 * continues.
	 */
	public static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(16 * 1024, 32 * 1024);

	/** Size of the kernel's send buffer of a connection. */
	public static final int SEND_BUFFER_BYTES = 128 * 1024;

	/** Maximum size of one read, which is read at most after reading was stopped. */
	private static final int MAX_READ_BYTES = 16 * 1024;

	/**
	 * Returns the allocator of the buffers that connections read into.
	 * @return a new allocator, for the connections of one server or client
	 */
	public static RecvByteBufAllocator readAllocator() {
		return new AdaptiveRecvByteBufAllocator(512, 2048, MAX_READ_BYTES);
	}

	/**
	 * Creates an instance that holds nothing.
	 * @param clockMillis monotonic time in milliseconds
	 * @return the instance
	 */
	public static Pressure create(LongSupplier clockMillis) {
		return new Pressure(new HeldBytes(), new WaitingConnections(clockMillis));
	}

}
