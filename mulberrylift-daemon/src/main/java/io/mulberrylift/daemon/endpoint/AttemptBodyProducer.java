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
 * Streams the body of a try to a model engine without a second copy of the prompt.
 *
 * <p>
 * Used by one thread at a time. At most one slice of the prompt is held in encoded form.
 * </p>
 */
final class AttemptBodyProducer implements AsyncEntityProducer {

	private static final int SLICE_CHARS = 16 * 1_024;

	private static final JsonMapper MAPPER = new JsonMapper();

	private static final String PROMPT_MEMBER = ",\"prompt\":\"";

	private final String prompt;

	private ByteBuffer pending;

	private int nextChar;

	private boolean tailTaken;

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
			if (!fill()) {
				channel.endStream();
				return;
			}
		}
	}

	private boolean fill() {
		if (this.nextChar < this.prompt.length()) {
			int end = Math.min(this.prompt.length(), this.nextChar + SLICE_CHARS);
			String slice = this.prompt.substring(this.nextChar, end);
			this.pending = ByteBuffer.wrap(quote(slice));
			this.nextChar = end;
			return true;
		}
		if (!this.tailTaken) {
			this.tailTaken = true;
			this.pending = ByteBuffer.wrap(new byte[] { '"', '}' });
			return true;
		}
		return false;
	}

	private static byte[] quote(String slice) {
		try {
			return JsonStringEncoder.getInstance().quoteAsUTF8(slice);
		}
		catch (IllegalArgumentException ex) {
			// A pair that two slices share is unpaired in each and whole when read.
			return quoteUnpairedSurrogates(slice).getBytes(StandardCharsets.UTF_8);
		}
	}

	private static String quoteUnpairedSurrogates(String slice) {
		String quoted = new String(JsonStringEncoder.getInstance().quoteAsString(slice));
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
		// The client reports failures to the callback of the whole exchange.
	}

	@Override
	public void releaseResources() {
		// The encoded slice is garbage once the exchange has ended.
	}

}
