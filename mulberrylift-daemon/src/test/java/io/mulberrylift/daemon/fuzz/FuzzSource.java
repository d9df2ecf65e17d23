package io.mulberrylift.daemon.fuzz;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Makes damaged inputs from valid ones.
 *
 * <p>
 * Not safe for use by several threads. Equal seeds make equal inputs.
 * </p>
 */
public final class FuzzSource {

	private static final int MAX_STEPS = 6;

	private static final int MAX_REPEATS = 2_000;

	private static final int MAX_TEXT_CHARS = 200;

	private static final Pattern TOKEN = Pattern
		.compile("\"(?:[^\"\\\\]|\\\\.)*\"|-?[0-9][0-9.eE+-]*|true|false|null|[{}\\[\\]:,]");

	private static final List<String> TOKENS = List.of("null", "true", "0", "-1", "1.5", "1e999", "-1e-999",
			"2147483648", "9223372036854775808", "1".repeat(1_200), "\"\"", "\" \"", "\"\\u0000\"", "\"\\ud800\"",
			"\"\\uFEFF\"", "\"a\\nb\"", "\"../..\"", "[]", "{}", "[null]", "{\"\":null}", "[[[[1]]]]", "{", "}", "[",
			"]", ",", ":", "/*", "*/", "//", "NaN", "'a'", "\"" + "x".repeat(5_000) + "\"");

	private final SplittableRandom random;

	/**
	 * Creates a source.
	 * @param seed the seed of all choices
	 */
	public FuzzSource(long seed) {
		this.random = new SplittableRandom(seed);
	}

	/**
	 * Chooses a number.
	 * @param bound greater than any result, positive
	 * @return the number, at least 0
	 */
	public int nextInt(int bound) {
		return this.random.nextInt(bound);
	}

	/**
	 * Chooses an element.
	 * @param <T> type of the elements
	 * @param elements the elements, not empty
	 * @return one of them
	 */
	public <T> T pick(List<T> elements) {
		return elements.get(nextInt(elements.size()));
	}

	/**
	 * Damages bytes.
	 * @param valid the valid input
	 * @return a copy with flipped, removed, repeated or cut bytes
	 */
	public byte[] mutate(byte[] valid) {
		byte[] bytes = valid.clone();
		for (int steps = nextInt(MAX_STEPS); steps >= 0; steps--) {
			bytes = damageOnce(bytes);
		}
		return bytes;
	}

	private byte[] damageOnce(byte[] bytes) {
		if (bytes.length == 0) {
			return new byte[] { (byte) nextInt(256) };
		}
		int from = nextInt(bytes.length);
		int to = from + nextInt(bytes.length - from + 1);
		switch (nextInt(5)) {
			case 0:
				bytes[from] = (byte) nextInt(256);
				return bytes;
			case 1:
				bytes[from] ^= (byte) (1 << nextInt(8));
				return bytes;
			case 2:
				return join(bytes, from, to);
			case 3:
				return join(bytes, to, from);
			default:
				return Arrays.copyOf(bytes, from);
		}
	}

	private static byte[] join(byte[] bytes, int headEnd, int tailStart) {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		output.write(bytes, 0, headEnd);
		output.write(bytes, tailStart, bytes.length - tailStart);
		return output.toByteArray();
	}

	/**
	 * Damages JSON text token by token, now and then byte by byte.
	 * @param valid the valid text
	 * @return the damaged text
	 */
	public String mutateJson(String valid) {
		List<String> parts = parts(valid);
		for (int steps = nextInt(MAX_STEPS); steps >= 0; steps--) {
			damageParts(parts);
		}
		String text = String.join("", parts);
		return (nextInt(4) > 0) ? text
				: new String(mutate(text.getBytes(StandardCharsets.UTF_8)), StandardCharsets.UTF_8);
	}

	private void damageParts(List<String> parts) {
		if (parts.isEmpty()) {
			parts.add(pick(TOKENS));
			return;
		}
		int at = nextInt(parts.size());
		switch (nextInt(5)) {
			case 0 -> {
				parts.remove(at);
			}
			case 1 -> {
				parts.add(at, pick(TOKENS));
			}
			case 2 -> {
				parts.add(at, parts.get(nextInt(parts.size())));
			}
			case 3 -> {
				parts.set(at, pick(List.of("[", "{\"a\":", "\"", " ")).repeat(nextInt(MAX_REPEATS)));
			}
			default -> {
				parts.set(at, pick(TOKENS));
			}
		}
	}

	private static List<String> parts(String text) {
		List<String> parts = new ArrayList<>();
		Matcher matcher = TOKEN.matcher(text);
		int end = 0;
		while (matcher.find()) {
			if (matcher.start() > end) {
				parts.add(text.substring(end, matcher.start()));
			}
			parts.add(matcher.group());
			end = matcher.end();
		}
		parts.add(text.substring(end));
		return parts;
	}

	/**
	 * Makes text of any characters, also unpaired surrogates and controls.
	 * @return the text, may be empty
	 */
	public String randomText() {
		StringBuilder text = new StringBuilder();
		for (int chars = nextInt(MAX_TEXT_CHARS); chars > 0; chars--) {
			text.append((char) ((nextInt(3) > 0) ? nextInt(128) : nextInt(Character.MAX_VALUE + 1)));
		}
		return text.toString();
	}

}
