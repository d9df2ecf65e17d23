import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Half of the clients leave before their non-idempotent requests are answered, in spells of
 * five seconds, the last two of them with few clients. Then all clients stay, and after the
 * time to recover the share of requests that are served is counted.
 */
final class AbandonedPosts extends Case {

	private static final int MAX_BUSY_SPELLS = 10;

	/** Number of requests whose clients left after which no more busy spells follow. */
	private static final int ENOUGH_LEFT = 10_500;

	private static final int CALM_SPELLS = 2;

	private static final int CALM_CLIENTS = 2;

	private static final long SPELL_MILLIS = 5000;

	private static final long PAUSE_MILLIS = 500;

	private static final int CLIENTS = 40;

	private static final long WORK_MILLIS = 86;

	private static final int ANSWER_BYTES = 4800;

	private static final int BODY_BYTES = 600;

	private static final long RECOVERY_MILLIS = 12_000;

	private final AtomicLong ids = new AtomicLong(1);

	private final AtomicInteger ran = new AtomicInteger();

	private final AtomicInteger answered = new AtomicInteger();

	private final AtomicInteger left = new AtomicInteger();

	private final AtomicInteger active = new AtomicInteger(CLIENTS);

	private final AtomicBoolean leaving = new AtomicBoolean();

	private final AtomicBoolean ended = new AtomicBoolean();

	public static void main(String[] arguments) {
		run(new AbandonedPosts(), arguments);
	}

	@Override
	boolean broken(Deployment deployment, boolean trouble) throws Exception {
		for (int index = 0; index < 6; index++) {
			new Runner(deployment.store, "i-link" + index, "link", "regina-hall", 11, this::work);
		}
		Deployment.Gateway gateway = deployment.startGateway("front-1");
		Thread.sleep(2000);
		double before = probe(deployment, gateway, "before");
		check(before >= 0.25, "under a quarter was served before the disruption");
		List<Thread> clients = new ArrayList<>();
		for (int index = 0; index < CLIENTS; index++) {
			int number = index;
			Thread client = new Thread(() -> client(gateway, number, trouble));
			client.setDaemon(true);
			client.start();
			clients.add(client);
		}
		long busyUntil = System.nanoTime() + 5 * (SPELL_MILLIS + PAUSE_MILLIS) * 1_000_000;
		int spells = 0;
		int calm = 0;
		while (calm < CALM_SPELLS) {
			boolean busy = spells < MAX_BUSY_SPELLS
					&& ((trouble) ? this.left.get() < ENOUGH_LEFT : System.nanoTime() < busyUntil);
			this.active.set((busy) ? CLIENTS : CALM_CLIENTS);
			calm += (busy) ? 0 : 1;
			spells++;
			this.leaving.set(true);
			Thread.sleep(SPELL_MILLIS);
			this.leaving.set(false);
			deployment.record.say("spell " + spells + " with " + this.active.get() + " clients: " + this.left.get() + " clients' requests left, "
					+ this.ran.get() + " run, " + this.answered.get() + " answered 200, " + held(gateway));
			Thread.sleep(PAUSE_MILLIS);
		}
		this.ended.set(true);
		for (Thread client : clients) {
			client.join();
		}
		Thread.sleep(RECOVERY_MILLIS);
		deployment.record.say("all clients are gone for " + RECOVERY_MILLIS + " ms, " + held(gateway) + ", ready "
				+ gateway.ready());
		double after = probe(deployment, gateway, "after");
		return after < 0.25;
	}

	private static String held(Deployment.Gateway gateway) {
		return gateway.metrics().lines().filter((line) -> line.startsWith("mulberrylift_held_bytes ")).findFirst().orElse("");
	}

	private boolean work(Runner runner, Http.Head request, byte[] none, Runner.Channel channel) throws IOException {
		Runner.readBody(request, channel);
		this.ran.incrementAndGet();
		sleep(WORK_MILLIS);
		Runner.write(channel, 200, runner.headers(request), new byte[ANSWER_BYTES]);
		return true;
	}

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	/** One client after the other: each sends a request on a new channel; half leave. */
	private void client(Deployment.Gateway gateway, int number, boolean trouble) {
		SplittableRandom random = new SplittableRandom(number);
		while (!this.ended.get()) {
			if (number >= this.active.get()) {
				sleep(50);
				continue;
			}
			boolean leaves = trouble && number % 2 == 0 && this.leaving.get();
			try (Socket socket = gateway.connect(0)) {
				post(socket, "post-" + this.ids.getAndIncrement());
				if (leaves) {
					sleep(20 + random.nextInt(40));
					this.left.incrementAndGet();
				}
				else {
					socket.setSoTimeout(2000);
					Http.Answer answer = Http.readAnswer(socket.getInputStream(), null);
					if (answer.whole() && answer.head().status() == 200) {
						this.answered.incrementAndGet();
					}
					sleep(20);
				}
			}
			catch (IOException ex) {
				sleep(50);
			}
		}
	}

	private static void post(Socket socket, String id) throws IOException {
		byte[] head = head("POST", "/post/2f", id, 1500, BODY_BYTES).getBytes(StandardCharsets.ISO_8859_1);
		byte[] all = new byte[head.length + BODY_BYTES];
		System.arraycopy(head, 0, all, 0, head.length);
		socket.getOutputStream().write(all);
	}

	/** Sends requests one by one, from clients that stay; returns the share that is served. */
	private double probe(Deployment deployment, Deployment.Gateway gateway, String name) throws IOException {
		int served = 0;
		int sent = 0;
		int ranBefore = this.ran.get();
		TreeMap<String, Integer> ends = new TreeMap<>();
		for (int index = 0; index < 40; index++) {
			boolean idempotent = index % 2 == 0;
			String id = name + "-" + index;
			try (Socket socket = gateway.connect(0)) {
				socket.setSoTimeout(2000);
				if (idempotent) {
					socket.getOutputStream().write(head("GET", "/ack/2f", id, 1500, 0).getBytes(StandardCharsets.ISO_8859_1));
				}
				else {
					post(socket, id);
				}
				sent++;
				Http.Answer answer = Http.readAnswer(socket.getInputStream(), null);
				boolean good = answer.whole() && answer.head().status() == 200 && answer.body().length == ANSWER_BYTES;
				served += (good) ? 1 : 0;
				String end = ((idempotent) ? "idempotent " : "non-idempotent ")
						+ ((answer.head() != null) ? answer.head().status() : answer.end());
				ends.merge(end, 1, Integer::sum);
				deployment.record.line(id + " " + end + " " + answer.body().length + " bytes, served " + good);
			}
		}
		deployment.record.say(name + ": " + served + " of " + sent + " served, " + (this.ran.get() - ranBefore)
				+ " runs, " + ends);
		return served / (double) sent;
	}

}
