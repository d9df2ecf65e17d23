import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients read long answers slowly while their gateway gets SIGTERM. The runner has answered
 * at once; each client would have its whole answer within the grace period.
 */
final class StopDuringAnswer extends Case {

	private static final int CLIENTS = 6;

	private static final int ANSWER_BYTES = 1024 * 1024;

	/** Read in each step of a client, which takes at least {@link #STEP_MILLIS}. */
	private static final int STEP_BYTES = 4096;

	private static final long STEP_MILLIS = 25;

	private static final long DEADLINE_MILLIS = 10_000;

	private static final int GRACE_SECONDS = 8;

	private static final long START_NANOS = System.nanoTime();

	private final AtomicInteger ran = new AtomicInteger();

	private final AtomicInteger cut = new AtomicInteger();

	public static void main(String[] arguments) {
		run(new StopDuringAnswer(), arguments);
	}

	private static long now() {
		return (System.nanoTime() - START_NANOS) / 1_000_000;
	}

	@Override
	boolean broken(Deployment deployment, boolean trouble) throws Exception {
		for (int index = 0; index < 3; index++) {
			new Runner(deployment.store, "i-link" + index, "link", "regina-hall", 6, (runner, request, none, channel) -> {
				Runner.readBody(request, channel);
				this.ran.incrementAndGet();
				deployment.record
					.line(runner.id() + " runs " + request.header("x-mulberrylift-attempt-id") + ", answers whole at once");
				Runner.write(channel, 200, runner.headers(request), new byte[ANSWER_BYTES]);
				return true;
			});
		}
		Deployment.Gateway gateway = deployment.startGateway("front-1");
		Thread.sleep(2000);
		List<Thread> clients = new ArrayList<>();
		for (int index = 0; index < CLIENTS; index++) {
			String id = "post-" + index;
			Thread client = new Thread(() -> client(deployment, gateway, id));
			client.start();
			clients.add(client);
		}
		Thread.sleep(500);
		long stopped = now();
		if (trouble) {
			deployment.record.say("SIGTERM to " + gateway.name() + " with " + this.ran.get() + " requests run");
			gateway.process().destroy();
			boolean exited = gateway.process().waitFor(GRACE_SECONDS, TimeUnit.SECONDS);
			deployment.record.say((exited) ? "the process ended by itself " + (now() - stopped) + " ms after SIGTERM"
					: "the process still runs at the end of the grace period");
			if (!exited) {
				gateway.process().destroyForcibly();
			}
		}
		for (Thread client : clients) {
			client.join();
		}
		check(this.ran.get() == CLIENTS, "not all requests ran");
		deployment.record.say(this.cut.get() + " of " + CLIENTS + " answers were cut");
		return this.cut.get() > 0;
	}

	private void client(Deployment deployment, Deployment.Gateway gateway, String id) {
		long sent = now();
		try (Socket socket = gateway.connect(16 * 1024)) {
			socket.setSoTimeout(3000);
			byte[] head = head("POST", "/post/2f", id, DEADLINE_MILLIS, 600).getBytes(StandardCharsets.ISO_8859_1);
			socket.getOutputStream().write(head);
			socket.getOutputStream().write(new byte[600]);
			deployment.record.line(id + " sent, time limit " + DEADLINE_MILLIS + " ms");
			Http.Answer answer = Http.readAnswer(new SlowStream(socket.getInputStream()), null);
			this.cut.addAndGet((answer.whole()) ? 0 : 1);
			deployment.record.say(id + " " + ((answer.head() != null) ? answer.head().status() : "no status") + ", "
					+ answer.body().length + " of " + ANSWER_BYTES + " bytes, ended by: " + answer.end() + ", "
					+ (now() - sent) + " ms after it was sent");
		}
		catch (IOException ex) {
			this.cut.incrementAndGet();
			deployment.record.say(id + " " + ex);
		}
	}

	/** Reads at a low, steady rate. */
	private static final class SlowStream extends InputStream {

		private final InputStream in;

		private long bytes;

		private final long startNanos = System.nanoTime();

		SlowStream(InputStream in) {
			this.in = in;
		}

		@Override
		public int read() throws IOException {
			return this.in.read();
		}

		@Override
		public int read(byte[] buffer, int offset, int length) throws IOException {
			long due = this.startNanos + this.bytes / STEP_BYTES * STEP_MILLIS * 1_000_000;
			long wait = (due - System.nanoTime()) / 1_000_000;
			if (wait > 0) {
				try {
					Thread.sleep(wait);
				}
				catch (InterruptedException ex) {
					throw new IllegalStateException(ex);
				}
			}
			int read = this.in.read(buffer, offset, Math.min(length, STEP_BYTES));
			this.bytes += Math.max(0, read);
			return read;
		}

	}

}
