import java.io.File;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * A small deployment: the store's stand-in and gateway processes, started with the command
 * of the deploy file on free ports of the loopback address.
 */
final class Deployment implements AutoCloseable {

	static final String KEY = "n2ctnfzs989anu6wsjnb";

	static final String HOST = "ficu95.example";

	private static final String ZONE = "regina-hall";

	final Store store = new Store();

	final Record record;

	private final Path folder;

	private final List<Gateway> gateways = new CopyOnWriteArrayList<>();

	Deployment(Record record) throws IOException {
		this.record = record;
		this.folder = Files.createTempDirectory("review");
		// Ends the gateways also when the case itself is ended from outside.
		Runtime.getRuntime()
			.addShutdownHook(new Thread(() -> this.gateways.forEach((gateway) -> gateway.process().destroyForcibly())));
	}

	/** A gateway process. */
	record Gateway(String name, Process process, int port, int readyPort, int metricsPort) {

		Socket connect(int receiveBuffer) throws IOException {
			Socket socket = new Socket();
			if (receiveBuffer > 0) {
				socket.setReceiveBufferSize(receiveBuffer);
			}
			socket.setTcpNoDelay(true);
			socket.connect(new InetSocketAddress("127.0.0.1", this.port), 1000);
			return socket;
		}

		boolean ready() {
			return page(this.readyPort, "/ready").startsWith("HTTP/1.1 200");
		}

		String metrics() {
			return page(this.metricsPort, "/metrics");
		}

		private static String page(int port, String path) {
			try (Socket socket = new Socket()) {
				socket.connect(new InetSocketAddress("127.0.0.1", port), 500);
				socket.setSoTimeout(1000);
				socket.getOutputStream()
					.write(("GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
						.getBytes(StandardCharsets.ISO_8859_1));
				return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
			}
			catch (IOException ex) {
				return "";
			}
		}

	}

	/** The configuration: one stream route, one non-idempotent and one idempotent route. */
	void configure() {
		this.store.put("op/config", "{\"version\":7,\"routes\":["
				+ "{\"name\":\"brief\",\"host\":\"" + HOST + "\",\"prefix\":\"/brief/\",\"kind\":\"streaming\","
				+ "\"timeout-ms\":10000,\"target-latency-ms\":300,\"priority\":1,\"service\":\"llm\",\"max-attempts\":2,"
				+ "\"public\":false,\"session-affinity\":true,\"resume-streams\":true,\"target-gap-ms\":200},"
				+ "{\"name\":\"post\",\"host\":\"" + HOST + "\",\"prefix\":\"/post/\",\"kind\":\"non_idempotent\","
				+ "\"timeout-ms\":10000,\"target-latency-ms\":386,\"priority\":2,\"service\":\"link\",\"max-attempts\":2,"
				+ "\"public\":false},"
				+ "{\"name\":\"ack\",\"host\":\"" + HOST + "\",\"prefix\":\"/ack/\",\"kind\":\"idempotent\","
				+ "\"timeout-ms\":10000,\"target-latency-ms\":386,\"priority\":2,\"service\":\"link\",\"max-attempts\":2,"
				+ "\"public\":false}],"
				+ "\"services\":[{\"name\":\"llm\",\"health-check\":\"/health\",\"max-connections\":274,"
				+ "\"protocol\":\"h1\",\"tls\":false},{\"name\":\"link\",\"health-check\":\"/health\","
				+ "\"max-connections\":274,\"protocol\":\"h1\",\"tls\":false}],"
				+ "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,"
				+ "\"idle-timeout-ms\":15000},"
				+ "\"tenants\":[{\"name\":\"hule930\",\"api-keys\":[\"" + KEY + "\"],\"priority\":1}]}");
	}

