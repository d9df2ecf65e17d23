import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * For four seconds, nine of 15 runners lose the answers of 40 in 100 of their streams by a reset
 * midway, and two fail 45 in 100 of their requests with a status of their own, also those that
 * they are asked to resume. A stream must not look complete before its last event.
 */
final class ResumeRefused extends Case {

	private static final long DURATION_MILLIS = 4_000;

	private static final int EVENTS = 6;

	private static final int EVENTS_BEFORE_CRASH = 3;

	/** Status with which the second runner fails the request. */
	private static final int STATUS = 404;

	private final AtomicInteger resumed = new AtomicInteger();

	private final Set<String> crashed = ConcurrentHashMap.newKeySet();

	public static void main(String[] arguments) {
		run(new ResumeRefused(), arguments);
	}

	@Override
	boolean broken(Deployment deployment, boolean trouble) throws Exception {
		for (int index = 0; index < 15; index++) {
			new Runner(deployment.store, "i-llm" + index, "llm", "regina-hall", 11,
					(runner, request, none, channel) -> work(deployment, trouble, runner, request, channel));
		}
		Deployment.Gateway gateway = deployment.startGateway("front-1");
		Thread.sleep(2000);
		long end = System.nanoTime() + DURATION_MILLIS * 1_000_000;
		AtomicInteger next = new AtomicInteger(), cutShort = new AtomicInteger(), good = new AtomicInteger();
		java.util.List<Thread> all = new java.util.ArrayList<>();
		for (int c = 0; c < 40; c++) {
			Thread t = new Thread(() -> {
				for (int index = next.getAndIncrement(); System.nanoTime() < end; index = next.getAndIncrement()) {
					String id = "brief-" + index;
					try (Socket socket = gateway.connect(0)) {
						socket.setSoTimeout(12_000);
						byte[] body = ("prompt " + index + " ".repeat(1200)).substring(0, 1200).getBytes(StandardCharsets.ISO_8859_1);
						socket.getOutputStream().write(head("POST", "/brief/" + index, id, 10_000, 1200).getBytes(StandardCharsets.ISO_8859_1));
						socket.getOutputStream().write(body);
						Http.Answer answer = Http.readAnswer(socket.getInputStream(), null);
						int events = new String(answer.body(), StandardCharsets.ISO_8859_1).split("\n\n").length;
						boolean success = answer.whole() && answer.head().status() == 200;
						if (success && events < EVENTS) { cutShort.incrementAndGet(); deployment.record.line(id + " ended as complete with " + events + " of " + EVENTS + " events"); }
						if (success && events == EVENTS) { good.incrementAndGet(); }
					}
					catch (IOException ex) { deployment.record.line(id + " " + ex); }
				}
			});
			t.start(); all.add(t);
		}
		for (Thread t : all) { t.join(); }
		int shortened = cutShort.get();
		int whole = good.get();
		deployment.record.say(shortened + " of " + next.get() + " streams ended as complete before their last event, " + whole
				+ " after it; resumed at a failing runner: " + this.resumed.get());
		check(whole > 100, "hardly any stream was whole");
		return shortened > 0;
	}

	private boolean work(Deployment deployment, boolean trouble, Runner runner, Http.Head request,
			Runner.Channel channel) throws IOException {
		String id = request.header("x-mulberrylift-attempt-id");
		Runner.readBody(request, channel);
		String after = request.header("last-event-id");
		int number = Integer.parseInt(runner.id().substring("i-llm".length()));
		boolean failing = trouble && number < 2 && ThreadLocalRandom.current().nextDouble() < 0.45;
		boolean loses = trouble && number >= 2 && number < 11 && ThreadLocalRandom.current().nextDouble() < 0.4;
		int from = after.isEmpty() ? 1 : Integer.parseInt(after) + 1;
		if (failing) {
			this.resumed.addAndGet((after.isEmpty()) ? 0 : 1);
			deployment.record.line(runner.id() + " is sent " + id + " after event \"" + after + "\", fails it with " + STATUS);
			Runner.write(channel, STATUS, runner.headers(request), "cannot resume\n".getBytes(StandardCharsets.ISO_8859_1));
			return true;
		}
		channel.out()
			.write(("HTTP/1.1 200 OK\r\n" + runner.headers(request)
					+ "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
		for (int event = from; event <= EVENTS; event++) {
			if (loses && event > EVENTS_BEFORE_CRASH && this.crashed.add(id)) {
				deployment.record.line(runner.id() + " resets the channel of " + id + " after " + EVENTS_BEFORE_CRASH + " events");
				channel.reset();
				return false;
			}
			String text = "id: " + event + "\ndata: token-" + event + "\n\n";
			channel.out()
				.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
			channel.out().flush();
			try {
				Thread.sleep(10);
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
