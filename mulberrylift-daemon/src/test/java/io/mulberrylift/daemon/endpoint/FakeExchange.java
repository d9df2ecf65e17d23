package io.mulberrylift.daemon.endpoint;

import java.util.List;
import java.util.Optional;

import io.mulberrylift.core.model.Refusal;
import io.mulberrylift.core.model.RequestSpec;
import io.mulberrylift.core.model.StoredAnswer;
import io.mulberrylift.core.model.WorkKind;
import io.mulberrylift.core.model.WorkspaceId;
import io.mulberrylift.daemon.exchange.AnswerSink;
import io.mulberrylift.daemon.exchange.CallerExchange;
import io.mulberrylift.daemon.exchange.ModelCall;
import io.mulberrylift.daemon.exchange.ServiceCall;
import io.mulberrylift.daemon.exchange.ServiceReply;

/**
 * A caller exchange that keeps the answer in memory.
 */
final class FakeExchange implements CallerExchange, AnswerSink {

	private final RequestSpec spec;

	private final Optional<ModelCall> modelCall;

	private final Optional<ServiceCall> serviceCall;

	private final StringBuilder text = new StringBuilder();

	private int accepted;

	private int chunksAcceptedWhilePaused;

	private boolean paused;

	private Runnable whenWritable;

	private Runnable onAcceptedTokensCall = () -> {
	};

	private String finishReason = "";

	private ServiceReply reply;

	private FakeExchange(WorkKind kind, Optional<ModelCall> modelCall, Optional<ServiceCall> serviceCall) {
		this.spec = new RequestSpec(1, new WorkspaceId("w"), "p", kind, "t", 0, 0, new long[] { 0x1fL, -1L }, 0,
				Optional.empty(), true, 1_000);
		this.modelCall = modelCall;
		this.serviceCall = serviceCall;
	}

	static FakeExchange model(String prompt) {
		return new FakeExchange(WorkKind.MODEL, Optional.of(new ModelCall("m", prompt, 10)), Optional.empty());
	}

	static FakeExchange service(ServiceCall call) {
		return new FakeExchange(WorkKind.SERVICE, Optional.empty(), Optional.of(call));
	}

	@Override
	public synchronized int acceptedTokens() {
		Runnable action = this.onAcceptedTokensCall;
		this.onAcceptedTokensCall = () -> {
		};
		action.run();
		return this.accepted;
	}

	@Override
	public synchronized boolean acceptTokens(int offset, List<String> tokens) {
		if (offset > this.accepted) {
			throw new IllegalStateException("gap");
		}
		if (this.paused) {
			this.chunksAcceptedWhilePaused++;
		}
		for (int i = this.accepted - offset; i < tokens.size(); i++) {
			this.text.append(tokens.get(i));
			this.accepted++;
		}
		return !this.paused;
	}

	@Override
	public void whenWritable(Runnable action) {
		synchronized (this) {
			if (this.paused) {
				this.whenWritable = action;
				return;
			}
		}
		action.run();
	}

	synchronized void onNextAcceptedTokensCall(Runnable action) {
		this.onAcceptedTokensCall = action;
	}

	synchronized void pause() {
		this.paused = true;
	}

	void resume() {
		Runnable action;
		synchronized (this) {
			this.paused = false;
			action = this.whenWritable;
			this.whenWritable = null;
		}
		if (action != null) {
			action.run();
		}
	}

	@Override
	public synchronized void acceptEnd(String reason, int promptTokens, int outputTokens) {
		this.finishReason = reason;
	}

	@Override
	public synchronized void acceptReply(ServiceReply serviceReply) {
		this.reply = serviceReply;
	}

	synchronized String text() {
		return this.text.toString();
	}

	synchronized String finishReason() {
		return this.finishReason;
	}

	synchronized int chunksAcceptedWhilePaused() {
		return this.chunksAcceptedWhilePaused;
	}

	synchronized ServiceReply reply() {
		return this.reply;
	}

	@Override
	public RequestSpec spec() {
		return this.spec;
	}

	@Override
	public Optional<ModelCall> modelCall() {
		return this.modelCall;
	}

	@Override
	public Optional<ServiceCall> serviceCall() {
		return this.serviceCall;
	}

	@Override
	public AnswerSink sink() {
		return this;
	}

	@Override
	public Optional<StoredAnswer> storedAnswer() {
		return Optional.of(new StoredAnswer(200, "text/plain", new byte[0]));
	}

	@Override
	public void complete() {
		throw new UnsupportedOperationException();
	}

	@Override
	public void refuse(Refusal refusal) {
		throw new UnsupportedOperationException();
	}

	@Override
	public void replay(StoredAnswer answer) {
		throw new UnsupportedOperationException();
	}

}
