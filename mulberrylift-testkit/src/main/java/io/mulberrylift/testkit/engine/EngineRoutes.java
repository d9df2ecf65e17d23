package io.mulberrylift.testkit.engine;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

import io.mulberrylift.testkit.history.HistoryEvent;
import io.mulberrylift.testkit.history.HistoryWriter;
import io.mulberrylift.testkit.http.ErrorDetail;
import io.mulberrylift.testkit.http.Exchange;
import io.mulberrylift.testkit.http.LineStream;
import io.mulberrylift.testkit.http.Router;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Implements the routes of the engine protocol. Thread-safe.
 */
final class EngineRoutes {

	private static final long RETRY_AFTER_MILLIS = 200;

	private final EngineOptions options;

	private final EngineRunner runner;

	private final EngineFaults faults;

	private final OrderExecutor orders;

	private final LoadReports loadReports;

	private final BlockImporter importer;

	private final HistoryWriter history;

	private final AtomicLong lastAttemptId = new AtomicLong();

	EngineRoutes(EngineOptions options, EngineRunner runner, EngineFaults faults, HistoryWriter history) {
		this.options = options;
		this.runner = runner;
		this.faults = faults;
		this.history = history;
		this.orders = new OrderExecutor(options.models(), options.checksFencing());
		this.loadReports = new LoadReports(options, runner, faults, this.orders);
		this.importer = new BlockImporter(options, runner);
	}

	void addTo(Router router) {
		router.on("POST", "/engine/v1/attempts", this::runAttempt)
			.on("DELETE", "/engine/v1/attempts/{attempt}", this::cancelAttempt)
			.on("GET", "/engine/v1/load",
					(exchange) -> exchange.respond(HttpStatus.OK_200,
							this.loadReports.read(exchange.queryParameter("cacheAfter", 0))))
			.on("PUT", "/engine/v1/holds/{owner}/{incarnation}/{hold}", this::createHold)
			.on("DELETE", "/engine/v1/holds/{owner}/{incarnation}/{hold}", this::releaseHold)
			.on("GET", "/engine/v1/holds", this::listHolds)
			.on("POST", "/engine/v1/exports", this::createExport)
			.on("GET", "/engine/v1/exports/{export}", this::readExport)
			.on("DELETE", "/engine/v1/exports/{export}", this::dropExport)
			.on("POST", "/engine/v1/imports", this.importer::copy)
			.on("POST", "/engine/v1/orders", this::executeOrder);
	}

	long incarnation() {
		return this.loadReports.incarnation();
	}

	void close() throws IOException {
		this.importer.close();
	}

	private void runAttempt(Exchange exchange) throws IOException {
		if (refuseIfUnavailable(exchange)) {
			return;
		}
		EngineMessages.AttemptBody body = exchange.body(EngineMessages.AttemptBody.class);
		if (!this.orders.serves(body.model())) {
			respondUnprocessable(exchange,
					"The model " + body.model() + " is not loaded; send an order to load it first");
			return;
		}
		Optional<HoldUse> holds = holdUse(body.holds());
		if (holds.isEmpty() && !body.holds().isEmpty()) {
			respondUnprocessable(exchange,
					"No hold is on endpoint " + this.options.id() + "; create one on this engine");
			return;
		}
		Attempt attempt = new Attempt(this.lastAttemptId.incrementAndGet(), body, this.faults.crashesOn(body.prompt()),
				this.faults.takeNextStream());
		switch (this.runner.submit(attempt, holds)) {
			case ACCEPTED -> stream(exchange, attempt);
			case DUPLICATE -> exchange.respond(HttpStatus.CONFLICT_409,
					new ErrorDetail("An attempt with this id is already waiting or running"));
			case TOO_LARGE ->
				respondUnprocessable(exchange, "Prompt and answer do not fit into memory; create larger holds");
			case HOLD_MISSING ->
				respondUnprocessable(exchange, "The hold does not exist or is in use; create another one");
		}
	}

	private void stream(Exchange exchange, Attempt attempt) {
		LineStream stream = exchange.stream("application/x-ndjson", () -> this.runner.callerDisconnected(attempt));
		this.runner.attach(attempt, stream);
	}

	private boolean refuseIfUnavailable(Exchange exchange) {
		int status = this.faults.refusalStatus();
		if (status == 0 && this.faults.draining()) {
			status = HttpStatus.SERVICE_UNAVAILABLE_503;
		}
		boolean queueFull = this.runner.apply(EngineModel::load).queuedRequests() >= this.options.maxQueued();
		if (status == 0 && queueFull) {
			status = HttpStatus.TOO_MANY_REQUESTS_429;
		}
		if (status != 0) {
			exchange.respond(status,
					new EngineMessages.RefusalBody("The engine does not accept requests now", RETRY_AFTER_MILLIS));
		}
		return status != 0;
	}

	private Optional<HoldUse> holdUse(List<EngineMessages.MemberHold> members) {
		Optional<HoldKey> own = members.stream()
			.filter((member) -> member.endpoint().equals(this.options.id()))
			.map(EngineMessages.MemberHold::key)
			.findFirst();
		return own.map((key) -> new HoldUse(key, members.size(), tokensOnOtherEngines(members, key)));
	}

