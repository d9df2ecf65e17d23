import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Instances as the deploy file starts them, each at a loopback address of its own. */
final class Fleet implements AutoCloseable {

	static final int FRONT_PORT = 8227;

	static final int READY_PORT = 8220;

	static final int CONTROL_PORT = 8229;

	static final int PEER_PORT = 7340;

	static final int STORE_PORT = 8223;

	final String network;

	private final Path folder;

	private final String[] zones;

	private final Map<Integer, Process> processes = new LinkedHashMap<>();

	Fleet(String... zones) throws IOException {
		this.zones = zones;
		this.folder = Files.createTempDirectory("fleet");
		this.network = freeNetwork();
		Runtime.getRuntime().addShutdownHook(new Thread(this::close));
	}

	/** Finds a loopback network in which nothing listens at the ports used here. */
	private static String freeNetwork() throws IOException {
		Random random = new Random();
		for (int tried = 0; tried < 50; tried++) {
			String network = "127." + (20 + random.nextInt(200)) + "." + random.nextInt(250) + ".";
			try (ServerSocket probe = new ServerSocket()) {
				probe.bind(new InetSocketAddress(InetAddress.getByName(network + "11"), FRONT_PORT));
				return network;
			}
			catch (IOException ex) {
				// In use by somebody else.
			}
		}
		throw new IOException("no free loopback network found");
	}

	String storeIp() {
		return this.network + "200";
	}

	String ip(int number) {
		return this.network + (10 + number);
	}

	/** Starts instance {@code number} (from 1) and waits until it says that it is ready. */
	void start(int number) throws Exception {
		Path settings = this.folder.resolve("settings-" + number + ".json");
		Files.writeString(settings, render(Files.readString(Path.of("deploy/settings.json")), fields(number)));
		Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/system.toml")));
		if (!run.find()) {
			throw new IOException("deploy/system.toml has no start command");
		}
		ProcessBuilder builder = new ProcessBuilder(run.group(1).split(" "));
		builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
		builder.environment().put("MULBERRYLIFT_BOOT", settings.toString());
		File log = this.folder.resolve("log-" + number + ".txt").toFile();
		builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
		this.processes.put(number, builder.start());
	}

	void awaitReady(int number) throws Exception {
		long end = System.nanoTime() + 20_000_000_000L;
		while (System.nanoTime() < end) {
			try (Socket socket = new Socket(ip(number), READY_PORT)) {
				socket.setSoTimeout(1000);
				socket.getOutputStream().write(Wire.bytes("GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"));
				Wire.Message answer = Wire.readHead(socket.getInputStream());
				if (answer != null && answer.status() == 200) {
					return;
				}
			}
			catch (IOException ex) {
				// Not listening yet.
			}
			Thread.sleep(100);
		}
		throw new IOException("instance " + number + " is not ready after 20 s");
	}

	Process process(int number) {
		return this.processes.get(number);
	}

	/** Sends a signal to an instance that this object started. */
	void signal(int number, String name) throws Exception {
		new ProcessBuilder("kill", "-" + name, Long.toString(this.processes.get(number).pid())).start().waitFor();
	}

	String log(int number) throws IOException {
		return Files.readString(this.folder.resolve("log-" + number + ".txt"));
	}

	@Override
	public void close() {
		this.processes.values().forEach((process) -> {
			process.destroyForcibly();
			try {
				process.waitFor();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		});
		File[] files = this.folder.toFile().listFiles();
		if (files != null) {
			for (File each : files) {
				each.delete();
			}
		}
		this.folder.toFile().delete();
	}

	private Map<String, Object> fields(int number) {
		String ip = ip(number);
		Map<String, Object> fields = new LinkedHashMap<>();
		fields.put("node", "front-" + number);
		fields.put("zone", this.zones[number - 1]);
		fields.put("ip", ip);
		fields.put("listen.front", ip + ":" + FRONT_PORT);
		fields.put("listen.ready-addr", ip + ":" + READY_PORT);
		fields.put("port-range.0", PEER_PORT);
		List<String> seeds = new ArrayList<>();
		for (int seed = 1; seed <= Math.min(3, this.zones.length); seed++) {
			seeds.add(ip(seed) + ":" + CONTROL_PORT);
		}
		fields.put("seeds", seeds);
		fields.put("platform.address", storeIp() + ":" + STORE_PORT);
		// The bounds of the small deployments.
		fields.put("bounds.retry-budget", 0.2);
		fields.put("bounds.budget-window-s", 10);
		fields.put("bounds.budget-extra", 102);
		fields.put("bounds.free-ms", 4000);
		fields.put("bounds.grace-period-s", 8);
		Map<String, String> regions = new LinkedHashMap<>();
		for (String each : this.zones) {
			regions.put(each, "region-1");
		}
		fields.put("zones", regions);
		return fields;
	}

	/** Fills in the template: values, lists and sections of values that are there or not. */
	private static String render(String template, Map<String, Object> fields) {
		String text = template;
		Matcher section = Pattern.compile("(?s)\\{\\{#([a-z.-]+)\\}\\}(.*?)\\{\\{/\\1\\}\\}").matcher(text);
		StringBuilder rendered = new StringBuilder();
		while (section.find()) {
			Object value = fields.get(section.group(1));
			StringBuilder part = new StringBuilder();
			if (value instanceof List<?> list) {
				for (int index = 0; index < list.size(); index++) {
					part.append(section.group(2)
						.replace("{{.|json}}", json(list.get(index)))
						.replace("{{,}}", (index < list.size() - 1) ? "," : ""));
				}
			}
			else if (value != null) {
				part.append(section.group(2));
			}
			section.appendReplacement(rendered, Matcher.quoteReplacement(part.toString()));
		}
		section.appendTail(rendered);
		Matcher place = Pattern.compile("\\{\\{([a-z0-9.-]+)(\\|json)?\\}\\}").matcher(rendered.toString());
		StringBuilder done = new StringBuilder();
		while (place.find()) {
			Object value = fields.get(place.group(1));
			place.appendReplacement(done,
					Matcher.quoteReplacement((place.group(2) != null) ? json(value) : String.valueOf(value)));
		}
		place.appendTail(done);
		return done.toString();
	}

	private static String json(Object value) {
		if (value instanceof Map<?, ?> map) {
			List<String> entries = new ArrayList<>();
			map.forEach((key, each) -> entries.add(json(key) + ":" + json(each)));
			return "{" + String.join(",", entries) + "}";
		}
		return (value instanceof Number) ? value.toString() : "\"" + value + "\"";
	}

}
