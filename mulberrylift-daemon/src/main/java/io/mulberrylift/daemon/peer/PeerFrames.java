package io.mulberrylift.daemon.peer;

import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.ssl.SslContext;

/**
 * The form of frames: a length of four bytes, a version byte, a MessagePack body.
 */
final class PeerFrames {

	/** Greatest length of a frame without its length field. */
	static final int MAX_FRAME_BYTES = 2 * 1_024 * 1_024;

	/** Bytes of the length field and the version byte. */
	static final int OVERHEAD_BYTES = 5;

	private static final int LENGTH_FIELD_BYTES = 4;

	private static final byte VERSION = 1;

	private PeerFrames() {
	}

	static void configurePipeline(SocketChannel channel, Optional<SslContext> tls, ChannelHandler handler) {
		tls.ifPresent((context) -> channel.pipeline().addLast(context.newHandler(channel.alloc())));
		channel.pipeline()
			.addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_FIELD_BYTES, 0, LENGTH_FIELD_BYTES))
			.addLast(new LengthFieldPrepender(LENGTH_FIELD_BYTES))
			.addLast(handler);
	}

	static ByteBuf frame(byte[] body) {
		return Unpooled.wrappedBuffer(new byte[] { VERSION }, body);
	}

	/**
	 * Returns the body of a frame.
	 * @param frame the frame without its length field
	 * @return the body
	 * @throws MalformedFrameException if the version is another one
	 */
	static byte[] readBody(ByteBuf frame) throws MalformedFrameException {
		if (!frame.isReadable()) {
			throw new MalformedFrameException("frame is empty");
		}
		byte version = frame.readByte();
		if (version != VERSION) {
			throw new MalformedFrameException("frame has version " + version + " where " + VERSION
					+ " is spoken; run the same release on all instances");
		}
		byte[] body = new byte[frame.readableBytes()];
		frame.readBytes(body);
		return body;
	}

	/**
	 * Reads and checks a first frame.
	 * @param frame the frame without its length field
	 * @return the first frame
	 * @throws MalformedFrameException if it is malformed or of another version
	 */
	static Hello readHello(ByteBuf frame) throws MalformedFrameException {
		Hello hello = PeerCodec.decodeHello(readBody(frame));
		if (hello.protocolVersion() != Hello.PROTOCOL_VERSION) {
			throw new MalformedFrameException(
					"instance " + hello.instance() + " speaks protocol version " + hello.protocolVersion() + " where "
							+ Hello.PROTOCOL_VERSION + " is spoken; run the same release on all instances");
		}
		return hello;
	}

}
