import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a socket, one byte stream each. */
final class Http {

	private Http() {
	}

	/** First line and headers (names in lower case) of a message. */
	record Head(String line, Map<String, String> headers) {

		String header(String name) {
			return this.headers.getOrDefault(name, "");
		}

		int status() {
			return Integer.parseInt(this.line.split(" ")[1]);
		}

	}

	/** A complete answer, or one that ended early. */
	record Answer(Head head, byte[] body, boolean whole, String end) {
	}

	/** Reads a head; null if the stream ended before its first byte. */
	static Head readHead(InputStream in) throws IOException {
		String line = readLine(in);
		if (line == null) {
			return null;
		}
		Map<String, String> headers = new LinkedHashMap<>();
		while (true) {
			String header = readLine(in);
			if (header == null) {
				throw new EOFException("ended in a head");
			}
			if (header.isEmpty()) {
				return new Head(line, headers);
			}
			int colon = header.indexOf(':');
			headers.put(header.substring(0, colon).trim().toLowerCase(Locale.ROOT), header.substring(colon + 1).trim());
		}
	}

	static String readLine(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		while (true) {
			int next = in.read();
			if (next < 0) {
				if (line.size() == 0) {
					return null;
				}
				throw new EOFException("ended in a line");
			}
			if (next == '\n') {
				String text = line.toString(StandardCharsets.ISO_8859_1);
				return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
			}
			line.write(next);
		}
	}

	/** Receives the parts of a body as they arrive. */
	interface Part {

		void received(byte[] bytes, int length) throws IOException;

	}

	/**
	 * Reads an answer as a client does that keeps to HTTP/1.1: it is whole only if its
	 * length or its last chunk says so.
	 */
	static Answer readAnswer(InputStream in, Part part) throws IOException {
		Head head = readHead(in);
		if (head == null) {
			return new Answer(null, new byte[0], false, "closed before an answer");
		}
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		try {
			if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
				while (true) {
					String size = readLine(in);
					if (size == null) {
						return new Answer(head, body.toByteArray(), false, "closed between chunks");
					}
					int length = Integer.parseInt(size.trim(), 16);
					if (length == 0) {
						readLine(in);
						return new Answer(head, body.toByteArray(), true, "last chunk");
					}
					if (!copy(in, body, length, part)) {
						return new Answer(head, body.toByteArray(), false, "closed in a chunk");
					}
					readLine(in);
				}
			}
			if (!head.header("content-length").isEmpty()) {
				boolean whole = copy(in, body, Integer.parseInt(head.header("content-length")), part);
				return new Answer(head, body.toByteArray(), whole, (whole) ? "length" : "closed before its length");
			}
			return new Answer(head, body.toByteArray(), false, "no length");
		}
		catch (IOException ex) {
			return new Answer(head, body.toByteArray(), false, String.valueOf(ex.getMessage()));
		}
	}

	private static boolean copy(InputStream in, ByteArrayOutputStream body, int length, Part part) throws IOException {
		byte[] buffer = new byte[4096];
		int left = length;
		while (left > 0) {
			int read = in.read(buffer, 0, Math.min(buffer.length, left));
			if (read < 0) {
				return false;
			}
			body.write(buffer, 0, read);
			if (part != null) {
				part.received(buffer, read);
			}
			left -= read;
		}
		return true;
	}

}
