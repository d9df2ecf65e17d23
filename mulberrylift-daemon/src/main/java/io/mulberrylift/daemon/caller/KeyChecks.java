package io.mulberrylift.daemon.caller;

import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;

import com.google.common.primitives.Longs;
import io.mulberrylift.core.model.IdempotencyKey;
import io.mulberrylift.core.model.RefusalReason;

/**
 * Validates the idempotency key of a caller's request.
 *
 * <p>
 * A UUID of version 7 contains the time of its first send. Any other key needs that time
 * in the header {@value CallerHeaders#FIRST_SENT}.
 * </p>
 */
final class KeyChecks {

	private KeyChecks() {
	}

	/**
	 * Validates the key.
	 * @param request the request
	 * @param repeatable whether the request may run more than once
	 * @param keyRequired whether the request must carry a key
	 * @return the key, empty if there is none or if the key of a repeatable request has
	 * no time; or why the key is refused
	 */
	static CheckResult<Optional<IdempotencyKey>> check(CallerRequest request, boolean repeatable, boolean keyRequired) {
		Optional<String> text = request.header(CallerHeaders.KEY).map(KeyChecks::unquote);
		if (text.isEmpty()) {
			return (keyRequired)
					? CheckResult.refused(RefusalReason.KEY_REQUIRED, "The header " + CallerHeaders.KEY + " is missing")
					: CheckResult.valid(Optional.empty());
		}
		if (!isWellFormed(text.get())) {
			return CheckResult.refused(RefusalReason.BAD_REQUEST, "The header " + CallerHeaders.KEY + " must have 1 to "
					+ IdempotencyKey.MAX_LENGTH_CHARS + " characters");
		}
		return checkSendTime(request, text.get(), repeatable);
	}

	/**
	 * Returns whether an earlier send can have run under the key of a request. None can
	 * if the key is absent, blank or too long. A key without a time counts as usable,
	 * because an earlier send may have included the time.
	 * @param request the request
	 * @return true if the key is present and well-formed
	 */
	static boolean hasUsableKey(CallerRequest request) {
		return request.header(CallerHeaders.KEY).map(KeyChecks::unquote).filter(KeyChecks::isWellFormed).isPresent();
	}

	private static boolean isWellFormed(String key) {
		return !key.isBlank() && key.length() <= IdempotencyKey.MAX_LENGTH_CHARS;
	}

	private static CheckResult<Optional<IdempotencyKey>> checkSendTime(CallerRequest request, String key,
			boolean repeatable) {
		OptionalLong uuidMillis = UuidV7.epochMillis(key);
		if (uuidMillis.isPresent()) {
			return valid(key.toLowerCase(Locale.ROOT), uuidMillis.getAsLong());
		}
		Optional<String> header = request.header(CallerHeaders.FIRST_SENT);
		if (header.isPresent()) {
			return firstSent(key, header.get());
		}
		if (repeatable) {
			return CheckResult.valid(Optional.empty());
		}
		return CheckResult.refused(RefusalReason.KEY_REQUIRED, "The key is not a UUID of version 7 and the header "
				+ CallerHeaders.FIRST_SENT + " is missing, so the time of its first send is unknown");
	}

	private static CheckResult<Optional<IdempotencyKey>> firstSent(String key, String header) {
		Long epochMillis = Longs.tryParse(header);
		if (epochMillis == null || epochMillis <= 0) {
			return CheckResult.refused(RefusalReason.BAD_REQUEST, "The header " + CallerHeaders.FIRST_SENT + " is "
					+ header + "; allowed: positive milliseconds since 1970");
		}
		return valid(key, epochMillis);
	}

	private static CheckResult<Optional<IdempotencyKey>> valid(String key, long firstSentEpochMillis) {
		return CheckResult.valid(Optional.of(new IdempotencyKey(key, firstSentEpochMillis)));
	}

	private static String unquote(String value) {
		boolean quoted = value.length() > 1 && value.startsWith("\"") && value.endsWith("\"");
		return (quoted) ? value.substring(1, value.length() - 1) : value;
	}

}