	Gateway startGateway(String name) throws IOException, InterruptedException {
		int[] ports = freePorts();
		Path settings = this.folder.resolve(name + ".json");
		String address = "127.0.0.1:";
		Files.writeString(settings, "{\n\t\"instance\": \"" + name + "\",\n\t\"availabilityZone\": \"" + ZONE
				+ "\",\n\t\"ipAddress\": \"127.0.0.1\",\n\t\"callersAddress\": \"" + address + ports[0]
				+ "\",\n\t\"readyAddress\": \"" + address + ports[1] + "\",\n\t\"peerPort\": " + ports[2]
				+ ",\n\t\"metricsPort\": " + ports[4] + ",\n\t\"seedAddresses\": [],\n\t\"storeAddress\": \""
				+ this.store.address() + "\",\n\t\"retryRatio\": 0.2,\n\t\"retryWindowSeconds\": 10,\n\t\"retryExtra\": 106,\n"
				+ "\t\"memoryFreeMillis\": 4000,\n\t\"regionsByZone\": {\"" + ZONE + "\": \"sask-south\"},\n"
				+ "\t\"learnedCosts\": true,\n\t\"scarceRoomDivided\": false,\n\t\"drainGraceMillis\": 2600,\n"
				+ "\t\"stopSeconds\": 8\n}\n");
		ProcessBuilder builder = new ProcessBuilder(command());
		Map<String, String> environment = builder.environment();
		environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
		environment.put("MULBERRYLIFT_BOOT", settings.toString());
		File log = this.folder.resolve(name + ".log").toFile();
		Process process = builder.redirectErrorStream(true).redirectOutput(log).start();
		Gateway gateway = new Gateway(name, process, ports[0], ports[1], ports[4]);
		this.gateways.add(gateway);
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
		while (!gateway.ready()) {
			if (!process.isAlive() || System.nanoTime() > end) {
				throw new IOException(name + " is not ready: " + Files.readString(log.toPath()));
			}
			Thread.sleep(100);
		}
		this.record.line("gateway " + name + " is ready, process " + process.pid());
		return gateway;
	}

	/** The lines of a gateway's log that contain a text. */
	List<String> log(Gateway gateway, String text) throws IOException {
		try (var lines = Files.lines(this.folder.resolve(gateway.name() + ".log"))) {
			return lines.filter((line) -> line.contains(text)).toList();
		}
	}

	/** The command of the deploy file, split at spaces as the deploy page says. */
	private static List<String> command() throws IOException {
		for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
			if (line.startsWith("run = \"")) {
				return List.of(line.substring("run = \"".length(), line.lastIndexOf('"')).split(" "));
			}
		}
		throw new IOException("deploy/system.toml has no run line");
	}

	/** Ports for callers, readiness, peers (two in a row) and metrics. */
	private static int[] freePorts() throws IOException {
		while (true) {
			List<ServerSocket> open = new ArrayList<>();
			try {
				for (int index = 0; index < 4; index++) {
					open.add(new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1")));
				}
				int peer = open.get(2).getLocalPort();
				try (ServerSocket next = new ServerSocket(peer + 1, 1, InetAddress.getByName("127.0.0.1"));
						DatagramSocket datagrams = new DatagramSocket(peer, InetAddress.getByName("127.0.0.1"))) {
					return new int[] { open.get(0).getLocalPort(), open.get(1).getLocalPort(), peer, next.getLocalPort(),
							open.get(3).getLocalPort() };
				}
			}
			catch (IOException ex) {
				// Tries other ports.
			}
			finally {
				for (ServerSocket each : open) {
					each.close();
				}
			}
		}
	}

	@Override
	public void close() throws IOException {
		for (Gateway gateway : this.gateways) {
			gateway.process().destroyForcibly();
		}
		for (Gateway gateway : this.gateways) {
			try {
				gateway.process().waitFor(5, TimeUnit.SECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
		this.store.stop();
		try (var files = Files.list(this.folder)) {
			for (Path file : files.toList()) {
				Files.delete(file);
			}
		}
		Files.delete(this.folder);
	}

}
