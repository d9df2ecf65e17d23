import java.io.BufferedInputStream;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Three of five model runners break off one in 25 of their streams within an event, send a second answer to the same
 * request on the channel and reset it. The streams have no length. No caller may get a spoiled event, or one twice.
 */
final class JoinedStream {

	private static final int GARBLED_ONE_IN = 25;

	private static final int RUNNERS = 5;

	private static final int FAULTY = 3;

	private static final int EVENTS = 12;

	private static final int MILLIS = 25_000;

	private final AtomicInteger runs = new AtomicInteger();

	private final AtomicInteger ofFaulty = new AtomicInteger();

	private final Map<String, Integer> garbled = new ConcurrentHashMap<>();

	private final Journal journal;

	private JoinedStream(Journal journal) {
		this.journal = journal;
	}

	public static void main(String[] arguments) throws Exception {
		int result = 2;
		try (Journal journal = new Journal(arguments[0])) {
			result = new JoinedStream(journal).play();
		}
		catch (Exception | Error ex) {
			// The case couldn't run.
			ex.printStackTrace();
		}
		System.exit(result);
	}

	private int play() throws Exception {
		try (Fleet fleet = new Fleet("zone-a", "zone-b")) {
			Platform store = new Platform();
			store.listen(fleet.storeIp(), Fleet.STORE_PORT);
			for (int number = 1; number <= RUNNERS; number++) {
				String ip = fleet.network + (100 + number);
				String id = "i-0000000" + number;
				boolean faulty = number <= FAULTY && Journal.trouble();
				Wire.listen(ip, 8080, (socket) -> serve(socket, id, faulty));
				store.put("servers/" + id, "{\"service\":\"fcst\",\"address\":\"" + ip + ":8080\",\"zone\":\""
						+ ((number == 2) ? "zone-b" : "zone-a")
						+ "\",\"version\":\"v1\",\"slots\":11,\"state\":\"ready\",\"cold-remaining-ms\":0,\"stage\":\"colocated\","
						+ "\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"sequence\":1}");
			}
			store.put("op/config", "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"fcst.example\",\"prefix\":\"/brief/\","
					+ "\"kind\":\"streaming\",\"timeout-ms\":10000,\"target-latency-ms\":300,\"priority\":1,\"service\":\"fcst\","
					+ "\"max-attempts\":2,\"public\":false,\"session-affinity\":true,\"resume-streams\":true,"
					+ "\"target-gap-ms\":200}],\"services\":[{\"name\":\"fcst\",\"health-check\":\"/health\",\"max-connections\":274,"
					+ "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":11,\"kv-capacity\":450000,\"stride\":46,"
					+ "\"models\":[{\"name\":\"m\"}],\"step_ms\":0.925,\"per_seq_ms\":0.007,\"context_per_k\":0.00254,"
					+ "\"read_per_s\":256000.0,\"pairs_per_m\":0.0917,\"chunk\":2048,\"report_lag_ms\":200.0,"
					+ "\"usual\":{\"prompt\":5000,\"answer\":500},\"hop-ms\":0.1}}],\"limits\":{\"max-header-bytes\":16384,"
					+ "\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
					+ "\"tenants\":[{\"name\":\"town-1\",\"api-keys\":[\"key1\"],\"priority\":1}]}");
			fleet.start(1);
			fleet.start(2);
			fleet.awaitReady(1);
			fleet.awaitReady(2);
			Thread.sleep(2000);
			AtomicInteger served = new AtomicInteger();
			AtomicInteger failed = new AtomicInteger();
			List<String> broken = new ArrayList<>();
			List<Thread> callers = new ArrayList<>();
			long end = System.nanoTime() + MILLIS * 1_000_000L;
			for (int number = 0; number < 8; number++) {
				int caller = number;
				callers.add(Wire.daemon("caller", () -> {
					try (Caller channel = new Caller(fleet.ip(1 + caller % 2))) {
						for (int count = 0; System.nanoTime() < end; count++) {
							call(channel, String.format("%02x%014x", caller + 16, count * 7919L + caller), served, failed,
									broken);
							Thread.sleep(50);
						}
					}
					catch (InterruptedException ex) {
						Thread.currentThread().interrupt();
					}
				}));
			}
			for (Thread each : callers) {
				each.join();
			}
			this.journal.say("streams complete with 200: " + served + ", others: " + failed + ", runs: " + this.runs
					+ ", broken off by a runner: " + this.garbled.size());
			if (served.get() < 100) {
				this.journal.say("the case couldn't run: too few streams");
				return 2;
			}
			broken.forEach(this.journal::say);
			this.journal.say((broken.isEmpty()) ? "MIXED and ORDER held" : "MIXED or ORDER broken " + broken.size() + " times");
			return (broken.isEmpty()) ? 0 : 1;
		}
	}

