package io.mulberrylift.daemon.endpoint;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;

/**
 * Parses the lines of an engine's answer.
 *
 * <p>
 * Safe for use by several threads. Unknown members are ignored.
 * </p>
 */
final class AnswerLineParser {

	private static final JsonFactory FACTORY = new JsonFactory();

	private AnswerLineParser() {
	}

	/**
	 * Parses a line.
	 * @param line the line, backed by an array
	 * @return the parsed line
	 * @throws MalformedAnswerException if the line violates the engine protocol
	 */
	static AnswerLine parse(ByteBuffer line) throws MalformedAnswerException {
		int offset = line.arrayOffset() + line.position();
		try (JsonParser parser = FACTORY.createParser(line.array(), offset, line.remaining())) {
			Members members = new Members();
			require(parser.nextToken() == JsonToken.START_OBJECT);
			while (parser.nextToken() == JsonToken.FIELD_NAME) {
				String name = parser.currentName();
				parser.nextToken();
				members.read(name, parser);
			}
			require(parser.currentToken() == JsonToken.END_OBJECT && parser.nextToken() == null);
			return members.toLine();
		}
		catch (MalformedAnswerException ex) {
			throw ex;
		}
		catch (IOException ex) {
			throw new MalformedAnswerException("line is not a JSON object", ex);
		}
	}

	private static void require(boolean condition) throws MalformedAnswerException {
		if (!condition) {
			throw new MalformedAnswerException("line violates the engine protocol");
		}
	}

	private static final class Members {

		private String type = "";

		private String finishReason;

		private String detail = "";

		private List<String> text;

		private int offset = -1;

		private int promptTokens = -1;

		private int cachedTokens = -1;

		private int outputTokens = -1;

		private void read(String name, JsonParser parser) throws IOException {
			switch (name) {
				case "type" -> {
					this.type = parser.getValueAsString("");
				}
				case "finishReason" -> {
					this.finishReason = parser.getValueAsString();
				}
				case "detail" -> {
					this.detail = parser.getValueAsString("");
				}
				case "text" -> {
					this.text = strings(parser);
				}
				case "offset" -> {
					this.offset = parser.getIntValue();
				}
				case "promptTokens" -> {
					this.promptTokens = parser.getIntValue();
				}
				case "cachedTokens" -> {
					this.cachedTokens = parser.getIntValue();
				}
				case "outputTokens" -> {
					this.outputTokens = parser.getIntValue();
				}
				default -> parser.skipChildren();
			}
		}

		private static List<String> strings(JsonParser parser) throws IOException {
			require(parser.currentToken() == JsonToken.START_ARRAY);
			List<String> strings = new ArrayList<>();
			while (parser.nextToken() != JsonToken.END_ARRAY) {
				require(parser.currentToken() == JsonToken.VALUE_STRING);
				strings.add(parser.getText());
			}
			return strings;
		}

		private AnswerLine toLine() throws MalformedAnswerException {
			switch (this.type) {
				case "tokens":
					require(this.text != null && this.offset >= 0);
					return new AnswerLine.Tokens(this.offset, this.text);
				case "end":
					require(this.finishReason != null && this.promptTokens >= 0 && this.outputTokens >= 0);
					return new AnswerLine.End(this.finishReason, this.promptTokens, Math.max(0, this.cachedTokens),
							this.outputTokens);
				case "error":
					return new AnswerLine.Error(this.detail);
				default:
					throw new MalformedAnswerException("line has an unknown type");
			}
		}

	}

}
