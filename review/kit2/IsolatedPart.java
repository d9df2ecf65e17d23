import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Three of seven model runners crash, one after the other, and come back. Their answers have no length. All prompts of a
 * route that was added later begin with the same part. Once all runners are back, that route must be served like others.
 */
final class IsolatedPart {

	private static final int RUNNERS = 7;

	private static final int CRASHES = 3;

	private static final int EVENTS = 12;

	/** Bounds of the small deployments, and how long a crashed runner is away. */
	private static final int CONTACT_MILLIS = 3000;

	private static final int BEAT_MILLIS = 1200;

	private static final int DOWN_MILLIS = 3000;

	private static final int JUDGED_MILLIS = 30_000;

	/** A process of a runner. */
	private static final class Runner {

		final String id;

		final String address;

		final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

		final AtomicInteger running = new AtomicInteger();

		ServerSocket server;

		Runner(String id, String address) {
			this.id = id;
			this.address = address;
		}

	}

	private final List<Runner> models = new CopyOnWriteArrayList<>();

	private final Platform store = new Platform();

	private final Map<String, Integer> lateSent = new ConcurrentHashMap<>();

	private final Map<String, Integer> lateServed = new ConcurrentHashMap<>();

	private final Journal journal;

	private volatile boolean judged;

	private IsolatedPart(Journal journal) {
		this.journal = journal;
	}

	public static void main(String[] arguments) throws Exception {
		int result = 2;
		try (Journal journal = new Journal(arguments[0])) {
			result = new IsolatedPart(journal).play();
		}
		catch (Exception | Error ex) {
			// The case couldn't run.
			ex.printStackTrace();
		}
		System.exit(result);
	}

	private int play() throws Exception {
		try (Fleet fleet = new Fleet("zone-a", "zone-b")) {
			this.store.listen(fleet.storeIp(), Fleet.STORE_PORT);
			for (int number = 1; number <= RUNNERS; number++) {
				startModel("i-f000000" + number, fleet.network + (100 + number));
			}
			for (int number = 1; number <= 2; number++) {
				String ip = fleet.network + (150 + number);
				Wire.listen(ip, 8080, IsolatedPart::servePlain);
				put("i-a000000" + number, "gate", ip);
			}
			this.store.put("op/config", configuration(7, ""));
			fleet.start(1);
			fleet.start(2);
			fleet.awaitReady(1);
			fleet.awaitReady(2);
			Thread.sleep(1500);
			this.store.put("op/config", configuration(9, LATER_ROUTE));
			this.journal.say("version 9, which adds the route /brief/, is acknowledged");
			Thread.sleep(3000);
			List<Thread> callers = new ArrayList<>();
			AtomicInteger stop = new AtomicInteger();
			for (int number = 0; number < 10; number++) {
				int caller = number;
				callers.add(Wire.daemon("caller", () -> {
					try (Caller channel = new Caller(fleet.ip(1 + caller % 2))) {
						for (int count = 0; stop.get() == 0; count++) {
							call(channel, caller < 4, String.format("%02x%014x", caller + 16, count * 7919L + caller));
							Thread.sleep(100);
						}
					}
					catch (InterruptedException ex) {
						Thread.currentThread().interrupt();
					}
				}));
			}
			Thread.sleep(4000);
			for (int crash = 1; crash <= CRASHES && Journal.trouble(); crash++) {
				crash(fleet.network + (120 + crash), "i-e000000" + crash);
				Thread.sleep(1500);
			}
			Thread.sleep(DOWN_MILLIS + CONTACT_MILLIS);
			this.journal.say("all runners are back for " + CONTACT_MILLIS + " ms; requests count from now on");
			this.judged = true;
			Thread.sleep(JUDGED_MILLIS);
			this.judged = false;
			stop.set(1);
			for (Thread each : callers) {
				each.join();
			}
			int firstSent = this.lateSent.getOrDefault("first", 0);
			int laterSent = this.lateSent.getOrDefault("later", 0);
			double first = this.lateServed.getOrDefault("first", 0) / (double) Math.max(1, firstSent);
			double later = this.lateServed.getOrDefault("later", 0) / (double) Math.max(1, laterSent);
			this.journal.say(String.format("route /out/ (first): %d requests, %.3f served; route /brief/ (added later): %d "
					+ "requests, %.3f served", firstSent, first, laterSent, later));
			if (firstSent < 20 || laterSent < 20 || first < 0.5) {
				this.journal.say("the case couldn't run");
				return 2;
			}
			boolean broken = later < first / 4;
			this.journal.say((broken) ? "CONFIG broken" : "CONFIG held");
			return (broken) ? 1 : 0;
		}
	}