	private void call(Caller channel, String id, AtomicInteger served, AtomicInteger failed, List<String> broken) {
		Wire.Message answer = channel.call("POST /brief/x HTTP/1.1\r\nHost: fcst.example\r\nX-Mulberrylift-Attempt-Id: " + id
				+ "\r\nX-Mulberrylift-Model: m\r\nX-Mulberrylift-Token-Usage: 5000,600\r\nX-Mulberrylift-Prompt-Prefix: " + id
				+ ":5000\r\nX-Mulberrylift-Deadline-Ms: 10000\r\nAuthorization: Bearer key1\r\n",
				Wire.bytes(("prompt " + id + " ").repeat(40)), 10_000);
		boolean complete = answer != null && answer.status() == 200 && answer.whole;
		this.journal.line("request " + id + " gets " + ((answer == null) ? "no answer"
				: answer.status() + ", " + answer.body.length + " bytes" + ((answer.whole) ? "" : ", ends early")));
		((complete) ? served : failed).incrementAndGet();
		if (answer == null || answer.status() != 200) {
			return;
		}
		String got = answer.text();
		for (int number = 1; number <= EVENTS; number++) {
			String event = event(id, number);
			if (!got.startsWith(event)) {
				// A stream that ends early must be the beginning of the runner's.
				if (!complete && got.isEmpty()) {
					return;
				}
				String first = got.substring(0, Math.min(300, got.length())).replace("\r", "\\r").replace("\n", "\\n");
				synchronized (broken) {
					broken.add("request " + id + " gets 200" + ((complete) ? ", complete" : ", cut off") + "; after event "
							+ (number - 1) + " its runner's event " + number + " is due, and it gets: " + first
							+ (got.lastIndexOf("id: 1\n") >= 0 ? " ... and event 1 again" : ""));
				}
				return;
			}
			got = got.substring(event.length());
		}
		if (!got.isEmpty()) {
			synchronized (broken) {
				broken.add("request " + id + " gets bytes after its last event");
			}
		}
	}

	private static String event(String id, int number) {
		return "id: " + number + "\ndata: part " + number + " of the answer to " + id + " and some forty more bytes of text\n\n";
	}

	private void serve(Socket socket, String runner, boolean faulty) throws Exception {
		InputStream in = new BufferedInputStream(socket.getInputStream());
		OutputStream out = socket.getOutputStream();
		for (Wire.Message request = Wire.readHead(in); request != null; request = Wire.readHead(in)) {
			Wire.readBody(in, request, false);
			String id = request.header("X-Mulberrylift-Attempt-Id");
			if (id == null) {
				out.write(Wire.bytes("HTTP/1.1 200 OK\r\nX-Mulberrylift-Runner-Id: " + runner + "\r\nContent-Length: 0\r\n\r\n"));
				continue;
			}
			this.runs.incrementAndGet();
			String last = request.header("Last-Event-Id");
			int from = (last == null) ? 1 : Integer.parseInt(last) + 1;
			this.journal.line("runner " + runner + " runs " + id + " from event " + from);
			Thread.sleep(30);
			boolean spoiled = faulty && from == 1 && this.ofFaulty.incrementAndGet() % GARBLED_ONE_IN == 0;
			byte[] head = Wire.bytes("HTTP/1.1 200 OK\r\nX-Mulberrylift-Attempt-Id: " + id
					+ "\r\nX-Mulberrylift-Runner-Signature: " + runner + "." + id + "." + from
					+ "\r\nContent-Type: text/event-stream\r\nX-Mulberrylift-Weight-Versions: 1\r\nConnection: close\r\n\r\n");
			out.write(head);
			for (int number = from; number <= EVENTS; number++) {
				Thread.sleep(10);
				if (spoiled && number == EVENTS / 2) {
					this.garbled.put(id, number);
					this.journal.line("runner " + runner + " breaks off its answer to " + id + " within event " + number
							+ ", sends a second answer and resets the channel");
					out.write(Wire.bytes(event(id, number).substring(0, 30)));
					out.write(head);
					out.write(Wire.bytes(event(id, 1) + event(id, 2)));
					out.flush();
					Thread.sleep(200);
					socket.setSoLinger(true, 0);
					return;
				}
				out.write(Wire.bytes(event(id, number)));
				out.flush();
			}
			return;
		}
	}

}
