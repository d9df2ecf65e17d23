package io.mulberrylift.daemon.endpoint;

import java.util.function.LongSupplier;

import io.mulberrylift.core.fleet.InstanceIdentity;
import io.mulberrylift.daemon.loop.EventSink;
import io.mulberrylift.daemon.outbound.OutboundHttpClient;

/**
 * Collaborators shared by all attempts.
 *
 * @param identity identity of the instance that sends the attempts
 * @param client sends the requests
 * @param canceller cancels attempts on engines
 * @param events receives the results
 * @param progress notified of accepted tokens
 * @param monotonicMillis the monotonic clock in milliseconds
 */
record AttemptServices(InstanceIdentity identity, OutboundHttpClient client, AttemptCanceller canceller,
		EventSink events, AttemptProgressListener progress, LongSupplier monotonicMillis) {
}
