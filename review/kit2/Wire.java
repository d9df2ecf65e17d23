import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** HTTP/1.1 on plain sockets, so that a stand-in decides about each byte. */
final class Wire {

	private Wire() {
	}

	/** A request or an answer. */
	static final class Message {

		String start;

		final List<String[]> headers = new ArrayList<>();

		byte[] body = new byte[0];

		/** Whether the body was received to its end. */
		boolean whole;

		String header(String name) {
			for (String[] each : this.headers) {
				if (each[0].equalsIgnoreCase(name)) {
					return each[1];
				}
			}
			return null;
		}

		String method() {
			return this.start.split(" ")[0];
		}

		String target() {
			return this.start.split(" ")[1];
		}

		int status() {
			return Integer.parseInt(this.start.split(" ")[1]);
		}

		String text() {
			return new String(this.body, StandardCharsets.ISO_8859_1);
		}

	}

	/** Handles a connection until it ends. */
	interface Handler {

		void handle(Socket socket) throws Exception;

	}

	static ServerSocket listen(String ip, int port, Handler handler) throws IOException {
		ServerSocket server = new ServerSocket();
		server.setReuseAddress(true);
		server.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 512);
		daemon("accept-" + ip + ":" + port, () -> {
			while (!server.isClosed()) {
				try {
					Socket socket = server.accept();
					socket.setTcpNoDelay(true);
					daemon("connection", () -> {
						try (socket) {
							handler.handle(socket);
						}
						catch (Exception ex) {
							// The other side has gone; the connection ends.
						}
					});
				}
				catch (IOException ex) {
					return;
				}
			}
		});
		return server;
	}

	static Thread daemon(String name, Runnable work) {
		Thread thread = new Thread(null, work, name, 256 * 1024);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	/**
	 * Reads the head of a message.
	 * @return the message without its body, null if the connection ended before
	 */
	static Message readHead(InputStream in) throws IOException {
		String start = readLine(in);
		if (start == null) {
			return null;
		}
		Message message = new Message();
		message.start = start;
		for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
			int colon = line.indexOf(':');
			message.headers.add(new String[] { line.substring(0, colon), line.substring(colon + 1).trim() });
		}
		return message;
	}

	static String readLine(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int next = in.read(); next != '\n'; next = in.read()) {
			if (next < 0) {
				return null;
			}
			if (next != '\r') {
				line.write(next);
			}
		}
		return line.toString(StandardCharsets.ISO_8859_1);
	}

	/** Reads the body of a request or answer; what was received before an early end is kept. */
	static void readBody(InputStream in, Message message, boolean answer) throws IOException {
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		try {
			if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
				for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
					copy(in, size, body);
					readLine(in);
				}
				readLine(in);
				message.whole = true;
			}
			else if (message.header("Content-Length") != null) {
				copy(in, Integer.parseInt(message.header("Content-Length")), body);
				message.whole = true;
			}
			else if (answer) {
				for (int next = in.read(); next >= 0; next = in.read()) {
					body.write(next);
				}
				message.whole = true;
			}
			else {
				message.whole = true;
			}
		}
		finally {
			message.body = body.toByteArray();
		}
	}

	private static int chunkSize(InputStream in) throws IOException {
		String line = readLine(in);
		if (line == null) {
			throw new EOFException("the answer ends before its last chunk");
		}
		return Integer.parseInt(line.split(";")[0].trim(), 16);
	}

	private static void copy(InputStream in, int size, ByteArrayOutputStream out) throws IOException {
		for (int index = 0; index < size; index++) {
			int next = in.read();
			if (next < 0) {
				throw new EOFException("the body ends early");
			}
			out.write(next);
		}
	}

	static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.ISO_8859_1);
	}

}
