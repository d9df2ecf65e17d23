package io.mulberrylift.daemon.caller;

import java.nio.charset.StandardCharsets;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import io.mulberrylift.core.configuration.FleetConfiguration;
import io.mulberrylift.core.configuration.ModelSettings;
import io.mulberrylift.core.configuration.ServiceSettings;
import io.mulberrylift.core.event.RequestEvent;
import io.mulberrylift.core.model.Outcome;
import io.mulberrylift.core.model.Refusal;
import io.mulberrylift.core.model.RefusalReason;
import io.mulberrylift.core.model.RequestSpec;
import io.mulberrylift.core.model.WorkKind;
import io.mulberrylift.daemon.exchange.CallerExchange;
import io.mulberrylift.daemon.exchange.ExchangeTable;
import io.mulberrylift.daemon.exchange.ModelCall;
import io.mulberrylift.daemon.exchange.ServiceCall;
import io.mulberrylift.daemon.loop.EventSink;
import io.mulberrylift.daemon.metrics.CallerMetrics;

/**
 * Validates callers' requests and submits them to the reducer.
 *
 * <p>
 * Thread-safe. A valid request is added to the exchange table before it is submitted to
 * the reducer. The outcome "not run" of a refusal by the checks covers only the send that
 * was checked; {@link #recordRefusal} extends the outcome to earlier sends with the same
 * key.
 * </p>
 */
public final class CallerGateway {

	private static final long NOT_READY_RETRY_MILLIS = 1_000;

	private final ExchangeTable exchanges;

	private final EventSink events;

	private final Supplier<Optional<FleetConfiguration>> configuration;

	private final CallerMetrics metrics;

	private final InstantSource clock;

	private final AtomicLong lastRequestId = new AtomicLong();

	/**
	 * Creates the gateway.
	 * @param exchanges table of the requests in progress
	 * @param events sink for events to the reducer
	 * @param configuration supplies the configuration in force, empty until one is loaded
	 * @param metrics metrics of answers and refusals
	 * @param clock clock for the creation time of answers
	 */
	public CallerGateway(ExchangeTable exchanges, EventSink events,
			Supplier<Optional<FleetConfiguration>> configuration, CallerMetrics metrics, InstantSource clock) {
		this.exchanges = exchanges;
		this.events = events;
		this.configuration = configuration;
		this.metrics = metrics;
		this.clock = clock;
	}

	/**
	 * Returns the configuration in force.
	 * @return the configuration, or a refusal until one is loaded
	 */
	CheckResult<FleetConfiguration> configuration() {
		return this.configuration.get()
			.map(CheckResult::valid)
			.orElseGet(() -> new CheckResult.Refused<>(Refusal.retryable(Outcome.NOT_RUN, RefusalReason.NOT_READY,
					"No configuration has been read yet", NOT_READY_RETRY_MILLIS)));
	}

	/**
	 * Starts a completion request.
	 * @param format format of request and answer
	 * @param request the request
	 * @param stream stream that sends the response
	 * @return the exchange, or why the request is refused
	 */
	CheckResult<CallerExchange> startCompletion(CompletionFormat format, CallerRequest request, ResponseStream stream) {
		return configuration().then((fleet) -> EnvelopeChecks.check(request, fleet)
			.then((envelope) -> CompletionRequestReader.read(format, request.body())
				.then((completion) -> checkModel(fleet, completion)
					.then((call) -> startModel(format, request, envelope, completion, call, stream)))));
	}

	/**
	 * Starts a call to a plain service.
	 * @param path target of the call
	 * @param request the request
	 * @param stream stream that sends the response
	 * @return the exchange, or why the request is refused
	 */
	CheckResult<CallerExchange> startServiceCall(ServicePath path, CallerRequest request, ResponseStream stream) {
		return configuration().then((fleet) -> EnvelopeChecks.check(request, fleet).then((envelope) -> {
			ServiceSettings settings = fleet.services().get(path.service());
			return (settings != null) ? startService(path, settings, envelope, request, stream) : CheckResult
				.refused(RefusalReason.UNKNOWN_TARGET, "The service " + path.service() + " is not configured");
		}));
	}

	/**
	 * Notifies the reducer that the caller has disconnected.
	 * @param exchange the caller's exchange
	 */
	void callerDisconnected(CallerExchange exchange) {
		long requestId = exchange.spec().requestId();
		this.metrics.countDisconnect();
		this.events.submit((now) -> new RequestEvent.CallerDisconnected(now, requestId));
	}

