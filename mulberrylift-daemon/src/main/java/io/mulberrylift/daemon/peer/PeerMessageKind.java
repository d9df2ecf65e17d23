package io.mulberrylift.daemon.peer;

import java.util.Arrays;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

import io.mulberrylift.core.peer.ConfigurationMessage;
import io.mulberrylift.core.peer.Heartbeat;
import io.mulberrylift.core.peer.PeerMessage;
import io.mulberrylift.core.peer.SuspectNotice;
import io.mulberrylift.core.peer.WitnessMessage;

/**
 * Kinds of messages, with their names on the wire and in metrics.
 */
enum PeerMessageKind {

	/** Liveness signal of the sender. */
	HEARTBEAT(Heartbeat.class, true),

	/**
	 * Report of an endpoint that was lost, or may have been lost, while it ran a request.
	 */
	SUSPECT(SuspectNotice.class, false),

	/** Request for a newer configuration document. */
	PULL(ConfigurationMessage.Pull.class, true),

	/** A published configuration document. */
	PUSH(ConfigurationMessage.Push.class, false),

	/** Request for a grant (vote) of a witness seat, which votes on keys for its zone. */
	CLAIM(WitnessMessage.Claim.class, false),

	/** Answer of a witness seat to a claim. */
	VERDICT(WitnessMessage.Verdict.class, false),

	/** Release of a grant. */
	RELEASE(WitnessMessage.Release.class, false),

	/** Result of a claimed request. */
	SETTLED(WitnessMessage.Settled.class, false),

	/** Part of the grants that a witness seat hands over to its successor. */
	HANDOVER(WitnessMessage.Handover.class, false),

	/** Confirmation of a handover part. */
	HANDOVER_TAKEN(WitnessMessage.HandoverTaken.class, false);

	private static final Map<Class<?>, PeerMessageKind> BY_TYPE = Arrays.stream(values())
		.collect(Collectors.toUnmodifiableMap(PeerMessageKind::type, Function.identity()));

	private final Class<? extends PeerMessage> type;

	private final boolean droppable;

	PeerMessageKind(Class<? extends PeerMessage> type, boolean droppable) {
		this.type = type;
		this.droppable = droppable;
	}

	static PeerMessageKind of(PeerMessage message) {
		return BY_TYPE.get(message.getClass());
	}

	Class<? extends PeerMessage> type() {
		return this.type;
	}

	/**
	 * Returns whether a full queue may drop messages of this kind, because a later
	 * message supersedes an earlier one.
	 * @return true if they may be dropped
	 */
	boolean droppable() {
		return this.droppable;
	}

	String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
