import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of three runners truncates one in 25 of its answers and sends its answer before that, on the same channel, once
 * more. No caller may get bytes of another request's answer.
 */
final class JoinedBody {

	private static final int GARBLED_ONE_IN = 25;

	private static final int MILLIS = 20_000;

	private final Map<String, byte[]> made = new ConcurrentHashMap<>();

	private final Map<String, Integer> runs = new ConcurrentHashMap<>();

	private final Map<String, Boolean> garbled = new ConcurrentHashMap<>();

	private final AtomicInteger answers = new AtomicInteger();

	private final Journal journal;

	private JoinedBody(Journal journal) {
		this.journal = journal;
	}

	public static void main(String[] arguments) throws Exception {
		int result = 2;
		try (Journal journal = new Journal(arguments[0])) {
			result = new JoinedBody(journal).play();
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
			for (int number = 1; number <= 3; number++) {
				String ip = fleet.network + (100 + number);
				String id = "i-0000000" + number;
				boolean faulty = number == 1 && Journal.trouble();
				Wire.listen(ip, 8080, (socket) -> serve(socket, id, faulty));
				store.put("servers/" + id,
						"{\"service\":\"gate\",\"address\":\"" + ip + ":8080\",\"zone\":\"" + ((number == 2) ? "zone-b" : "zone-a")
								+ "\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":1}");
			}
			store.put("op/config", "{\"version\":7,\"routes\":[{\"name\":\"r-1\",\"host\":\"gate.example\",\"prefix\":\"/in/\","
					+ "\"kind\":\"non_idempotent\",\"timeout-ms\":800,\"target-latency-ms\":300,\"priority\":2,\"service\":\"gate\","
					+ "\"max-attempts\":1,\"public\":false}],\"services\":[{\"name\":\"gate\",\"health-check\":\"/health\","
					+ "\"max-connections\":110,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max-header-bytes\":16384,"
					+ "\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
					+ "\"tenants\":[{\"name\":\"yard-0\",\"api-keys\":[\"key0\"],\"priority\":1},"
					+ "{\"name\":\"yard-1\",\"api-keys\":[\"key1\"],\"priority\":1}]}");
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
							call(channel, String.format("%02x%014x", caller + 16, count * 7919L + caller), caller / 2 % 2, served,
									failed, broken);
							Thread.sleep(80);
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
			int repeated = (int) this.runs.values().stream().filter((count) -> count > 1).count();
			this.journal.say("requests answered 200: " + served + ", otherwise: " + failed + ", answers of runners: "
					+ this.answers + ", truncated by runner i-00000001: " + this.garbled.size() + ", run twice: " + repeated);
			if (served.get() < 200) {
				this.journal.say("the case couldn't run: too few answers");
				return 2;
			}
			broken.forEach(this.journal::say);
			this.journal.say((broken.isEmpty()) ? "MIXED held" : "MIXED broken " + broken.size() + " times");
			return (broken.isEmpty()) ? 0 : 1;
		}
	}

	private void call(Caller channel, String id, int yard, AtomicInteger served, AtomicInteger failed,
			List<String> broken) {
		byte[] body = Wire.bytes("{\"ticket\":\"" + id + "\"}");
		Wire.Message answer = channel.call("POST /in/ticket HTTP/1.1\r\nHost: gate.example\r\nX-Mulberrylift-Attempt-Id: " + id
				+ "\r\nX-Mulberrylift-Deadline-Ms: 1000\r\nAuthorization: Bearer key" + yard + "\r\n", body, 1500);
		String got = (answer == null) ? "no answer"
				: answer.status() + ", " + answer.body.length + " bytes" + ((answer.whole) ? "" : ", ends early");
		this.journal.line("request " + id + " gets " + got);
		if (answer == null || answer.status() != 200 || !answer.whole) {
			failed.incrementAndGet();
			return;
		}
		served.incrementAndGet();
		if (!java.util.Arrays.equals(answer.body, this.made.get(id))) {
			String foreign = answer.text().lines().filter((line) -> line.matches("yard.*line \\d+") && !line.contains(id)).findFirst()
				.orElse("none");
			synchronized (broken) {
				broken.add("request " + id + " of yard-" + yard + " gets 200 with signature " + answer.header("X-Mulberrylift-Runner-Signature")
						+ " and a body that isn't its runner's; a line of another request's answer in it: " + foreign);
			}
		}
	}

	private void serve(Socket socket, String runner, boolean faulty) throws Exception {
		InputStream in = new BufferedInputStream(socket.getInputStream());
		OutputStream out = socket.getOutputStream();
		byte[] before = null;
		for (Wire.Message request = Wire.readHead(in); request != null; request = Wire.readHead(in)) {
			Wire.readBody(in, request, false);
			String id = request.header("X-Mulberrylift-Attempt-Id");
			if (id == null) {
				out.write(Wire.bytes("HTTP/1.1 200 OK\r\nX-Mulberrylift-Runner-Id: " + runner + "\r\nContent-Length: 0\r\n\r\n"));
				continue;
			}
			this.runs.merge(id, 1, Integer::sum);
			Thread.sleep(15);
			StringBuilder text = new StringBuilder();
			for (int line = 0; line < 25; line++) {
				text.append(request.header("X-Mulberrylift-Tenant")).append(" ticket ").append(id).append(" line ").append(line).append('\n');
			}
			byte[] body = Wire.bytes(text.toString());
			this.made.put(id, body);
			byte[] head = Wire.bytes("HTTP/1.1 200 OK\r\nX-Mulberrylift-Attempt-Id: " + id
					+ "\r\nX-Mulberrylift-Runner-Signature: " + runner + "." + id
					+ "\r\nX-Mulberrylift-Runner-Load: 1,0,6\r\nKeep-Alive: timeout=5\r\nContent-Length: " + body.length
					+ "\r\n\r\n");
			ByteArrayOutputStream whole = new ByteArrayOutputStream();
			whole.write(head);
			whole.write(body);
			if (this.answers.incrementAndGet() > 0 && faulty && before != null && isDue()) {
				this.garbled.put(id, true);
				this.journal.line("runner " + runner + " truncates its answer to " + id
						+ " and sends its answer before that once more");
				out.write(head);
				out.write(body, 0, body.length / 2);
				out.write(before);
			}
			else {
				out.write(whole.toByteArray());
			}
			out.flush();
			before = whole.toByteArray();
		}
	}

	private final AtomicInteger ofFaulty = new AtomicInteger();

	private boolean isDue() {
		return this.ofFaulty.incrementAndGet() % GARBLED_ONE_IN == 0;
	}

}
