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
 * Kinds of messages as they are named on the wire and in metrics.
 */
enum PeerMessageKind {

	/** The sender lives. */
	HEARTBEAT(Heartbeat.class, true),

	/** An endpoint was lost. */
	SUSPECT(SuspectNotice.class, false),

	/** A question for a newer document. */
	PULL(ConfigurationMessage.Pull.class, true),

	/** A document. */
	PUSH(ConfigurationMessage.Push.class, false),

	/** A question for a grant. */
	CLAIM(WitnessMessage.Claim.class, false),

	/** An answer to a claim. */
	VERDICT(WitnessMessage.Verdict.class, false),

	/** A grant given back. */
	RELEASE(WitnessMessage.Release.class, false),

	/** The end of a claimed request. */
	SETTLED(WitnessMessage.Settled.class, false),

	/** A part of a seat's memory. */
	HANDOVER(WitnessMessage.Handover.class, false),

	/** A confirmed part. */
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
	 * Returns whether a later message of the kind replaces an earlier one, so that a full
	 * queue may drop it.
	 * @return true if so
	 */
	boolean droppable() {
		return this.droppable;
	}

	String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
