package io.mulberrylift.daemon.outbound;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A test HTTP server on raw sockets that can close a connection after any byte.
 */
public final class RawHttpServer implements AutoCloseable {

	private final ServerSocket listener;

	private final Script script;

	private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();

	private final List<Request> requests = new CopyOnWriteArrayList<>();

	public RawHttpServer(Script script) throws IOException {
		this.script = script;
		this.listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		start(this::accept);
	}

	private static void start(Runnable task) {
		Thread thread = new Thread(task, "raw-server");
		thread.setDaemon(true);
		thread.start();
	}

	private void accept() {
		while (true) {
			try {
				Socket socket = this.listener.accept();
				this.sockets.add(socket);
				start(() -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			InputStream input = socket.getInputStream();
			while (true) {
				Request request = Request.read(input, socket);
				this.requests.add(request);
				this.script.serve(request, socket.getOutputStream());
			}
		}
		catch (IOException | RuntimeException ex) {
			// The connection was closed.
		}
	}

	public String address() {
		return "127.0.0.1:" + this.listener.getLocalPort();
	}

	public List<Request> requests() {
		return this.requests;
	}

	public List<Request> requests(String method) {
		return this.requests.stream().filter((request) -> request.method().equals(method)).toList();
	}

	public int connections() {
		return this.sockets.size();
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
		for (Socket socket : this.sockets) {
			socket.close();
		}
	}

	public static void write(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.UTF_8));
		out.flush();
	}

	public static void reply(OutputStream out, int status, String headers, String body) throws IOException {
		int length = body.getBytes(StandardCharsets.UTF_8).length;
		write(out, "HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + length + "\r\n\r\n" + body);
	}

	public static void startStream(OutputStream out) throws IOException {
		write(out, "HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\nTransfer-Encoding: chunked\r\n\r\n");
	}

	public static void chunk(OutputStream out, String text) throws IOException {
		int length = text.getBytes(StandardCharsets.UTF_8).length;
		write(out, Integer.toHexString(length) + "\r\n" + text + "\r\n");
	}

	public static void endStream(OutputStream out) throws IOException {
		write(out, "0\r\n\r\n");
	}

	@FunctionalInterface
	public interface Script {

		void serve(Request request, OutputStream out) throws IOException;

	}

	public record Request(String method, String path, Map<String, String> headers, String body, Socket socket) {

		private static Request read(InputStream input, Socket socket) throws IOException {
			String[] start = line(input).split(" ");
			Map<String, String> headers = new LinkedHashMap<>();
			for (String line = line(input); !line.isEmpty(); line = line(input)) {
				int colon = line.indexOf(':');
				headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
			}
			return new Request(start[0], start[1], headers, body(input, headers), socket);
		}

		private static String body(InputStream input, Map<String, String> headers) throws IOException {
			if (!headers.containsKey("transfer-encoding")) {
				int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
				return new String(input.readNBytes(length), StandardCharsets.UTF_8);
			}
			ByteArrayOutputStream body = new ByteArrayOutputStream();
			for (int length = chunkLength(input); length > 0; length = chunkLength(input)) {
				body.write(input.readNBytes(length));
				line(input);
			}
			line(input);
			return body.toString(StandardCharsets.UTF_8);
		}

		private static int chunkLength(InputStream input) throws IOException {
			return Integer.parseInt(line(input), 16);
		}

		private static String line(InputStream input) throws IOException {
			ByteArrayOutputStream line = new ByteArrayOutputStream();
			for (int next = input.read(); next != '\n'; next = input.read()) {
				if (next < 0) {
					throw new IOException("connection closed before the end of the line");
				}
				line.write(next);
			}
			return line.toString(StandardCharsets.ISO_8859_1).strip();
		}

	}

}