	private void startModel(String id, String ip) throws IOException {
		Runner runner = new Runner(id, ip);
		runner.server = Wire.listen(ip, 8080, (socket) -> serveModel(runner, socket));
		this.models.add(runner);
		put(id, "fcst", ip);
	}

	private void put(String id, String service, String ip) {
		this.store.put("servers/" + id, "{\"service\":\"" + service + "\",\"address\":\"" + ip + ":8080\",\"zone\":\"zone-a\","
				+ "\"version\":\"v1\",\"slots\":11,\"state\":\"ready\",\"cold-remaining-ms\":0,\"stage\":\"colocated\","
				+ "\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"sequence\":1}");
	}

	/** Crashes the busiest runner, which starts again with a new id, and whose entry expires after three beats. */
	private void crash(String newIp, String newId) throws InterruptedException, IOException {
		Runner busiest = this.models.get(0);
		for (long end = System.nanoTime() + 3_000_000_000L; System.nanoTime() < end;) {
			for (Runner each : this.models) {
				busiest = (each.running.get() > busiest.running.get()) ? each : busiest;
			}
			if (busiest.running.get() > 0) {
				break;
			}
			Thread.sleep(5);
		}
		Runner crashed = busiest;
		this.journal.say("runner " + crashed.id + " crashes with " + crashed.running.get() + " streams");
		this.models.remove(crashed);
		crashed.server.close();
		for (Socket each : crashed.sockets) {
			each.setSoLinger(true, 0);
			each.close();
		}
		Wire.daemon("restart", () -> {
			try {
				Thread.sleep(DOWN_MILLIS);
				startModel(newId, newIp);
				this.journal.say("a new process, " + newId + ", takes the place of runner " + crashed.id);
				Thread.sleep(3 * BEAT_MILLIS - DOWN_MILLIS);
				this.store.delete("servers/" + crashed.id);
			}
			catch (InterruptedException | IOException ex) {
				this.journal.say("a runner could not be started again: " + ex);
			}
		});
	}

	private void call(Caller channel, boolean first, String id) {
		boolean counts = this.judged;
		String head = (first) ? "GET /out/x HTTP/1.1\r\n"
				: "POST /brief/x HTTP/1.1\r\nX-Mulberrylift-Model: m\r\nX-Mulberrylift-Token-Usage: 5000,600\r\n"
						+ "X-Mulberrylift-Prompt-Prefix: 5c1e07a2:40," + id + ":4960\r\n";
		Wire.Message answer = channel.call(
				head + "Host: town.example\r\nX-Mulberrylift-Attempt-Id: " + id + "\r\nX-Mulberrylift-Deadline-Ms: "
						+ ((first) ? 1500 : 10_000) + "\r\nAuthorization: Bearer key1\r\n",
				(first) ? new byte[0] : Wire.bytes("{\"prompt\":\"" + id + "\"}"), 11_000);
		boolean served = answer != null && answer.status() == 200 && answer.whole;
		this.journal.line("request " + id + ((first) ? " on /out/" : " on /brief/") + " gets "
				+ ((answer == null) ? "no answer" : answer.start + ((answer.whole) ? "" : ", ends early") + ((served) ? "" : " "
						+ answer.text().trim() + " Retry-After " + answer.header("Retry-After"))));
		if (counts) {
			this.lateSent.merge((first) ? "first" : "later", 1, Integer::sum);
			if (served) {
				this.lateServed.merge((first) ? "first" : "later", 1, Integer::sum);
			}
		}
	}

