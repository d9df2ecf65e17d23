import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The runner of a stream crashes midway. The runner that is asked to resume it fails the
 * request with a status of its own. The stream must not look complete.
 */
final class ResumeRefused extends Case {

	private static final int REQUESTS = 10;

	private static final int EVENTS = 20;

	private static final int EVENTS_BEFORE_CRASH = 8;

	/** Status with which the second runner fails the request. */
	private static final int STATUS = 404;

	private final AtomicInteger resumed = new AtomicInteger();

	private final Set<String> crashed = ConcurrentHashMap.newKeySet();

	public static void main(String[] arguments) {
		run(new ResumeRefused(), arguments);
	}

	@Override
	boolean broken(Deployment deployment, boolean trouble) throws Exception {
		for (int index = 0; index < 3; index++) {
			new Runner(deployment.store, "i-llm" + index, "llm", "regina-hall", 11,
					(runner, request, none, channel) -> work(deployment, trouble, runner, request, channel));
		}
		Deployment.Gateway gateway = deployment.startGateway("front-1");
		Thread.sleep(2000);
		int shortened = 0;
		int whole = 0;
		for (int index = 0; index < REQUESTS; index++) {
			String id = "brief-" + index;
			try (Socket socket = gateway.connect(0)) {
				socket.setSoTimeout(12_000);
				socket.getOutputStream()
					.write(head("POST", "/brief/" + index, id, 10_000, 1200).getBytes(StandardCharsets.ISO_8859_1));
				byte[] body = new byte[1200];
				Arrays.fill(body, (byte) ('a' + index));
				socket.getOutputStream().write(body);
				Http.Answer answer = Http.readAnswer(socket.getInputStream(), null);
				int events = new String(answer.body(), StandardCharsets.ISO_8859_1).split("\n\n").length;
				boolean success = answer.whole() && answer.head().status() == 200;
				shortened += (success && events < EVENTS) ? 1 : 0;
				whole += (success && events == EVENTS) ? 1 : 0;
				deployment.record.say(id + " answered " + ((answer.head() != null) ? answer.head().line() : "nothing") + ", "
						+ events + " of " + EVENTS + " events, complete for the client: " + answer.whole() + " ("
						+ answer.end() + ")");
			}
		}
		deployment.record.say(shortened + " of " + REQUESTS + " streams ended as complete before their last event, " + whole
				+ " after it; resumed at another runner: " + this.resumed.get());
		check(trouble || whole == REQUESTS, "not all are served without the disruption");
		return shortened > 0;
	}

	private boolean work(Deployment deployment, boolean trouble, Runner runner, Http.Head request,
			Runner.Channel channel) throws IOException {
		String id = request.header("x-mulberrylift-attempt-id");
		Runner.readBody(request, channel);
		String after = request.header("last-event-id");
		if (!after.isEmpty()) {
			this.resumed.incrementAndGet();
			deployment.record.line(runner.id() + " is asked to resume " + id + " after " + after + ", fails it with " + STATUS);
			Runner.write(channel, STATUS, runner.headers(request), "cannot resume\n".getBytes(StandardCharsets.ISO_8859_1));
			return true;
		}
		deployment.record.line(runner.id() + " runs " + id);
		channel.out()
			.write(("HTTP/1.1 200 OK\r\n" + runner.headers(request)
					+ "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
		for (int event = 1; event <= EVENTS; event++) {
			if (trouble && event > EVENTS_BEFORE_CRASH && this.crashed.add(id)) {
				deployment.record.line(runner.id() + " resets the channel of " + id + " after " + EVENTS_BEFORE_CRASH + " events");
				channel.reset();
				return false;
			}
			String text = "id: " + event + "\ndata: token-" + event + "\n\n";
			channel.out()
				.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
			channel.out().flush();
			try {
				Thread.sleep(20);
			}
			catch (InterruptedException ex) {
				throw new IllegalStateException(ex);
			}
		}
		channel.out().write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
		channel.out().flush();
		return true;
	}

}