	private long tokensOnOtherEngines(List<EngineMessages.MemberHold> members, HoldKey own) {
		long ownTokens = this.runner.apply(EngineModel::holds)
			.stream()
			.filter((hold) -> hold.key().equals(own))
			.mapToLong(HoldState::tokens)
			.sum();
		return members.stream()
			.filter((member) -> !member.endpoint().equals(this.options.id()))
			.mapToLong((member) -> (member.tokens() > 0) ? member.tokens() : ownTokens)
			.sum();
	}

	private void cancelAttempt(Exchange exchange) {
		this.runner.cancel(exchange.pathParameter("attempt"));
		exchange.respond(HttpStatus.NO_CONTENT_204);
	}

	private void createHold(Exchange exchange) throws IOException {
		HoldKey key = holdKey(exchange);
		EngineMessages.HoldBody body = exchange.body(EngineMessages.HoldBody.class);
		long expiresInMicros = this.runner.clock().toModelMicros(body.expiresInMillis());
		Optional<Long> freeTokens = this.runner.apply((model) -> {
			if (model.hold(key, body.tokens(), expiresInMicros)) {
				this.history.write(new HistoryEvent.Hold(System.currentTimeMillis(), this.options.id(), key.owner(),
						key.ownerIncarnation(), key.holdId(), body.tokens()));
				return Optional.empty();
			}
			return Optional.of(model.memory().availableTokens());
		});
		if (freeTokens.isPresent()) {
			exchange.respond(HttpStatus.CONFLICT_409, new EngineMessages.FreeTokens(freeTokens.get()));
		}
		else {
			exchange.respond(HttpStatus.CREATED_201);
		}
	}

	private void releaseHold(Exchange exchange) {
		HoldKey key = holdKey(exchange);
		this.runner.apply((model) -> {
			model.release(key);
			this.history.write(new HistoryEvent.Release(System.currentTimeMillis(), this.options.id(), key.owner(),
					key.ownerIncarnation(), key.holdId(), false));
			return key;
		});
		exchange.respond(HttpStatus.NO_CONTENT_204);
	}

	private void listHolds(Exchange exchange) {
		List<EngineMessages.HoldEntry> holds = this.runner
			.apply((model) -> model.holds().stream().map((hold) -> holdEntry(hold, model.nowMicros())).toList());
		exchange.respond(HttpStatus.OK_200, new EngineMessages.HoldList(holds));
	}

	private EngineMessages.HoldEntry holdEntry(HoldState hold, long nowMicros) {
		long expiresInMillis = this.runner.clock().toRealMillis(Math.max(0, hold.expiresAtMicros() - nowMicros));
		return new EngineMessages.HoldEntry(hold.key().holdId(), hold.key().owner(), hold.key().ownerIncarnation(),
				hold.tokens(), expiresInMillis);
	}

	private static HoldKey holdKey(Exchange exchange) {
		return new HoldKey(exchange.pathParameter("owner"), Long.parseLong(exchange.pathParameter("incarnation")),
				Long.parseLong(exchange.pathParameter("hold")));
	}

	private void createExport(Exchange exchange) throws IOException {
		EngineMessages.ExportBody body = exchange.body(EngineMessages.ExportBody.class);
		long[] keys = EngineMessages.parseBlocks(body.prefixBlocks());
		long expiresInMicros = this.runner.clock().toModelMicros(body.expiresInMillis());
		ExportState export = this.runner.apply((model) -> model.export(keys, expiresInMicros));
		exchange.respond(HttpStatus.CREATED_201, new EngineMessages.ExportAnswer(Long.toString(export.exportId()),
				export.prefixBlocks().length, export.tokens()));
	}

	private void readExport(Exchange exchange) {
		long exportId = Long.parseLong(exchange.pathParameter("export"));
		Optional<ExportState> export = this.runner.apply((model) -> model.findExport(exportId));
		if (export.isPresent()) {
			exchange.respond(HttpStatus.OK_200,
					new EngineMessages.ExportBlocks(EngineMessages.formatBlocks(export.get().prefixBlocks())));
		}
		else {
			exchange.respond(HttpStatus.NOT_FOUND_404,
					new ErrorDetail("The export does not exist or has expired; create a new one"));
		}
	}

	private void dropExport(Exchange exchange) {
		long exportId = Long.parseLong(exchange.pathParameter("export"));
		this.runner.apply((model) -> {
			model.dropExport(exportId);
			return exportId;
		});
		exchange.respond(HttpStatus.NO_CONTENT_204);
	}

	private void executeOrder(Exchange exchange) throws IOException {
		EngineMessages.OrderAnswer answer = this.orders.execute(exchange.body(EngineMessages.OrderBody.class));
		exchange.respond(answer.obeyed() ? HttpStatus.OK_200 : HttpStatus.CONFLICT_409, answer);
	}

	private static void respondUnprocessable(Exchange exchange, String detail) {
		exchange.respond(HttpStatus.UNPROCESSABLE_ENTITY_422, new ErrorDetail(detail));
	}

}
