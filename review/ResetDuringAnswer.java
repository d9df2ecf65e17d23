import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A runner answers before it has read a long body, with an answer that has no length, and
 * crashes in the middle of it, which resets its channel. Without the disruption, it reads on,
 * answers whole and closes.
 */
final class ResetDuringAnswer extends Case {

	private static final int REQUESTS = 20;

	/** The one runner that crashes. */
	private static final String CRASHING = "i-link0";

	private static final int BODY_BYTES = 3 * 1024 * 1024;

	private static final int ANSWER_BYTES = 4800;

	private final AtomicInteger ran = new AtomicInteger();

	public static void main(String[] arguments) {
		run(new ResetDuringAnswer(), arguments);
	}

	@Override
	boolean broken(Deployment deployment, boolean trouble) throws Exception {
		for (int index = 0; index < 3; index++) {
			new Runner(deployment.store, "i-link" + index, "link", "regina-hall", 6,
					(runner, request, none, channel) -> work(deployment, trouble, runner, request, channel));
		}
		Deployment.Gateway gateway = deployment.startGateway("front-1");
		Thread.sleep(2000);
		int shortened = 0;
		int whole = 0;
		for (int index = 0; index < REQUESTS; index++) {
			String id = "post-" + index;
			try (Socket socket = gateway.connect(0)) {
				socket.setSoTimeout(12_000);
				socket.getOutputStream()
					.write(head("POST", "/post/2f", id, 10_000, BODY_BYTES).getBytes(StandardCharsets.ISO_8859_1));
				socket.getOutputStream().write(new byte[BODY_BYTES]);
				Http.Answer answer = Http.readAnswer(socket.getInputStream(), null);
				boolean success = answer.whole() && answer.head().status() == 200;
				shortened += (success && answer.body().length < ANSWER_BYTES) ? 1 : 0;
				whole += (success && answer.body().length == ANSWER_BYTES) ? 1 : 0;
				deployment.record.say(id + " answered " + ((answer.head() != null) ? answer.head().line() : "nothing") + ", "
						+ answer.body().length + " of the runner's " + ANSWER_BYTES + " bytes, complete for the client: "
						+ answer.whole() + ", signature "
						+ ((answer.head() != null) ? answer.head().header("x-mulberrylift-runner-signature") : ""));
			}
		}
		check(this.ran.get() > 0, "nothing ran");
		deployment.record.say(shortened + " of " + REQUESTS + " got a success with part of the runner's body, " + whole
				+ " a whole one");
		check(trouble || whole == REQUESTS, "not all are served without the disruption");
		return shortened > 0;
	}

	private boolean work(Deployment deployment, boolean trouble, Runner runner, Http.Head request,
			Runner.Channel channel) throws IOException {
		String id = request.header("x-mulberrylift-attempt-id");
		this.ran.incrementAndGet();
		// Begins to answer after the first part of the body.
		int length = Integer.parseInt(request.header("content-length"));
		channel.in().readNBytes(64 * 1024);
		sleep(60);
		channel.out()
			.write(("HTTP/1.1 200 OK\r\n" + runner.headers(request) + "Connection: close\r\n\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
		channel.out().write(new byte[ANSWER_BYTES / 2]);
		channel.out().flush();
		sleep(60);
		if (trouble && runner.id().equals(CRASHING)) {
			deployment.record.line(runner.id() + " runs " + id + ", sends half of its answer and resets the channel");
			channel.reset();
			return false;
		}
		channel.in().readNBytes(length - 64 * 1024);
		channel.out().write(new byte[ANSWER_BYTES - ANSWER_BYTES / 2]);
		channel.out().flush();
		deployment.record.line(runner.id() + " runs " + id + ", sends its whole answer and closes the channel");
		return false;
	}

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
