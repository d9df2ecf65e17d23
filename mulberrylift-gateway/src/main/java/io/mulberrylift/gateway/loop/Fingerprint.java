package io.mulberrylift.gateway.loop;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;
import java.util.zip.CRC32C;
import java.util.zip.Checksum;

import io.mulberrylift.gateway.caller.BufferedRequest;

/**
 * Computes a fingerprint that is equal for repeated sends of the same request with the
 * same API key.
 */
final class Fingerprint {

	private Fingerprint() {
	}

	static long of(BufferedRequest request) {
		return (checksum(new CRC32(), request) << 32) | checksum(new CRC32C(), request);
	}

	private static long checksum(Checksum checksum, BufferedRequest request) {
		checksum.update(request.method().name().getBytes(StandardCharsets.UTF_8));
		checksum.update(request.target().getBytes(StandardCharsets.UTF_8));
		checksum.update(request.head().host().getBytes(StandardCharsets.UTF_8));
		checksum.update(request.head().apiKey().orElse("").getBytes(StandardCharsets.UTF_8));
		checksum.update(request.body());
		return checksum.getValue();
	}

}
