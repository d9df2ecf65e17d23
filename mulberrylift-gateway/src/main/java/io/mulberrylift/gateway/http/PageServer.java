package io.mulberrylift.gateway.http;

import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Serves small pages for operators, the load balancer and peers.
 *
 * <p>
 * Pages are rendered on the event loop; {@link #listen} may be called from any thread.
 * </p>
 */
public final class PageServer {

	/** Connections without a request are closed after this time. */
	private static final long IDLE_TIMEOUT_MILLIS = 15_000;

	private PageServer() {
	}

	/**
	 * Starts to listen.
	 * @param group the event loop
	 * @param address local address to bind to
	 * @param pages returns the page of a path and a query, which may be empty
	 * @return the listening channel
	 */
	public static Channel listen(EventLoopGroup group, NetAddress address, BiFunction<String, String, Page> pages) {
		Objects.requireNonNull(pages, "pages");
		return new ServerBootstrap().group(group)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<Channel>() {
				@Override
				protected void initChannel(Channel accepted) {
					accepted.pipeline().addLast(new HttpServerCodec(), new PageHandler(pages));
				}
			})
			.bind(address.socketAddress())
			.syncUninterruptibly()
			.channel();
	}

	private static final class PageHandler extends SimpleChannelInboundHandler<HttpObject> {

		private final BiFunction<String, String, Page> pages;

		private HttpRequest request;

		private long answeredRequests;

		PageHandler(BiFunction<String, String, Page> pages) {
			this.pages = pages;
		}

		@Override
		public void channelActive(ChannelHandlerContext context) {
			closeWhenIdle(context);
		}

		private void closeWhenIdle(ChannelHandlerContext context) {
			long requestsBefore = this.answeredRequests;
			context.executor().schedule(() -> {
				if (this.answeredRequests == requestsBefore) {
					context.close();
				}
			}, IDLE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		}

		@Override
		protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
			if (message.decoderResult().isFailure()) {
				context.close();
				return;
			}
			if (message instanceof HttpRequest head) {
				this.request = head;
			}
			if (message instanceof LastHttpContent && this.request != null) {
				answer(context);
			}
		}

		private void answer(ChannelHandlerContext context) {
			this.answeredRequests++;
			String target = this.request.uri();
			int query = target.indexOf('?');
			Page page = (query < 0) ? this.pages.apply(target, "")
					: this.pages.apply(target.substring(0, query), target.substring(query + 1));
			FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
					HttpResponseStatus.valueOf(page.status()), Unpooled.wrappedBuffer(page.body()));
			response.headers().set(HttpHeaderNames.CONTENT_TYPE, page.contentType());
			response.headers().set(HttpHeaderNames.CONTENT_LENGTH, page.body().length);
			boolean keepAlive = HttpUtil.isKeepAlive(this.request);
			this.request = null;
			if (keepAlive) {
				context.writeAndFlush(response);
				closeWhenIdle(context);
			}
			else {
				response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
				context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			context.close();
		}

	}

}
