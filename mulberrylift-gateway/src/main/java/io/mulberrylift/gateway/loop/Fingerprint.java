package io.mulberrylift.gateway.loop;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import java.util.zip.CRC32;
import java.util.zip.CRC32C;
import java.util.zip.Checksum;

import io.mulberrylift.gateway.caller.BufferedRequest;

/**
 * Computes a fingerprint that is equal for repeated sends of the same request: those with
 * the same method, host, path, query and body from the same workspace, whichever of its
 * keys and whichever framing they use.
 */
final class Fingerprint {

	/**
	 * Separates the parts, none of which contains it except for the body, the last one.
	 */
	private static final int SEPARATOR = '\n';

	private Fingerprint() {
	}

	/**
	 * Computes the fingerprint of a request.
	 * @param request the request
	 * @param workspace workspace of its key, empty if it has none
	 * @return the fingerprint
	 */
	static long of(BufferedRequest request, Optional<String> workspace) {
		return (checksum(new CRC32(), request, workspace) << 32) | checksum(new CRC32C(), request, workspace);
	}

	/**
	 * Computes the hash of a part of a prompt.
	 * @param id identifier of the part; its letter case does not matter
	 * @return the hash
	 */
	static long ofPromptPart(String id) {
		byte[] bytes = id.toLowerCase(Locale.ROOT).getBytes(StandardCharsets.UTF_8);
		Checksum high = new CRC32();
		Checksum low = new CRC32C();
		high.update(bytes);
		low.update(bytes);
		return (high.getValue() << 32) | low.getValue();
	}

	private static long checksum(Checksum checksum, BufferedRequest request, Optional<String> workspace) {
		checksum.update(request.method().name().getBytes(StandardCharsets.UTF_8));
		checksum.update(SEPARATOR);
		checksum.update(request.head().host().toLowerCase(Locale.ROOT).getBytes(StandardCharsets.UTF_8));
		checksum.update(SEPARATOR);
		checksum.update(request.target().getBytes(StandardCharsets.UTF_8));
		checksum.update(SEPARATOR);
		checksum.update(workspace.orElse("").getBytes(StandardCharsets.UTF_8));
		checksum.update(SEPARATOR);
		checksum.update(request.body());
		return checksum.getValue();
	}

}
