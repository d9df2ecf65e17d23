import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-in for a runner: registers in the store, checks the expected runner, answers its
 * health check and hands all other requests to the work of the case.
 */
final class Runner {

	private static final AtomicLong SIGNATURES = new AtomicLong(1);

	private final ServerSocket listening;

	private final String id;

	private final String service;

	private final int slots;

	private final Work work;

	final AtomicInteger running = new AtomicInteger();

	/** Runs a request and answers it; returns whether the channel is kept. */
	interface Work {

		boolean run(Runner runner, Http.Head request, byte[] body, Channel channel) throws IOException;

	}

	/** The runner's side of a channel. */
	record Channel(Socket socket, InputStream in, OutputStream out) {

		/** Ends the channel with a reset, as a crash does. */
		void reset() throws IOException {
			this.socket.setSoLinger(true, 0);
			this.socket.close();
		}

	}

	Runner(Store store, String id, String service, String zone, int slots, Work work) throws IOException {
		this.id = id;
		this.service = service;
		this.slots = slots;
		this.work = work;
		this.listening = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
		start("runner-" + id, this::accept);
		start("beat-" + id, () -> beat(store, zone));
	}

	String id() {
		return this.id;
	}

	private static void start(String name, Runnable task) {
		Thread thread = new Thread(null, task, name, 256 * 1024);
		thread.setDaemon(true);
		thread.start();
	}

	private void beat(Store store, String zone) {
		for (int sequence = 1; !this.listening.isClosed(); sequence++) {
			store.put("servers/" + this.id,
					"{\"service\":\"" + this.service + "\",\"address\":\"127.0.0.1:" + this.listening.getLocalPort()
							+ "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":" + this.slots
							+ ",\"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":" + sequence + "}");
			try {
				Thread.sleep(1200);
			}
			catch (InterruptedException ex) {
				return;
			}
		}
	}

	private void accept() {
		while (true) {
			try {
				Socket socket = this.listening.accept();
				socket.setTcpNoDelay(true);
				start("channel-" + this.id, () -> serve(socket));
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			InputStream in = new BufferedInputStream(socket.getInputStream(), 16384);
			Channel channel = new Channel(socket, in, socket.getOutputStream());
			boolean kept = true;
			while (kept) {
				Http.Head request = Http.readHead(in);
				if (request == null) {
					return;
				}
				kept = handle(request, channel);
			}
		}
		catch (IOException ex) {
			// The gateway closed the channel.
		}
	}

	private boolean handle(Http.Head request, Channel channel) throws IOException {
		String expected = request.header("x-mulberrylift-expect-runner");
		if (request.line().startsWith("GET /health ")) {
			write(channel, 200, "X-Mulberrylift-Runner-Id: " + this.id + "\r\n", new byte[0]);
			return true;
		}
		if (!expected.isEmpty() && !expected.equals(this.id)) {
			readBody(request, channel);
			write(channel, 421, "X-Mulberrylift-Runner-Id: " + this.id + "\r\n", new byte[0]);
			return true;
		}
		this.running.incrementAndGet();
		try {
			return this.work.run(this, request, null, channel);
		}
		finally {
			this.running.decrementAndGet();
		}
	}

	static byte[] readBody(Http.Head request, Channel channel) throws IOException {
		String length = request.header("content-length");
		return length.isEmpty() ? new byte[0] : channel.in().readNBytes(Integer.parseInt(length));
	}

	/** Headers of an answer to a request that has run. */
	String headers(Http.Head request) {
		return "X-Mulberrylift-Attempt-Id: " + request.header("x-mulberrylift-attempt-id") + "\r\n"
				+ "X-Mulberrylift-Runner-Signature: " + this.id + "." + SIGNATURES.getAndIncrement() + "\r\n"
				+ "X-Mulberrylift-Runner-Load: " + this.running.get() + ",0," + this.slots + "\r\n";
	}

	static void write(Channel channel, int status, String headers, byte[] body) throws IOException {
		byte[] head = ("HTTP/1.1 " + status + " S\r\n" + headers + "Content-Length: " + body.length + "\r\n\r\n")
			.getBytes(StandardCharsets.ISO_8859_1);
		byte[] all = new byte[head.length + body.length];
		System.arraycopy(head, 0, all, 0, head.length);
		System.arraycopy(body, 0, all, head.length, body.length);
		channel.out().write(all);
		channel.out().flush();
	}

	void stop() throws IOException {
		this.listening.close();
	}

}
