package io.mulberrylift.core.hash;

import java.util.Objects;

/**
 * Rendezvous (highest random weight) hashing: the candidate with the highest score is
 * responsible for a subject, and removing another candidate does not change that.
 */
public final class Rendezvous {

	private static final long OFFSET_BASIS = 0xcbf29ce484222325L;

	private static final long PRIME = 0x100000001b3L;

	private static final char SEPARATOR = '\u0000';

	private Rendezvous() {
	}

	/**
	 * Returns the score of a candidate for a subject.
	 * @param candidate name of the candidate, not null
	 * @param subject name of the subject, not null
	 * @return the score, the same on every instance
	 */
	public static long score(String candidate, String subject) {
		Objects.requireNonNull(candidate, "candidate");
		Objects.requireNonNull(subject, "subject");
		long hash = append(OFFSET_BASIS, candidate);
		hash = (hash ^ SEPARATOR) * PRIME;
		return mix(append(hash, subject));
	}

	private static long append(long hash, String text) {
		long result = hash;
		for (int i = 0; i < text.length(); i++) {
			result = (result ^ text.charAt(i)) * PRIME;
		}
		return result;
	}

	private static long mix(long hash) {
		long result = (hash ^ (hash >>> 33)) * 0xff51afd7ed558ccdL;
		result = (result ^ (result >>> 33)) * 0xc4ceb9fe1a85ec53L;
		return result ^ (result >>> 33);
	}

}
