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
 * Frame format: a four-byte length, a version byte and a MessagePack body.
 */
final class PeerFrames {

	/** Maximum length of a frame, without its length field. */
	static final int MAX_FRAME_BYTES = 2 * 1_024 * 1_024;

	/** Total size of the length field and the version byte. */
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
	 * Checks the version of a frame and reads its body.
	 * @param frame the frame without its length field
	 * @return the body
	 * @throws MalformedFrameException if the frame is empty or has another version
	 */
	static byte[] readBody(ByteBuf frame) throws MalformedFrameException {
		if (!frame.isReadable()) {
			throw new MalformedFrameException("frame is empty");
		}
		byte version = frame.readByte();
		if (version != VERSION) {
			throw new MalformedFrameException("frame has version " + version + ", expected " + VERSION
					+ "; run the same release on all instances");
		}
		byte[] body = new byte[frame.readableBytes()];
		frame.readBytes(body);
		return body;
	}

	/**
	 * Reads and validates a handshake frame.
	 * @param frame the frame without its length field
	 * @return the handshake frame
	 * @throws MalformedFrameException if it is malformed or has another protocol version
	 */
	static Hello readHello(ByteBuf frame) throws MalformedFrameException {
		Hello hello = PeerCodec.decodeHello(readBody(frame));
		if (hello.protocolVersion() != Hello.PROTOCOL_VERSION) {
			throw new MalformedFrameException(
					"instance " + hello.instance() + " has protocol version " + hello.protocolVersion() + ", expected "
							+ Hello.PROTOCOL_VERSION + "; run the same release on all instances");
		}
		return hello;
	}

}
