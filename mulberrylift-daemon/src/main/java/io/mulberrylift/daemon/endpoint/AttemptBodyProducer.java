package io.mulberrylift.daemon.endpoint;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.mulberrylift.core.effect.AttemptEffect;
import io.mulberrylift.core.fleet.InstanceIdentity;
import io.mulberrylift.core.model.RequestSpec;
import io.mulberrylift.daemon.exchange.ModelCall;
import org.apache.hc.core5.http.nio.AsyncEntityProducer;
import org.apache.hc.core5.http.nio.DataStreamChannel;

/**
 * Streams the request body of an attempt on a model engine without a second copy of the
 * prompt.
 *
 * <p>
 * Used by one thread at a time. At most one chunk of the prompt is held in encoded form.
 * </p>
 */
final class AttemptBodyProducer implements AsyncEntityProducer {

	private static final int CHUNK_CHARS = 16 * 1_024;

	private static final JsonMapper MAPPER = new JsonMapper();

	private static final String PROMPT_MEMBER = ",\"prompt\":\"";

	private final String prompt;

	private ByteBuffer pending;

	private int nextChar;

	private boolean tailProduced;

	AttemptBodyProducer(InstanceIdentity identity, AttemptEffect.Dispatch dispatch, RequestSpec spec, ModelCall call) {
		this.prompt = call.prompt();
		this.pending = ByteBuffer.wrap(head(identity, dispatch, spec, call));
	}

	private static byte[] head(InstanceIdentity identity, AttemptEffect.Dispatch dispatch, RequestSpec spec,
			ModelCall call) {
		ObjectNode head = MAPPER.createObjectNode();
		head.put("attempt", AttemptNames.of(identity, dispatch.attemptId()));
		head.put("model", call.model());
		head.put("maxOutputTokens", call.maxOutputTokens());
		head.put("priority", dispatch.priority());
		head.put("timeoutMillis", dispatch.timeoutMillis());
		head.put("resumeOffset", dispatch.resumeOffsetTokens());
		ArrayNode blocks = head.putArray("prefixBlocks");
		for (long block : spec.prefixBlocks()) {
			blocks.add(BlockHash.format(block));
		}
		addHolds(head.putArray("holds"), identity, dispatch.holds());
		String text = head.toString();
		return (text.substring(0, text.length() - 1) + PROMPT_MEMBER).getBytes(StandardCharsets.UTF_8);
	}

	private static void addHolds(ArrayNode array, InstanceIdentity identity, List<AttemptEffect.MemberHold> holds) {
		for (AttemptEffect.MemberHold hold : holds) {
			ObjectNode member = array.addObject();
			member.put("endpoint", hold.endpoint().value());
			member.put("owner", identity.id().value());
			member.put("ownerIncarnation", identity.incarnation());
			member.put("holdId", hold.holdId());
		}
	}

	@Override
	public int available() {
		return Integer.MAX_VALUE;
	}

	@Override
	public void produce(DataStreamChannel channel) throws IOException {
		while (true) {
			channel.write(this.pending);
			if (this.pending.hasRemaining()) {
				return;
			}
			if (!fillPending()) {
				channel.endStream();
				return;
			}
		}
	}

	private boolean fillPending() {
		if (this.nextChar < this.prompt.length()) {
			int end = Math.min(this.prompt.length(), this.nextChar + CHUNK_CHARS);
			String chunk = this.prompt.substring(this.nextChar, end);
			this.pending = ByteBuffer.wrap(quote(chunk));
			this.nextChar = end;
			return true;
		}
		if (!this.tailProduced) {
			this.tailProduced = true;
			this.pending = ByteBuffer.wrap(new byte[] { '"', '}' });
			return true;
		}
		return false;
	}

	private static byte[] quote(String chunk) {
		try {
			return JsonStringEncoder.getInstance().quoteAsUTF8(chunk);
		}
		catch (IllegalArgumentException ex) {
			// A surrogate pair split across two chunks is unpaired in each. Escaped, it
			// is complete again when the engine parses the string.
			return quoteUnpairedSurrogates(chunk).getBytes(StandardCharsets.UTF_8);
		}
	}

	private static String quoteUnpairedSurrogates(String chunk) {
		String quoted = new String(JsonStringEncoder.getInstance().quoteAsString(chunk));
		StringBuilder result = new StringBuilder(quoted.length());
		quoted.codePoints().forEach((codePoint) -> {
			if (codePoint >= Character.MIN_SURROGATE && codePoint <= Character.MAX_SURROGATE) {
				result.append(String.format("\\u%04x", codePoint));
			}
			else {
				result.appendCodePoint(codePoint);
			}
		});
		return result.toString();
	}

	@Override
	public boolean isRepeatable() {
		return false;
	}

	@Override
	public long getContentLength() {
		return -1;
	}

	@Override
	public boolean isChunked() {
		return true;
	}

	@Override
	public String getContentType() {
		return "application/json";
	}

	@Override
	public String getContentEncoding() {
		return null;
	}

	@Override
	public Set<String> getTrailerNames() {
		return Set.of();
	}

	@Override
	public void failed(Exception cause) {
		// The client reports failures to the callback of the exchange.
	}

	@Override
	public void releaseResources() {
		// The encoded chunk is garbage-collected with the producer.
	}

}
