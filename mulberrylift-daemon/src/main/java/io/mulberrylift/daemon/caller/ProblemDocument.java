package io.mulberrylift.daemon.caller;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import io.mulberrylift.core.model.Refusal;

/**
 * A refusal as a problem document of RFC 9457.
 *
 * <p>
 * Immutable and thread-safe. The outcome is always present.
 * </p>
 *
 * @param type URN that identifies the reason
 * @param title human-readable name of the reason
 * @param status HTTP status
 * @param detail explanation of this refusal, may be empty
 * @param outcome label of what is known about whether the request has run
 * @param reason label of the reason
 * @param remedy what the caller can do
 * @param retryAfterMillis time after which a retry may succeed in milliseconds, empty if
 * no time can be given
 */
@JsonPropertyOrder({ "type", "title", "status", "detail", "outcome", "reason", "remedy", "retryAfterMillis" })
@JsonInclude(JsonInclude.Include.NON_ABSENT)
public record ProblemDocument(String type, String title, int status, String detail, String outcome, String reason,
		String remedy, OptionalLong retryAfterMillis) {

	/** Media type of a problem document. */
	public static final String MEDIA_TYPE = "application/problem+json";

	private static final String TYPE_PREFIX = "urn:mulberrylift:refusal:";

	private static final long MILLIS_PER_SECOND = 1_000;

	/**
	 * Creates the document of a refusal.
	 * @param refusal the refusal, not null
	 * @return the document
	 */
	public static ProblemDocument of(Refusal refusal) {
		String label = refusal.reason().label();
		String title = label.substring(0, 1).toUpperCase(Locale.ROOT) + label.substring(1).replace('-', ' ');
		return new ProblemDocument(TYPE_PREFIX + label, title, refusal.reason().httpStatus(), refusal.detail(),
				refusal.outcome().label(), label, refusal.reason().remedy(), refusal.retryAfterMillis());
	}

	/**
	 * Returns the response headers of the document.
	 * @return the headers; {@code Retry-After} is in seconds, rounded up
	 */
	public Map<String, List<String>> headers() {
		Map<String, List<String>> headers = new TreeMap<>();
		headers.put("Content-Type", List.of(MEDIA_TYPE));
		this.retryAfterMillis.ifPresent((millis) -> headers.put("Retry-After", List.of(wholeSeconds(millis))));
		return headers;
	}

	private static String wholeSeconds(long millis) {
		return String.valueOf(Math.max(0, (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND));
	}

}
