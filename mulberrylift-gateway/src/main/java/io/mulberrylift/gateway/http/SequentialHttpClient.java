package io.mulberrylift.gateway.http;

import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.Future;

/**
 * Makes small HTTP calls to one address, one at a time, over a persistent connection.
 *
 * <p>
 * Not thread-safe; confined to the event loop. Each call ends within its timeout and
 * reports exactly one result. A failed call closes the connection, so that a late answer
 * is not taken for the answer to a later call, and so do bytes received while no call is
 * in progress. A second answer to an earlier call can still be taken for the answer to
 * the call in progress, unless the connection has carried no other call.
 * </p>
 */
public final class SequentialHttpClient {

	private static final int CONNECT_TIMEOUT_MILLIS = 500;

	private final EventLoopGroup group;

	private final NetAddress address;

	private final int maxAnswerBytes;

	private Channel channel;

	/** Whether the connection is being established. */
	private boolean connecting;

	/** Whether a request was sent on the connection. */
	private boolean used;

	private Consumer<CallResult> pendingCallback;

	/** Sends the request of the call in progress once the connection is established. */
	private Runnable unsentRequest;

	private Future<?> timeout;

	/**
	 * Creates a client that is not connected yet.
	 * @param group the event loop
	 * @param address address of the server
	 * @param maxAnswerBytes maximum size of an answer
	 */
	public SequentialHttpClient(EventLoopGroup group, NetAddress address, int maxAnswerBytes) {
		this.group = Objects.requireNonNull(group, "group");
		this.address = Objects.requireNonNull(address, "address");
		this.maxAnswerBytes = maxAnswerBytes;
	}

	/**
	 * Starts a call.
	 * @param method the HTTP method
	 * @param target path and query
	 * @param body body as JSON, empty for none
	 * @param timeoutMillis maximum time until the answer is complete
	 * @param done called exactly once with the result
	 * @throws IllegalStateException if a call is in progress
	 */
	public void call(HttpMethod method, String target, byte[] body, long timeoutMillis, Consumer<CallResult> done) {
		if (this.pendingCallback != null) {
			throw new IllegalStateException("A call to " + this.address + " is already in progress");
		}
		this.pendingCallback = done;
		this.timeout = this.group.next()
			.schedule(() -> fail("no answer within " + timeoutMillis + " ms"), timeoutMillis, TimeUnit.MILLISECONDS);
		if (this.channel != null && this.channel.isActive()) {
			send(method, target, body);
			return;
		}
		this.unsentRequest = () -> send(method, target, body);
		if (!this.connecting) {
			open();
		}
	}

	/**
	 * Starts to establish the connection, if there is none, ahead of the next call.
	 */
	public void connect() {
		if (this.channel == null) {
			open();
		}
	}

	/**
	 * Returns whether the next call would share its connection with an earlier one.
	 * @return whether the connection has carried a call
	 */
	public boolean hasCarriedCall() {
		return this.channel != null && this.used;
	}

	private void open() {
		ChannelFuture opening = HttpChannels.clientBootstrap(this.group, CONNECT_TIMEOUT_MILLIS)
			.handler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel opened) {
					opened.pipeline()
						.addLast(new HttpClientCodec(),
								new HttpObjectAggregator(SequentialHttpClient.this.maxAnswerBytes),
								new AnswerHandler());
				}
			})
			.connect(this.address.socketAddress());
		Channel openingChannel = opening.channel();
		this.channel = openingChannel;
		this.connecting = true;
		this.used = false;
		opening.addListener((future) -> {
			if (this.channel != openingChannel) {
				openingChannel.close();
				return;
			}
			this.connecting = false;
			if (!future.isSuccess()) {
				fail(String.valueOf(future.cause().getMessage()));
			}
			else if (this.unsentRequest != null) {
				this.unsentRequest.run();
			}
		});
	}

	/**
	 * Closes the connection and fails a call in progress.
	 */
	public void close() {
		fail("closed");
	}

	private void send(HttpMethod method, String target, byte[] body) {
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, target,
				Unpooled.wrappedBuffer(body));
		request.headers().set(HttpHeaderNames.HOST, this.address.toString());
		if (body.length > 0) {
			request.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
			request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
		}
		this.unsentRequest = null;
		this.used = true;
		this.channel.writeAndFlush(request);
	}

	private void fail(String problem) {
		Channel closing = this.channel;
		this.channel = null;
		this.connecting = false;
		if (closing != null) {
			closing.close();
		}
		complete(CallResult.failed(problem));
	}

	private void complete(CallResult result) {
		Consumer<CallResult> done = takeCallback();
		if (done != null) {
			done.accept(result);
		}
	}

	private Consumer<CallResult> takeCallback() {
		Consumer<CallResult> done = this.pendingCallback;
		this.pendingCallback = null;
		this.unsentRequest = null;
		if (this.timeout != null) {
			this.timeout.cancel(false);
			this.timeout = null;
		}
		return done;
	}

	private final class AnswerHandler extends SimpleChannelInboundHandler<FullHttpResponse> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
			if (context.channel() != SequentialHttpClient.this.channel
					|| SequentialHttpClient.this.pendingCallback == null) {
				forget(context.channel());
				return;
			}
			if (response.status().code() < HttpResponseStatus.OK.code()) {
				return;
			}
			if (response.decoderResult().isFailure() || JoinedAnswer.isJoined(response)) {
				fail("answer is not valid HTTP");
				return;
			}
			byte[] body = ByteBufUtil.getBytes(response.content());
			if (!HttpUtil.isKeepAlive(response)) {
				SequentialHttpClient.this.channel = null;
				context.close();
			}
			CallResult result = new CallResult(response.status().code(), response.headers(), body, "");
			Consumer<CallResult> done = takeCallback();
			// The next call must not take a second copy of this answer in the same read
			// for its own.
			context.executor().execute(() -> done.accept(result));
		}

		private void forget(Channel closing) {
			if (closing == SequentialHttpClient.this.channel) {
				SequentialHttpClient.this.channel = null;
			}
			closing.close();
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			if (context.channel() == SequentialHttpClient.this.channel) {
				fail("connection closed");
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			if (context.channel() == SequentialHttpClient.this.channel) {
				fail(String.valueOf(cause.getMessage()));
			}
			context.close();
		}

	}

}
