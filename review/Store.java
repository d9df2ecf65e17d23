import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** Stand-in for the platform's store: items, pages and blocking watches. Loses nothing. */
final class Store {

	private final HttpServer server;

	private final TreeMap<String, String> items = new TreeMap<>();

	private final List<Event> history = new ArrayList<>();

	private long revision = 1;

	private record Event(long revision, String key, String json) {
	}

	Store() throws IOException {
		this.server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 128);
		this.server.setExecutor(Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task, "store");
			thread.setDaemon(true);
			return thread;
		}));
		this.server.createContext("/", this::handle);
		this.server.start();
	}

	String address() {
		return "127.0.0.1:" + this.server.getAddress().getPort();
	}

	synchronized void put(String key, String value) {
		this.revision++;
		String json = "{\"key\":\"" + key + "\",\"value\":\""
				+ Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)) + "\",\"revision\":"
				+ this.revision + ",\"created\":" + this.revision + ",\"lease\":0}";
		this.items.put(key, json);
		this.history.add(new Event(this.revision, key, json));
		notifyAll();
	}

	synchronized void delete(String key) {
		this.revision++;
		this.items.remove(key);
		this.history.add(new Event(this.revision, key,
				"{\"key\":\"" + key + "\",\"revision\":" + this.revision + ",\"tombstone\":true}"));
		notifyAll();
	}

	private void handle(HttpExchange exchange) throws IOException {
		Map<String, String> query = new HashMap<>();
		String raw = exchange.getRequestURI().getRawQuery();
		for (String pair : (raw != null) ? raw.split("&") : new String[0]) {
			int equals = pair.indexOf('=');
			query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
		}
		String path = exchange.getRequestURI().getPath();
		int status = 200;
		String body;
		if (path.equals("/kv-key")) {
			synchronized (this) {
				String item = this.items.get(query.get("key"));
				status = (item != null) ? 200 : 404;
				body = (item != null) ? item : "{}";
			}
		}
		else if (path.equals("/kv-range")) {
			synchronized (this) {
				String prefix = query.getOrDefault("prefix", "");
				List<String> found = new ArrayList<>();
				this.items.tailMap(query.getOrDefault("after", ""), false).forEach((key, item) -> {
					if (key.startsWith(prefix)) {
						found.add(item);
					}
				});
				body = "{\"items\":[" + String.join(",", found) + "],\"has-more\":false,\"as-of\":" + this.revision + "}";
			}
		}
		else {
			body = watch(query.getOrDefault("prefix", ""), Long.parseLong(query.get("after")),
					Long.parseLong(query.getOrDefault("wait-ms", "0")));
		}
		byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
		exchange.getResponseHeaders().set("Content-Type", "application/json");
		exchange.sendResponseHeaders(status, bytes.length);
		exchange.getResponseBody().write(bytes);
		exchange.close();
	}

	private synchronized String watch(String prefix, long after, long waitMillis) {
		long end = System.nanoTime() + waitMillis * 1_000_000;
		while (true) {
			List<String> found = new ArrayList<>();
			for (Event event : this.history) {
				if (event.revision() > after && event.key().startsWith(prefix)) {
					found.add(event.json());
				}
			}
			long leftMillis = (end - System.nanoTime()) / 1_000_000;
			if (!found.isEmpty() || leftMillis <= 0) {
				return "{\"events\":[" + String.join(",", found) + "],\"as-of\":" + this.revision + "}";
			}
			try {
				wait(leftMillis);
			}
			catch (InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		}
	}

	void stop() {
		this.server.stop(0);
	}

}