	/**
	 * Counts a refusal that was made before the request reached the reducer, and corrects
	 * its outcome if an earlier send with the same key may have run.
	 * @param refusal the refusal of this send
	 * @param request the request, with or without its body
	 * @return the refusal to send
	 */
	Refusal recordRefusal(Refusal refusal, CallerRequest request) {
		this.metrics.countRefusal(refusal.reason());
		return EarlyRefusals.correctOutcome(refusal, request, this.configuration.get());
	}

	/**
	 * Submits an exchange to the reducer.
	 * @param exchange the exchange
	 */
	void submit(CallerExchange exchange) {
		this.exchanges.add(exchange);
		this.events.submit((now) -> new RequestEvent.Arrived(now, exchange.spec()));
	}

	private static CheckResult<ModelCall> checkModel(FleetConfiguration fleet, CompletionRequest completion) {
		ModelSettings settings = fleet.models().get(completion.model());
		if (settings == null) {
			return CheckResult.refused(RefusalReason.UNKNOWN_TARGET,
					"The model " + completion.model() + " is not configured");
		}
		int promptTokens = PromptHashes.promptTokens(completion.prompt());
		if (promptTokens > settings.maxPromptTokens()) {
			return CheckResult.refused(RefusalReason.PROMPT_TOO_LONG,
					"The prompt has " + promptTokens + " tokens; allowed: at most " + settings.maxPromptTokens());
		}
		int maxOutputTokens = completion.maxOutputTokens().orElse(settings.maxOutputTokens());
		if (maxOutputTokens > settings.maxOutputTokens()) {
			return CheckResult.refused(RefusalReason.BAD_REQUEST, "The requested maximum of output tokens is "
					+ maxOutputTokens + "; allowed: 1 to " + settings.maxOutputTokens());
		}
		return CheckResult.valid(new ModelCall(completion.model(), completion.prompt(), maxOutputTokens));
	}

	private CheckResult<CallerExchange> startModel(CompletionFormat format, CallerRequest request, Envelope envelope,
			CompletionRequest completion, ModelCall call, ResponseStream stream) {
		boolean repeatable = envelope.profileSettings().repeatable();
		return KeyChecks.check(request, repeatable, envelope.profileSettings().keyRequired()).then((key) -> {
			long fingerprint = PromptHashes.fingerprint(call.model(),
					List.of(format.name(), String.valueOf(call.maxOutputTokens())),
					call.prompt().getBytes(StandardCharsets.UTF_8));
			RequestSpec spec = new RequestSpec(this.lastRequestId.incrementAndGet(), envelope.workspace(),
					envelope.profile(), WorkKind.MODEL, call.model(), PromptHashes.promptTokens(call.prompt()),
					call.maxOutputTokens(), PromptHashes.prefixBlocks(call.prompt()), fingerprint, key, repeatable,
					envelope.timeoutMillis());
			return CheckResult.valid(modelExchange(format, completion, call, spec, stream));
		});
	}

	private CallerExchange modelExchange(CompletionFormat format, CompletionRequest completion, ModelCall call,
			RequestSpec spec, ResponseStream stream) {
		long arrivedNanos = System.nanoTime();
		ModelExchange.AnswerOptions options = new ModelExchange.AnswerOptions(format, completion.streaming(),
				completion.includeUsage());
		CompletionWriter writer = new CompletionWriter(format, UUID.randomUUID().toString(),
				this.clock.instant().getEpochSecond(), call.model());
		return new ModelExchange(spec, call, options, writer, stream, () -> this.metrics
			.recordFirstToken(spec.promptTokens(), TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - arrivedNanos)));
	}

	private CheckResult<CallerExchange> startService(ServicePath path, ServiceSettings settings, Envelope envelope,
			CallerRequest request, ResponseStream stream) {
		boolean repeatable = settings.isRepeatable(path.path());
		boolean credentialChecked = !envelope.workspaceSettings().credentialSha256().isEmpty();
		ServiceCall call = new ServiceCall(request.method(), path.pathAndQuery(),
				EndToEndHeaders.ofRequest(request.headers(), credentialChecked), request.body());
		boolean keyRequired = !repeatable && envelope.profileSettings().keyRequired();
		return KeyChecks.check(request, repeatable, keyRequired).then((key) -> {
			long fingerprint = PromptHashes.fingerprint(path.service(), List.of(call.method(), call.pathAndQuery()),
					call.body());
			RequestSpec spec = new RequestSpec(this.lastRequestId.incrementAndGet(), envelope.workspace(),
					envelope.profile(), WorkKind.SERVICE, path.service(), 0, 0, new long[0], fingerprint, key,
					repeatable, envelope.timeoutMillis());
			return CheckResult.valid(new ServiceExchange(spec, call, stream));
		});
	}

}
