package io.mulberrylift.daemon.endpoint;

import java.util.function.LongSupplier;

import io.mulberrylift.core.fleet.InstanceIdentity;
import io.mulberrylift.daemon.loop.EventSink;
import io.mulberrylift.daemon.outbound.OutboundHttpClient;

/**
 * What all tries share.
 *
 * @param identity the identity under which tries are sent
 * @param client carries the requests
 * @param canceller cancels tries at engines
 * @param events takes the results
 * @param progress learns how far answers have come
 * @param monotonicMillis the monotonic clock in milliseconds
 */
record AttemptServices(InstanceIdentity identity, OutboundHttpClient client, AttemptCanceller canceller,
		EventSink events, AttemptProgressListener progress, LongSupplier monotonicMillis) {
}
