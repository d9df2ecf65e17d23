package io.mulberrylift.daemon.instance;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;

import io.mulberrylift.core.Reducer;
import io.mulberrylift.daemon.admin.ConfigurationSource;
import io.mulberrylift.daemon.admin.ReadinessSource;
import io.mulberrylift.daemon.admin.StateSource;
import io.mulberrylift.daemon.loop.EventLoop;

/**
 * Answers the readiness, state and configuration queries of operators.
 *
 * <p>
 * Safe for use by several threads.
 * </p>
 */
final class OperatorQueries implements ReadinessSource, StateSource, ConfigurationSource {

	private static final long QUERY_TIMEOUT_MILLIS = 2_000;

	private final EventLoop loop;

	private final FleetStateHolder fleet;

	private volatile boolean shuttingDown;

	OperatorQueries(EventLoop loop, FleetStateHolder fleet) {
		this.loop = loop;
		this.fleet = fleet;
	}

	void markShuttingDown() {
		this.shuttingDown = true;
	}

	@Override
	public Optional<String> notReadyReason() {
		if (this.shuttingDown) {
			return Optional.of("the instance is shutting down");
		}
		if (this.fleet.get().isEmpty()) {
			return Optional.of("no configuration has been read yet");
		}
		return this.fleet.hasList() ? Optional.empty() : Optional.of("no instance list has been read yet");
	}

	@Override
	public Object state() {
		return query(Reducer::describe);
	}

	@Override
	public ConfigurationStatus status() {
		return query(OperatorQueries::status);
	}

	private static ConfigurationStatus status(Reducer reducer) {
		long version = reducer.fleet().configurationVersion();
		Optional<RejectedVersion> rejected = reducer.rejectedConfiguration()
			.map((check) -> new RejectedVersion(check.document().version(), check.problems()));
		return new ConfigurationStatus((version != 0) ? OptionalLong.of(version) : OptionalLong.empty(), rejected);
	}

	private <T> T query(Function<Reducer, T> query) {
		try {
			return this.loop.query(query).get(QUERY_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("Query of the event loop was interrupted; send the request again", ex);
		}
		catch (ExecutionException | TimeoutException ex) {
			throw new IllegalStateException("Query of the event loop failed or timed out; see the log", ex);
		}
	}

}
