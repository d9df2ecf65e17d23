import java.io.BufferedInputStream;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * A new version of the configuration raises max-header-bytes. From config-apply-ms after it on, requests whose heads the
 * new version allows must not be turned away on channels that clients opened before.
 */
final class HeaderLimit {

	private static final int CLIENTS = 24;

	/** The bound of the small deployments. */
	private static final int CONFIG_APPLY_MILLIS = 2000;

	private final Journal journal;

	private HeaderLimit(Journal journal) {
		this.journal = journal;
	}

	public static void main(String[] arguments) throws Exception {
		int result = 2;
		try (Journal journal = new Journal(arguments[0])) {
			result = new HeaderLimit(journal).play();
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
			for (int number = 1; number <= 2; number++) {
				String ip = fleet.network + (100 + number);
				String id = "i-0000000" + number;
				Wire.listen(ip, 8080, (socket) -> serve(socket, id));
				store.put("servers/" + id, "{\"service\":\"gate\",\"address\":\"" + ip + ":8080\",\"zone\":\"zone-a\","
						+ "\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold-remaining-ms\":0,\"sequence\":1}");
			}
			store.put("op/config", configuration(7, (Journal.trouble()) ? 8192 : 16384));
			fleet.start(1);
			fleet.start(2);
			fleet.awaitReady(1);
			fleet.awaitReady(2);
			Thread.sleep(2000);
			List<Caller> callers = new ArrayList<>();
			int asked = 0;
			int refused = 0;
			int served = 0;
			for (int client = 0; client < CLIENTS; client++) {
				callers.add(new Caller(fleet.ip(1 + client % 2)));
			}
			for (int round = 0; round < 8; round++) {
				if (round == 4 && Journal.trouble()) {
					store.put("op/config", configuration(9, 16384));
					this.journal.say("version 9, which raises max-header-bytes from 8192 to 16384, is acknowledged");
				}
				boolean large = round >= 6;
				if (round == 6) {
					Thread.sleep(CONFIG_APPLY_MILLIS + 1000);
				}
				for (int client = 0; client < CLIENTS; client++) {
					asked++;
					String id = String.format("%04x%012x", client + 16, round);
					// Clients open one channel each and keep it.
					Wire.Message answer = callers.get(client)
						.call("GET /out/x HTTP/1.1\r\nHost: gate.example\r\nX-Mulberrylift-Attempt-Id: " + id
								+ "\r\nX-Mulberrylift-Deadline-Ms: 1500\r\nAuthorization: Bearer key1\r\n"
								+ ((large) ? "X-Ticket-Lines: " + "7".repeat(10_000) + "\r\n" : ""), new byte[0], 2000);
					this.journal.line("request " + id + ((large) ? " with a head of 10 KB gets " : " gets ")
							+ ((answer == null) ? "no answer" : answer.start));
					if (answer != null && answer.status() >= 300 && answer.status() < 500) {
						refused++;
					}
					else if (answer != null && answer.status() == 200) {
						served++;
					}
				}
				Thread.sleep(500);
			}
			callers.forEach(Caller::close);
			double allowed = 5 + asked / 500.0;
			this.journal.say("requests: " + asked + ", served: " + served + ", ended with a 3xx or 4xx of the system's own: "
					+ refused + ", allowed: " + allowed);
			if (served < asked / 2) {
				return 2;
			}
			this.journal.say((refused > allowed) ? "DENIED broken" : "DENIED held");
			return (refused > allowed) ? 1 : 0;
		}
	}

	private static String configuration(int version, int maxHeaderBytes) {
		return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-1\",\"host\":\"gate.example\",\"prefix\":\"/out/\","
				+ "\"kind\":\"idempotent\",\"timeout-ms\":1500,\"target-latency-ms\":300,\"priority\":2,\"service\":\"gate\","
				+ "\"max-attempts\":2,\"public\":false}],\"services\":[{\"name\":\"gate\",\"health-check\":\"/health\","
				+ "\"max-connections\":110,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"max-header-bytes\":" + maxHeaderBytes
				+ ",\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},"
				+ "\"tenants\":[{\"name\":\"yard-1\",\"api-keys\":[\"key1\"],\"priority\":1}]}";
	}

	private static void serve(Socket socket, String runner) throws Exception {
		InputStream in = new BufferedInputStream(socket.getInputStream());
		OutputStream out = socket.getOutputStream();
		for (Wire.Message request = Wire.readHead(in); request != null; request = Wire.readHead(in)) {
			Wire.readBody(in, request, false);
			String id = request.header("X-Mulberrylift-Attempt-Id");
			out.write(Wire.bytes("HTTP/1.1 200 OK\r\n" + ((id == null) ? "X-Mulberrylift-Runner-Id: " + runner + "\r\n"
					: "X-Mulberrylift-Attempt-Id: " + id + "\r\nX-Mulberrylift-Runner-Signature: " + runner + "." + id + "\r\n")
					+ "Keep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok"));
			out.flush();
		}
	}

}