	private void serveModel(Runner runner, Socket socket) throws Exception {
		runner.sockets.add(socket);
		InputStream in = new BufferedInputStream(socket.getInputStream());
		OutputStream out = socket.getOutputStream();
		Wire.Message request = Wire.readHead(in);
		if (request == null) {
			return;
		}
		Wire.readBody(in, request, false);
		String id = request.header("X-Mulberrylift-Attempt-Id");
		String last = request.header("Last-Event-Id");
		int from = (last == null) ? 1 : Integer.parseInt(last) + 1;
		runner.running.incrementAndGet();
		try {
			out.write(Wire.bytes("HTTP/1.1 200 OK\r\nX-Mulberrylift-Attempt-Id: " + id + "\r\nX-Mulberrylift-Runner-Signature: "
					+ runner.id + "." + id + "." + from + "\r\nContent-Type: text/event-stream\r\n"
					+ "X-Mulberrylift-Weight-Versions: 1\r\nConnection: close\r\n\r\n"));
			for (int number = from; number <= EVENTS; number++) {
				Thread.sleep(40);
				out.write(Wire.bytes("id: " + number + "\ndata: part " + number + " of the answer to " + id + "\n\n"));
				out.flush();
			}
		}
		finally {
			runner.running.decrementAndGet();
			runner.sockets.remove(socket);
		}
	}

	private static void servePlain(Socket socket) throws Exception {
		InputStream in = new BufferedInputStream(socket.getInputStream());
		for (Wire.Message request = Wire.readHead(in); request != null; request = Wire.readHead(in)) {
			Wire.readBody(in, request, false);
			String id = request.header("X-Mulberrylift-Attempt-Id");
			socket.getOutputStream()
				.write(Wire.bytes("HTTP/1.1 200 OK\r\nX-Mulberrylift-Attempt-Id: " + id
						+ "\r\nX-Mulberrylift-Runner-Signature: a." + id
						+ "\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok"));
		}
	}

	private static final String LATER_ROUTE = ",{\"name\":\"r-2\",\"host\":\"town.example\",\"prefix\":\"/brief/\","
			+ "\"kind\":\"streaming\",\"timeout-ms\":10000,\"target-latency-ms\":300,\"priority\":1,\"service\":\"fcst\","
			+ "\"max-attempts\":2,\"public\":false,\"session-affinity\":true,\"resume-streams\":true,\"target-gap-ms\":200}";

	private static String configuration(int version, String laterRoute) {
		return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-1\",\"host\":\"town.example\",\"prefix\":\"/out/\","
				+ "\"kind\":\"idempotent\",\"timeout-ms\":1500,\"target-latency-ms\":300,\"priority\":2,\"service\":\"gate\","
				+ "\"max-attempts\":2,\"public\":false}" + laterRoute
				+ "],\"services\":[{\"name\":\"gate\",\"health-check\":\"/health\",\"max-connections\":110,\"protocol\":\"h1\","
				+ "\"tls\":false},{\"name\":\"fcst\",\"health-check\":\"/health\",\"max-connections\":274,\"protocol\":\"h1\","
				+ "\"tls\":false,\"engine\":{\"slots\":11,\"kv-capacity\":450000,\"stride\":46,\"models\":[{\"name\":\"m\"}],"
				+ "\"step_ms\":0.925,\"per_seq_ms\":0.007,\"context_per_k\":0.00254,\"read_per_s\":256000.0,"
				+ "\"pairs_per_m\":0.0917,\"chunk\":2048,\"report_lag_ms\":200.0,\"usual\":{\"prompt\":5000,\"answer\":500},"
				+ "\"hop-ms\":0.1}}],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
				+ "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
				+ "\"tenants\":[{\"name\":\"town-1\",\"api-keys\":[\"key1\"],\"priority\":1}]}";
	}

}
