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
 * Deterministic source of random values and of inputs mutated from valid ones.
 *
 * <p>
 * Not safe for use by several threads. Equal seeds produce equal inputs.
 * </p>
 */
public final class FuzzSource {

	private static final int MAX_MUTATIONS = 6;

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
	 * @param seed the seed of the random generator
	 */
	public FuzzSource(long seed) {
		this.random = new SplittableRandom(seed);
	}

	/**
	 * Returns a random number.
	 * @param bound exclusive upper bound, positive
	 * @return the number, at least 0
	 */
	public int nextInt(int bound) {
		return this.random.nextInt(bound);
	}

	/**
	 * Returns a random element.
	 * @param <T> type of the elements
	 * @param elements the elements, not empty
	 * @return one of them
	 */
	public <T> T pick(List<T> elements) {
		return elements.get(nextInt(elements.size()));
	}

	/**
	 * Mutates bytes.
	 * @param valid the valid input
	 * @return a copy with changed, removed, repeated or truncated bytes
	 */
	public byte[] mutate(byte[] valid) {
		byte[] bytes = valid.clone();
		for (int steps = nextInt(MAX_MUTATIONS); steps >= 0; steps--) {
			bytes = mutateOnce(bytes);
		}
		return bytes;
	}

	private byte[] mutateOnce(byte[] bytes) {
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
	 * Mutates the tokens of JSON text and, in one of four cases, also its bytes.
	 * @param valid the valid text
	 * @return the mutated text
	 */
	public String mutateJson(String valid) {
		List<String> tokens = tokenize(valid);
		for (int steps = nextInt(MAX_MUTATIONS); steps >= 0; steps--) {
			mutateTokens(tokens);
		}
		String text = String.join("", tokens);
		return (nextInt(4) > 0) ? text
				: new String(mutate(text.getBytes(StandardCharsets.UTF_8)), StandardCharsets.UTF_8);
	}

	private void mutateTokens(List<String> tokens) {
		if (tokens.isEmpty()) {
			tokens.add(pick(TOKENS));
			return;
		}
		int at = nextInt(tokens.size());
		switch (nextInt(5)) {
			case 0 -> {
				tokens.remove(at);
			}
			case 1 -> {
				tokens.add(at, pick(TOKENS));
			}
			case 2 -> {
				tokens.add(at, tokens.get(nextInt(tokens.size())));
			}
			case 3 -> {
				tokens.set(at, pick(List.of("[", "{\"a\":", "\"", " ")).repeat(nextInt(MAX_REPEATS)));
			}
			default -> {
				tokens.set(at, pick(TOKENS));
			}
		}
	}

	private static List<String> tokenize(String text) {
		List<String> tokens = new ArrayList<>();
		Matcher matcher = TOKEN.matcher(text);
		int end = 0;
		while (matcher.find()) {
			if (matcher.start() > end) {
				tokens.add(text.substring(end, matcher.start()));
			}
			tokens.add(matcher.group());
			end = matcher.end();
		}
		tokens.add(text.substring(end));
		return tokens;
	}

	/**
	 * Returns random text, which may contain unpaired surrogates and control characters.
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
