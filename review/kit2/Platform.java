import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: items, ranges and watches, as PROTOCOL.md tells them. */
final class Platform {

	private record Item(String key, String value, long revision, boolean deleted) {
	}

	private final TreeMap<String, Item> items = new TreeMap<>();

	private final List<Item> history = new ArrayList<>();

	private long revision = 100;

	void listen(String ip, int port) throws IOException {
		Wire.listen(ip, port, this::handle);
	}

	synchronized void put(String key, String value) {
		this.revision++;
		Item item = new Item(key, Base64.getEncoder().encodeToString(Wire.bytes(value)), this.revision, false);
		this.items.put(key, item);
		this.history.add(item);
		notifyAll();
	}

	synchronized void delete(String key) {
		this.revision++;
		this.items.remove(key);
		this.history.add(new Item(key, "", this.revision, true));
		notifyAll();
	}

	private void handle(Socket socket) throws Exception {
		InputStream in = new BufferedInputStream(socket.getInputStream());
		OutputStream out = socket.getOutputStream();
		for (Wire.Message request = Wire.readHead(in); request != null; request = Wire.readHead(in)) {
			Wire.readBody(in, request, false);
			String body = answer(request.target());
			out.write(Wire.bytes("HTTP/1.1 " + ((body != null) ? "200 OK" : "404 Not Found")
					+ "\r\nContent-Type: application/json\r\nContent-Length: " + ((body != null) ? body.length() : 0)
					+ "\r\n\r\n" + ((body != null) ? body : "")));
			out.flush();
		}
	}

	private String answer(String target) throws InterruptedException {
		Map<String, String> query = new HashMap<>();
		int mark = target.indexOf('?');
		for (String each : target.substring(mark + 1).split("&")) {
			String[] pair = each.split("=", 2);
			query.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
		}
		return switch (target.substring(0, mark)) {
			case "/kv-range" -> range(query.get("prefix"), query.getOrDefault("after", ""));
			case "/kv-watch" -> watch(query.get("prefix"), Long.parseLong(query.get("after")),
					Long.parseLong(query.get("wait-ms")));
			case "/kv-key" -> key(query.get("key"));
			default -> null;
		};
	}

	private synchronized String key(String key) {
		Item item = this.items.get(key);
		return (item == null) ? null
				: json(item).substring(0, json(item).length() - 1) + ",\"as-of\":" + this.revision + "}";
	}

	private synchronized String range(String prefix, String after) {
		List<String> found = new ArrayList<>();
		this.items.values()
			.stream()
			.filter((item) -> item.key().startsWith(prefix) && item.key().compareTo(after) > 0)
			.forEach((item) -> found.add(json(item)));
		return "{\"items\":[" + String.join(",", found) + "],\"has-more\":false,\"as-of\":" + this.revision + "}";
	}

	private synchronized String watch(String prefix, long after, long waitMillis) throws InterruptedException {
		long end = System.nanoTime() + waitMillis * 1_000_000;
		while (true) {
			List<String> found = new ArrayList<>();
			this.history.stream()
				.filter((item) -> item.revision() > after && item.key().startsWith(prefix))
				.forEach((item) -> found.add(json(item)));
			long left = (end - System.nanoTime()) / 1_000_000;
			if (!found.isEmpty() || left <= 0) {
				return "{\"events\":[" + String.join(",", found) + "],\"as-of\":" + this.revision + "}";
			}
			wait(left);
		}
	}

	private static String json(Item item) {
		return item.deleted()
				? "{\"key\":\"" + item.key() + "\",\"revision\":" + item.revision() + ",\"tombstone\":true}"
				: "{\"key\":\"" + item.key() + "\",\"value\":\"" + item.value() + "\",\"revision\":" + item.revision()
						+ ",\"created\":" + item.revision() + ",\"lease\":0}";
	}

}
