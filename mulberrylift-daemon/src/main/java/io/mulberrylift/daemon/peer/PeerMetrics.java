package io.mulberrylift.daemon.peer;

import java.util.EnumMap;
import java.util.Map;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;

/**
 * Metrics of the messages sent to other instances.
 *
 * <p>
 * Safe for use by several threads.
 * </p>
 */
final class PeerMetrics {

	private final Map<PeerMessageKind, Meter> sentBytes = new EnumMap<>(PeerMessageKind.class);

	private final Meter dropped;

	PeerMetrics(MetricRegistry registry) {
		for (PeerMessageKind kind : PeerMessageKind.values()) {
			this.sentBytes.put(kind, registry.meter(MetricRegistry.name("peer", "sent-bytes", kind.label())));
		}
		this.dropped = registry.meter(MetricRegistry.name("peer", "dropped-messages"));
	}

	void sent(PeerMessageKind kind, int sizeBytes) {
		this.sentBytes.get(kind).mark(sizeBytes);
	}

	void dropped(int messages) {
		this.dropped.mark(messages);
	}

}
