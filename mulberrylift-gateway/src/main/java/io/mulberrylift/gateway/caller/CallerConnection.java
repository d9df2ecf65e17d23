package io.mulberrylift.gateway.caller;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.mulberrylift.gateway.pressure.BodyBuffer;
import io.mulberrylift.gateway.pressure.BodyWriter;
import io.mulberrylift.gateway.pressure.HeldBytes;
import io.mulberrylift.gateway.pressure.Pressure;
import io.mulberrylift.gateway.pressure.WaitingConnections;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;

/**
 * A caller's HTTP/1.1 connection: reads requests one at a time and answers them in the
 * order received.
 *
 * <p>
 * Not thread-safe; confined to the event loop. Messages of pipelined requests are queued
 * while an answer is pending or not sent completely; reading pauses while the queue is
 * full. An answer that its caller does not read is given up at the caller's deadline.
 * </p>
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

	/** Number of queued messages of pipelined requests above which reading pauses. */
	private static final int MAX_QUEUED_MESSAGES = 64;

	/** The same for their bytes. */
	private static final int MAX_QUEUED_BYTES = 32 * 1024;

	/** Minimum time to send an answer, also one that is due already. */
	private static final long MIN_SENDING_MILLIS = 1000;

	private static final long NANOS_PER_MILLI = 1_000_000;

	/**
	 * Upper limit of the time to receive a body when the request states a longer
	 * deadline.
	 */
	private static final long MAX_BODY_TIMEOUT_MILLIS = 30_000;

	/**
	 * Time to wait for the caller to close a connection whose sending side was closed.
	 * Closing it at once would reset it if bytes have not been read, and the caller might
	 * lose the answer.
	 */
	private static final long LINGER_MILLIS = 300;

	/** Delay of a timer from which the process counts as having been suspended. */
	private static final long SUSPENSION_MILLIS = 200;

	/**
	 * Time after a suspension to wait for bytes whose packets were lost or held up by it.
	 */
	private static final long ARRIVAL_MILLIS = 300;

	/**
	 * Time to wait for a request on a connection when the instance stops, if there was
	 * none on it or part of one has been received.
	 */
	private static final long LAST_REQUEST_MILLIS = 600;

	private final CallerProtocol protocol;

	private final CallerListener listener;

	private final CallerResponseEncoder encoder;

	private final LongSupplier exchangeIds;

	private final Pressure pressure;

	private final Deque<HttpObject> queuedMessages = new ArrayDeque<>();

	/** Accounts for the queued messages. */
	private final HeldBytes.Lease queuedLease;

	/** Accounts for parts of a streamed answer that are not sent yet. */
	private final HeldBytes.Lease streamLease;

	/** Accounts for the complete answer that is being sent. */
	private Optional<HeldBytes.Lease> answerLease = Optional.empty();

	private Optional<BodyWriter> answerWriter = Optional.empty();

	private long receivedNanos;

	/** Whether no more is read for this caller because of the sum of all. */
	private boolean outOfTurn;

	private ChannelHandlerContext context;

	private RequestHead head;

	private HttpRequest requestHead;

	private BodyBuffer body;

	private CallerExchange exchange;

	private Future<?> timer;

	private boolean keepAlive;

	private boolean headStarted;

	private boolean closed;

	private boolean answered;

	private boolean stopping;

	CallerConnection(CallerProtocol protocol, CallerListener listener, CallerResponseEncoder encoder,
			LongSupplier ids) {
		this.protocol = Objects.requireNonNull(protocol, "protocol");
		this.listener = Objects.requireNonNull(listener, "listener");
		this.encoder = Objects.requireNonNull(encoder, "encoder");
		this.exchangeIds = Objects.requireNonNull(ids, "ids");
		this.pressure = listener.pressure();
		this.queuedLease = this.pressure.held().lease();
		this.streamLease = this.pressure.held().lease();
	}

	@Override
	public void handlerAdded(ChannelHandlerContext added) {
		this.context = added;
	}

	@Override
	public void channelActive(ChannelHandlerContext active) {
		startIdleTimer();
	}

	/**
	 * Starts the head timeout if these are the first bytes of a request on an idle
	 * connection.
	 */
	void bytesReceived() {
		if (this.exchange == null && this.requestHead == null && !this.headStarted && !this.closed) {
			this.headStarted = true;
			scheduleTimeout(this.listener.limits().headerTimeoutMillis(),
					() -> refuse(408, "Request head not received within the header timeout"));
		}
	}

	private void startIdleTimer() {
		this.headStarted = false;
		scheduleTimeout(this.listener.limits().idleTimeoutMillis(), this.context::close);
	}

	/**
	 * Schedules an action unless something ends the wait. After the process was
	 * suspended, timers run before the bytes that came meanwhile are read, so the event
	 * loop reads once more before the action.
	 * @param millis time to wait
	 * @param action what to do if nothing has ended the wait
	 */
	private void scheduleTimeout(long millis, Runnable action) {
		cancelTimer();
		long startNanos = System.nanoTime();
		this.timer = this.context.executor().schedule(() -> {
			long lateMillis = (System.nanoTime() - startNanos) / NANOS_PER_MILLI - millis;
			long waitMillis = (lateMillis > SUSPENSION_MILLIS) ? ARRIVAL_MILLIS : 0;
			this.timer = this.context.executor().schedule(action, waitMillis, TimeUnit.MILLISECONDS);
		}, millis, TimeUnit.MILLISECONDS);
	}

	private void cancelTimer() {
		if (this.timer != null) {
			this.timer.cancel(false);
			this.timer = null;
		}
	}

	@Override
	public void channelRead(ChannelHandlerContext reading, Object message) {
		if (this.closed) {
			ReferenceCountUtil.release(message);
			return;
		}
		if (this.exchange != null || !this.queuedMessages.isEmpty()) {
			this.queuedMessages.addLast((HttpObject) message);
			this.queuedLease.set(this.queuedLease.size() + size((HttpObject) message));
			if (this.queuedMessages.size() > MAX_QUEUED_MESSAGES || this.queuedLease.size() > MAX_QUEUED_BYTES) {
				this.context.channel().config().setAutoRead(false);
			}
			return;
		}
		handleMessage((HttpObject) message);
	}

	private static int size(HttpObject message) {
		int size = 0;
		if (message instanceof HttpRequest request) {
			size += request.uri().length();
			for (Map.Entry<String, String> header : request.headers()) {
				size += header.getKey().length() + header.getValue().length();
			}
		}
		return size + ((message instanceof HttpContent content) ? content.content().readableBytes() : 0);
	}

	private void handleMessage(HttpObject message) {
		try {
			if (message.decoderResult().isFailure()) {
				refuseUndecodable(message.decoderResult().cause());
				return;
			}
			if (message instanceof HttpRequest request) {
				beginRequest(request);
			}
			if (message instanceof HttpContent content && this.requestHead != null) {
				appendBody(content);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void refuseUndecodable(Throwable cause) {
		if (cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException) {
			refuse(431, "Request head exceeds the size limit; send fewer or shorter headers");
		}
		else {
			refuse(400, "Request is not valid HTTP: " + cause.getMessage());
		}
	}

	private void beginRequest(HttpRequest request) {
		this.requestHead = request;
		this.encoder.setBodyless(request.method().equals(HttpMethod.HEAD));
		this.keepAlive = HttpUtil.isKeepAlive(request);
		try {
			this.head = this.protocol.readHead(request);
		}
		catch (BadRequestException ex) {
			refuse(ex.status(), ex.getMessage());
			return;
		}
		if (HttpUtil.getContentLength(request, 0L) > this.listener.limits().maxBodyBytes()) {
			refuse(413, "Request body exceeds the size limit; send a smaller body");
			return;
		}
		this.body = new BodyBuffer(this.pressure.held().lease(), this.listener.limits().maxBodyBytes());
		scheduleTimeout(Math.min(this.head.deadlineMillis(), MAX_BODY_TIMEOUT_MILLIS),
				() -> refuse(408, "Request body not received within the deadline"));
		if (HttpUtil.is100ContinueExpected(request)) {
			this.context.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
		}
	}

	private void appendBody(HttpContent content) {
		ByteBuf bytes = content.content();
		if (bytes.readableBytes() > this.listener.limits().maxBodyBytes() - this.body.size()) {
			refuse(413, "Request body exceeds the size limit; send a smaller body");
			return;
		}
		if (!this.body.append(bytes)) {
			refuse(503, "Too many request bodies are held; send the request again later");
			return;
		}
		if (content instanceof LastHttpContent) {
			cancelTimer();
			BufferedRequest request = new BufferedRequest(this.requestHead.method(), this.requestHead.uri(),
					this.requestHead.headers(), this.body.toByteArray(), this.head);
			this.exchange = new CallerExchange(this.exchangeIds.getAsLong(), request, this, this.body.lease());
			this.receivedNanos = System.nanoTime();
			this.requestHead = null;
			this.body = null;
			this.listener.requestReceived(this.exchange);
		}
	}

	private void refuse(int status, String reason) {
		if (this.closed) {
			return;
		}
		this.listener.requestRejected(status, reason);
		this.closed = true;
		cancelTimer();
		releaseBody();
		byte[] text = (reason + "\n").getBytes(StandardCharsets.UTF_8);
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(text));
		response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, text.length);
		response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		if (status == 503) {
			response.headers().set(HttpHeaderNames.RETRY_AFTER, "0.5");
		}
		this.context.writeAndFlush(response).addListener((sent) -> closeOutput());
	}

	private void releaseBody() {
		if (this.body != null) {
			this.body.lease().release();
			this.body = null;
		}
	}

	/**
	 * Closes the sending side, and the connection when the caller has closed it as well
	 * or after {@value #LINGER_MILLIS} ms.
	 */
	private void closeOutput() {
		Channel channel = this.context.channel();
		if (channel instanceof SocketChannel socket && channel.isActive()) {
			channel.config().setAutoRead(true);
			socket.shutdownOutput();
			this.context.executor().schedule(() -> channel.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
		}
		else {
			channel.close();
		}
	}

	/**
	 * Closes the connection since the instance stops: now if it is idle, otherwise after
	 * the answer. A request that has begun or that a new connection is for is received
	 * and answered first.
	 */
	void stop() {
		if (this.stopping || this.closed) {
			return;
		}
		this.stopping = true;
		boolean idle = this.exchange == null && this.requestHead == null && !this.headStarted
				&& this.queuedMessages.isEmpty();
		if (idle && this.answered) {
			closeIdle();
		}
		else {
			this.context.executor().schedule(this::closeIdle, LAST_REQUEST_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	private void closeIdle() {
		if (!this.closed && this.exchange == null && this.queuedMessages.isEmpty()) {
			this.closed = true;
			cancelTimer();
			closeOutput();
		}
	}

	/**
	 * Returns whether a request is in progress or its answer is not sent completely.
	 * @return {@code true} if closing the connection would cut an answer
	 */
	boolean isBusy() {
		return this.exchange != null;
	}

	boolean isWritable() {
		this.outOfTurn = this.streamLease.size() > 0 && !this.pressure.held().mayReadAhead();
		return this.context.channel().isWritable() && !this.outOfTurn;
	}

	void answer(int status, HttpHeaders headers, byte[] bytes, Optional<HeldBytes.Lease> lease) {
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status),
				headers);
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, bytes.length);
		boolean close = setConnectionHeader(response);
		this.answerLease = lease;
		this.context.write(response);
		BodyWriter writer = new BodyWriter(this.context.channel(), bytes, (sent) -> endExchange(close));
		this.answerWriter = Optional.of(writer);
		writer.advance();
		limitSending();
	}

	/**
	 * Gives up an answer that is complete and not sent yet at its caller's deadline.
	 */
	private void limitSending() {
		CallerExchange sending = this.exchange;
		if (sending == null || this.closed) {
			return;
		}
		this.pressure.waiting().begin(WaitingConnections.Reason.ANSWER_SENDING, sending.id());
		long passedMillis = (System.nanoTime() - this.receivedNanos) / NANOS_PER_MILLI;
		scheduleTimeout(Math.max(MIN_SENDING_MILLIS, sending.request().head().deadlineMillis() - passedMillis), () -> {
			this.listener.answerNotRead(sending);
			abort();
		});
	}

	void beginAnswer(int status, HttpHeaders headers) {
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status),
				headers);
		response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
		setConnectionHeader(response);
		this.context.writeAndFlush(response);
	}

	void write(ByteBuf bytes) {
		int size = bytes.readableBytes();
		this.streamLease.set(this.streamLease.size() + size);
		this.context.writeAndFlush(new DefaultHttpContent(bytes)).addListener((sent) -> partSent(size));
	}

	private void partSent(int size) {
		this.streamLease.set(this.streamLease.size() - size);
		if (this.outOfTurn && this.exchange != null && isWritable()) {
			this.listener.becameWritable(this.exchange);
		}
	}

	void finish() {
		boolean close = !this.keepAlive;
		this.context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT).addListener((sent) -> endExchange(close));
		limitSending();
	}

	void abort() {
		this.closed = true;
		if (this.exchange != null) {
			releaseAnswer(this.exchange);
		}
		this.exchange = null;
		cancelTimer();
		this.context.close();
	}

	private boolean setConnectionHeader(HttpResponse response) {
		if (this.listener.isClosing()) {
			this.keepAlive = false;
		}
		response.headers()
			.set(HttpHeaderNames.CONNECTION, (this.keepAlive) ? HttpHeaderValues.KEEP_ALIVE : HttpHeaderValues.CLOSE);
		return !this.keepAlive;
	}

	private void endExchange(boolean close) {
		if (this.closed || this.exchange == null) {
			return;
		}
		releaseAnswer(this.exchange);
		this.exchange = null;
		this.answered = true;
		cancelTimer();
		if (close || (this.stopping && this.queuedMessages.isEmpty())) {
			this.closed = true;
			closeOutput();
			return;
		}
		startIdleTimer();
		this.context.executor().execute(this::handleQueued);
	}

	private void releaseAnswer(CallerExchange answeredExchange) {
		this.pressure.waiting().end(WaitingConnections.Reason.ANSWER_SENDING, answeredExchange.id());
		this.answerLease.ifPresent(HeldBytes.Lease::release);
		this.answerLease = Optional.empty();
		this.answerWriter = Optional.empty();
	}

	private void handleQueued() {
		while (this.exchange == null && !this.closed && !this.queuedMessages.isEmpty()) {
			bytesReceived();
			HttpObject message = this.queuedMessages.removeFirst();
			this.queuedLease.set(this.queuedLease.size() - size(message));
			handleMessage(message);
		}
		if (!this.closed && this.queuedMessages.size() <= MAX_QUEUED_MESSAGES / 2
				&& this.queuedLease.size() <= MAX_QUEUED_BYTES / 2) {
			this.context.channel().config().setAutoRead(true);
		}
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext changed) {
		if (!changed.channel().isWritable()) {
			return;
		}
		if (this.answerWriter.isPresent()) {
			this.answerWriter.get().advance();
		}
		else if (this.exchange != null && isWritable()) {
			this.listener.becameWritable(this.exchange);
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext inactive) {
		cancelTimer();
		this.closed = true;
		this.queuedMessages.forEach(ReferenceCountUtil::release);
		this.queuedMessages.clear();
		releaseBody();
		this.queuedLease.release();
		this.streamLease.release();
		CallerExchange open = this.exchange;
		this.exchange = null;
		if (open == null) {
			return;
		}
		releaseAnswer(open);
		if (!open.isEnded()) {
			open.end();
			this.listener.callerDisconnected(open);
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
		failed.close();
	}

}
