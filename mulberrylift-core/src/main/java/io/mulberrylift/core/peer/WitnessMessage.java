package io.mulberrylift.core.peer;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.StoredAnswer;
import io.mulberrylift.core.model.ZoneId;

/**
 * Messages by which an instance claims the right to run a non-idempotent request.
 *
 * <p>
 * Each configured witness zone has one witness seat, a voter held by one instance of that
 * zone. A claim asks the seats for grants of an idempotency key; the request may run once
 * a majority of the seats has granted the key to its claim.
 * </p>
 */
public sealed interface WitnessMessage extends PeerMessage {

	/**
	 * Identifies one claim of one key. The claimant's incarnation is part of the id, so
	 * that a restarted instance never reuses one.
	 *
	 * @param claimant the instance that wants to run the request
	 * @param incarnation the claimant's incarnation
	 * @param sequence number unique within the incarnation
	 */
	record ClaimId(InstanceId claimant, long incarnation, long sequence) {

		/**
		 * Creates the id.
		 * @throws NullPointerException if a reference is null
		 */
		public ClaimId {
			Objects.requireNonNull(claimant, "claimant");
		}

	}

	/**
	 * Identifies a key across workspaces.
	 *
	 * @param workspace the workspace's name
	 * @param value the key as sent by the caller
	 * @param firstSentEpochMillis time of the first send by the caller's clock, in
	 * milliseconds since the epoch
	 */
	record KeyId(String workspace, String value, long firstSentEpochMillis) {

		/**
		 * Creates the id.
		 * @throws NullPointerException if a reference is null
		 */
		public KeyId {
			Objects.requireNonNull(workspace, "workspace");
			Objects.requireNonNull(value, "value");
		}

	}

	/**
	 * Requests a grant from the holder of a seat.
	 *
	 * @param seat the seat that the receiver is believed to hold
	 * @param electorate hash of all seats of which the claimant needs a majority
	 * @param key the key
	 * @param fingerprint fingerprint of the request
	 * @param claim the claim
	 */
	record Claim(ZoneId seat, long electorate, KeyId key, long fingerprint, ClaimId claim) implements WitnessMessage {

		/**
		 * Creates the message.
		 * @throws NullPointerException if a reference is null
		 */
		public Claim {
			Objects.requireNonNull(seat, "seat");
			Objects.requireNonNull(key, "key");
			Objects.requireNonNull(claim, "claim");
		}

	}

	/**
	 * Answers a claim.
	 *
	 * @param seat the seat that was asked
	 * @param claim the claim that is answered
	 * @param verdict what the seat holder decided
	 * @param holder the claim that holds the grant if it is another one
	 * @param answer the stored answer, if the request of the holding claim has ended and
	 * its answer is stored
	 */
	record Verdict(ZoneId seat, ClaimId claim, Decision verdict, Optional<ClaimId> holder,
			Optional<StoredAnswer> answer) implements WitnessMessage {

		/**
		 * Creates the message.
		 * @throws NullPointerException if a reference is null
		 */
		public Verdict {
			Objects.requireNonNull(seat, "seat");
			Objects.requireNonNull(claim, "claim");
			Objects.requireNonNull(verdict, "verdict");
			Objects.requireNonNull(holder, "holder");
			Objects.requireNonNull(answer, "answer");
		}

	}

	/**
	 * Releases a grant. The sender has not dispatched the request under this claim and
	 * never will.
	 *
	 * @param seat the seat
	 * @param key the key
	 * @param claim the claim
	 */
	record Release(ZoneId seat, KeyId key, ClaimId claim) implements WitnessMessage {

		/**
		 * Creates the message.
		 * @throws NullPointerException if a reference is null
		 */
		public Release {
			Objects.requireNonNull(seat, "seat");
			Objects.requireNonNull(key, "key");
			Objects.requireNonNull(claim, "claim");
		}

	}

	/**
	 * Reports the result of the claimed request.
	 *
	 * @param seat the seat
	 * @param key the key
	 * @param fingerprint fingerprint of the request
	 * @param claim the claim
	 * @param answer the answer, if it is complete and small enough to store
	 */
	record Settled(ZoneId seat, KeyId key, long fingerprint, ClaimId claim,
			Optional<StoredAnswer> answer) implements WitnessMessage {

		/**
		 * Creates the message.
		 * @throws NullPointerException if a reference is null
		 */
		public Settled {
			Objects.requireNonNull(seat, "seat");
			Objects.requireNonNull(key, "key");
			Objects.requireNonNull(claim, "claim");
			Objects.requireNonNull(answer, "answer");
		}

	}

	/**
	 * Hands a seat over to its successor, with one part of the recorded grants. The
	 * sender has permanently stopped granting.
	 *
	 * @param seat the seat
	 * @param heirIncarnation incarnation of the only process that may accept the seat
	 * @param resignedEpochMillis when the sender stopped granting, in milliseconds since
	 * the epoch
	 * @param sinceEpochMillis first-send time from which the recorded grants are
	 * complete, in milliseconds since the epoch
	 * @param part number of this part, from 0
	 * @param parts number of all parts
	 * @param grants grants in this part
	 */
	record Handover(ZoneId seat, long heirIncarnation, long resignedEpochMillis, long sinceEpochMillis, int part,
			int parts, List<Grant> grants) implements WitnessMessage {

		/**
		 * Creates the message.
		 * @throws NullPointerException if a reference is null
		 */
		public Handover {
			Objects.requireNonNull(seat, "seat");
			grants = List.copyOf(grants);
		}

	}

	/**
	 * Confirms one part of a handover.
	 *
	 * @param seat the seat
	 * @param part number of the part
	 */
	record HandoverTaken(ZoneId seat, int part) implements WitnessMessage {

		/**
		 * Creates the message.
		 * @throws NullPointerException if a reference is null
		 */
		public HandoverTaken {
			Objects.requireNonNull(seat, "seat");
		}

	}

	/**
	 * A recorded grant.
	 *
	 * @param key the key
	 * @param fingerprint fingerprint of the request
	 * @param claim the claim that holds it
	 * @param settled whether the request has ended
	 * @param answer the stored answer, if any
	 */
	record Grant(KeyId key, long fingerprint, ClaimId claim, boolean settled, Optional<StoredAnswer> answer) {

		/**
		 * Creates the grant.
		 * @throws NullPointerException if a reference is null
		 */
		public Grant {
			Objects.requireNonNull(key, "key");
			Objects.requireNonNull(claim, "claim");
			Objects.requireNonNull(answer, "answer");
		}

	}

	/**
	 * Decision of a seat holder on a claim.
	 */
	enum Decision {

		/** The claim holds the key's grant at this seat. */
		GRANTED,

		/** Another claim holds the grant and its request has not ended. */
		RUNNING,

		/** A claim held the grant and its request has ended. */
		SETTLED,

		/** The key was used for a different request. */
		FINGERPRINT_DIFFERS,

		/** The first send of the key is older than the seat's grant history. */
		ABSTAINED,

		/** The first send of the key is outside the configured window. */
		OUT_OF_WINDOW,

		/**
		 * The receiver does not hold the seat, its authority has expired, or it has no
		 * room for a new key; also the answer to a claim that was released before.
		 */
		NO_AUTHORITY

	}

}
