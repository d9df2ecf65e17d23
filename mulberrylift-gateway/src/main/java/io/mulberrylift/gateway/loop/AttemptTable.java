package io.mulberrylift.gateway.loop;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The attempts in progress of each request: mostly one, two while a stream may go on at
 * either of two endpoints.
 *
 * <p>
 * Not thread-safe; confined to the event loop. Invariant: an attempt is listed for its
 * request exactly as long as its request is known for it.
 * </p>
 */
final class AttemptTable {

	private final Map<Long, Long> requestByAttempt = new HashMap<>();

	private final Map<Long, List<Long>> attemptsByRequest = new HashMap<>();

	/**
	 * Adds an attempt.
	 * @param attemptId the attempt
	 * @param requestId its request
	 */
	void add(long attemptId, long requestId) {
		this.requestByAttempt.put(attemptId, requestId);
		this.attemptsByRequest.computeIfAbsent(requestId, (id) -> new ArrayList<>(1)).add(attemptId);
	}

	/**
	 * Removes an attempt. Has no effect if it is not listed.
	 * @param attemptId the attempt
	 */
	void remove(long attemptId) {
		Long requestId = this.requestByAttempt.remove(attemptId);
		if (requestId != null) {
			this.attemptsByRequest.computeIfPresent(requestId, (id, attempts) -> {
				attempts.remove(attemptId);
				return attempts.isEmpty() ? null : attempts;
			});
		}
	}

	/**
	 * Removes all attempts of a request.
	 * @param requestId the request
	 */
	void removeRequest(long requestId) {
		List<Long> attempts = this.attemptsByRequest.remove(requestId);
		if (attempts != null) {
			attempts.forEach(this.requestByAttempt::remove);
		}
	}

	/**
	 * Returns the request of an attempt.
	 * @param attemptId the attempt
	 * @return the request, empty if the attempt is not listed
	 */
	Optional<Long> requestOf(long attemptId) {
		return Optional.ofNullable(this.requestByAttempt.get(attemptId));
	}

	/**
	 * Returns the attempts of a request.
	 * @param requestId the request
	 * @return a copy, the oldest attempt first; empty if there is none
	 */
	List<Long> ofRequest(long requestId) {
		return List.copyOf(this.attemptsByRequest.getOrDefault(requestId, List.of()));
	}

}
