import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients send idempotent requests on channels that they keep. With the disruption they have
 * several waiting at once, otherwise each waits for its answer before the next one. Answers
 * come in the order of the requests; the body of each names the request that it answers.
 */
final class PipelinedRequests extends Case {

	private static final int CLIENTS = 60;

	private static final int WAITING = 6;

	private static final long DURATION_MILLIS = 25_000;

	private static final long WORK_MILLIS = 4;

	/** Time until a client whose channel has ended connects again. */
	private static final long RECONNECT_MILLIS = 1000;

	/** Number of foreign answers that the record lists. */
	private static final int MAX_LINES = 200;

	private final AtomicLong ids = new AtomicLong(1);

	private final AtomicInteger answers = new AtomicInteger();

	private final AtomicInteger foreign = new AtomicInteger();

	private final AtomicBoolean ended = new AtomicBoolean();

	private final TreeMap<Integer, Integer> statuses = new TreeMap<>();

	public static void main(String[] arguments) {
		run(new PipelinedRequests(), arguments);
	}

	@Override
	boolean broken(Deployment deployment, boolean trouble) throws Exception {
		for (int index = 0; index < 6; index++) {
			new Runner(deployment.store, "i-link" + index, "link", "regina-hall", 11, (runner, request, none, channel) -> {
				Runner.readBody(request, channel);
				try {
					Thread.sleep(WORK_MILLIS);
				}
				catch (InterruptedException ex) {
					throw new IllegalStateException(ex);
				}
				Runner.write(channel, 200, runner.headers(request),
						request.header("x-mulberrylift-attempt-id").getBytes(StandardCharsets.ISO_8859_1));
				return true;
			});
		}
		Deployment.Gateway gateway = deployment.startGateway("front-1");
		Thread.sleep(2000);
		List<Thread> clients = new ArrayList<>();
		for (int index = 0; index < CLIENTS; index++) {
			Thread client = new Thread(() -> {
				while (!this.ended.get()) {
					client(deployment, gateway, (trouble) ? WAITING : 1);
					try {
						Thread.sleep(RECONNECT_MILLIS);
					}
					catch (InterruptedException ex) {
						return;
					}
				}
			});
			client.setDaemon(true);
			client.start();
			clients.add(client);
		}
		Thread.sleep(DURATION_MILLIS);
		this.ended.set(true);
		for (Thread client : clients) {
			client.join(5000);
		}
		deployment.record.say(this.answers.get() + " answers " + this.statuses + ", " + this.foreign.get()
				+ " of them belong to another request");
		check(this.answers.get() > 100, "hardly anything was answered");
		return this.foreign.get() > 0;
	}

	private void client(Deployment deployment, Deployment.Gateway gateway, int most) {
		Deque<String> waiting = new ArrayDeque<>();
		try (Socket socket = gateway.connect(0)) {
			socket.setSoTimeout(4000);
			InputStream in = new BufferedInputStream(socket.getInputStream());
			while (!this.ended.get() || !waiting.isEmpty()) {
				while (!this.ended.get() && waiting.size() < most) {
					String id = "ack-" + this.ids.getAndIncrement();
					waiting.addLast(id);
					socket.getOutputStream().write(head("GET", "/ack/2f", id, 3000, 0).getBytes(StandardCharsets.ISO_8859_1));
				}
				Http.Answer answer = Http.readAnswer(in, null);
				if (answer.head() == null || !answer.whole()) {
					return;
				}
				String expected = waiting.removeFirst();
				this.answers.incrementAndGet();
				synchronized (this.statuses) {
					this.statuses.merge(answer.head().status(), 1, Integer::sum);
				}
				String body = new String(answer.body(), StandardCharsets.ISO_8859_1);
				if (answer.head().status() == 200 && !body.equals(expected)) {
					if (this.foreign.incrementAndGet() > MAX_LINES) {
						return;
					}
					deployment.record.line("the answer to " + expected + " is that to " + body + " ("
							+ answer.head().header("x-mulberrylift-attempt-id") + "); still waiting " + waiting);
					return;
				}
			}
		}
		catch (IOException ex) {
			if (!this.ended.get()) {
				deployment.record.line("channel ended with " + waiting + " waiting: " + ex);
			}
		}
	}

}
