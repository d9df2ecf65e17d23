package io.mulberrylift.core.peer;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

import io.mulberrylift.core.model.InstanceId;
import io.mulberrylift.core.model.StoredAnswer;
import io.mulberrylift.core.model.ZoneId;

/**
 * Messages by which an instance claims the right to run a non-idempotent request.
 */
public sealed interface WitnessMessage extends PeerMessage {

	/**
	 * Names one claim of one key. The claimant's incarnation is part of the name, so that
	 * a restarted instance never reuses one.
	 *
	 * @param claimant the instance that wants to run the request
	 * @param incarnation the claimant's incarnation
	 * @param sequence number unique within the incarnation
	 */
	record ClaimId(InstanceId claimant, long incarnation, long sequence) {

		/**
		 * Creates the name.
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
	 * @param value the key's text
	 * @param firstSentEpochMillis first send by the caller's clock in milliseconds since
	 * the epoch
	 */
	record KeyId(String workspace, String value, long firstSentEpochMillis) {

		/**
		 * Creates the identity.
		 * @throws NullPointerException if a reference is null
		 */
		public KeyId {
			Objects.requireNonNull(workspace, "workspace");
			Objects.requireNonNull(value, "value");
		}

	}

	/**
	 * Asks a seat holder for a grant.
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
	 * @param holder the claim that holds the grant when it is another one
	 * @param answer the stored answer when the holder's request finished and it is kept
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
	 * Gives a grant back. The sender has not dispatched under this claim and never will.
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
	 * Says how the claimed request ended.
	 *
	 * @param seat the seat
	 * @param key the key
	 * @param fingerprint fingerprint of the request
	 * @param claim the claim
	 * @param answer the answer when it is whole and small enough to keep
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
	 * Hands a seat with part of its memory to the next holder. The sender has stopped
	 * granting for good.
	 *
	 * @param seat the seat
	 * @param heirIncarnation incarnation of the only process that may take the seat
	 * @param resignedEpochMillis when the sender stopped granting, in milliseconds since
	 * the epoch
	 * @param sinceEpochMillis time from which the memory is complete, in milliseconds
	 * since the epoch
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
	 * A remembered grant.
	 *
	 * @param key the key
	 * @param fingerprint fingerprint of the request
	 * @param claim the claim that holds it
	 * @param settled whether the request ended
	 * @param answer the stored answer, if kept
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
	 * Decisions of a seat holder.
	 */
	enum Decision {

		/** The claim holds the key's grant at this seat. */
		GRANTED,

		/** Another claim holds it and its request has not ended. */
		RUNNING,

		/** Another claim held it and its request ended. */
		SETTLED,

		/** The key was used with another request. */
		FINGERPRINT_DIFFERS,

		/** The seat's memory does not reach back to the key's first send. */
		ABSTAINED,

		/** The key's time is outside the promise window. */
		OUT_OF_WINDOW,

		/** The receiver does not hold the seat or its authority has lapsed. */
		NO_AUTHORITY

	}

}
