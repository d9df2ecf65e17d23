package io.mulberrylift.daemon.caller;

import java.nio.charset.StandardCharsets;
import java.util.List;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import io.mulberrylift.core.model.RequestSpec;

/**
 * Hashes of prompts and bodies. Equal input gives equal hashes in every process.
 */
final class PromptHashes {

	/** Number of characters (UTF-16 code units) that are counted as one token. */
	static final int CHARS_PER_TOKEN = 4;

	private static final int BLOCK_CHARS = RequestSpec.PREFIX_BLOCK_TOKENS * CHARS_PER_TOKEN;

	private static final HashFunction FUNCTION = Hashing.murmur3_128();

	private PromptHashes() {
	}

	/**
	 * Estimates the length of a prompt in tokens.
	 * @param prompt the prompt, not null
	 * @return the number of tokens, rounded up
	 */
	static int promptTokens(String prompt) {
		return (int) ((prompt.length() + CHARS_PER_TOKEN - 1L) / CHARS_PER_TOKEN);
	}

	/**
	 * Returns the hashes of a prompt's complete blocks. Each hash covers the text from
	 * the start of the prompt to the end of the block.
	 * @param prompt the prompt, not null
	 * @return the hashes, empty if the prompt is shorter than one block
	 */
	static long[] prefixBlocks(String prompt) {
		long[] blocks = new long[prompt.length() / BLOCK_CHARS];
		long previous = 0;
		for (int i = 0; i < blocks.length; i++) {
			int start = i * BLOCK_CHARS;
			previous = FUNCTION.newHasher()
				.putLong(previous)
				.putUnencodedChars(prompt.subSequence(start, start + BLOCK_CHARS))
				.hash()
				.asLong();
			blocks[i] = previous;
		}
		return blocks;
	}

	/**
	 * Returns the fingerprint of a request.
	 * @param target name of the model or service
	 * @param parts further values that identify the request, in order
	 * @param body the body
	 * @return the hash
	 */
	static long fingerprint(String target, List<String> parts, byte[] body) {
		Hasher hasher = FUNCTION.newHasher();
		putText(hasher, target);
		parts.forEach((part) -> putText(hasher, part));
		return hasher.putBytes(body).hash().asLong();
	}

	private static void putText(Hasher hasher, String text) {
		byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
		hasher.putInt(bytes.length).putBytes(bytes);
	}

}
