package io.mulberrylift.testkit.fleet;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One process of the fleet, whose output is monitored.
 *
 * <p>
 * Safe for use by several threads. The last {@value #KEPT_LINES} lines of output are
 * kept. Signals are sent to the id of this process only.
 * </p>
 */
public final class ManagedProcess implements AutoCloseable {

	private static final int KEPT_LINES = 200;

	private static final long READY_TIMEOUT_SECONDS = 60;

	private static final long EXIT_TIMEOUT_SECONDS = 10;

	private final String name;

	private final Process process;

	private final Pattern readyLine;

	private final CountDownLatch readyOrEnded = new CountDownLatch(1);

	private final CountDownLatch outputEnded = new CountDownLatch(1);

	private final Deque<String> lines = new ArrayDeque<>();

	private volatile Matcher ready;

	private ManagedProcess(String name, Process process, Pattern readyLine) {
		this.name = name;
		this.process = process;
		this.readyLine = readyLine;
	}

	/**
	 * Starts a Java process with the class path of this process and waits until it is
	 * ready.
	 * @param name name of the process in messages
	 * @param mainClass name of the main class
	 * @param arguments its arguments
	 * @param readyLine matches the line of output that signals readiness
	 * @param output receives each line of output
	 * @return the process
	 * @throws IOException if the process cannot be started, or ends or times out before
	 * it is ready
	 */
	public static ManagedProcess start(String name, String mainClass, List<String> arguments, Pattern readyLine,
			Consumer<String> output) throws IOException {
		return start(name, mainClass, arguments, Map.of(), readyLine, output);
	}

	/**
	 * Starts a Java process with the class path of this process and waits until it is
	 * ready.
	 * @param name name of the process in messages
	 * @param mainClass name of the main class
	 * @param arguments its arguments
	 * @param environment variables to add to those of this process
	 * @param readyLine matches the line of output that signals readiness
	 * @param output receives each line of output
	 * @return the process
	 * @throws IOException if the process cannot be started, or ends or times out before
	 * it is ready
	 */
	public static ManagedProcess start(String name, String mainClass, List<String> arguments,
			Map<String, String> environment, Pattern readyLine, Consumer<String> output) throws IOException {
		ProcessBuilder builder = new ProcessBuilder(JavaCommand.of(mainClass, arguments));
		builder.environment().putAll(environment);
		builder.redirectErrorStream(true);
		ManagedProcess managed = new ManagedProcess(name, builder.start(), readyLine);
		Thread reader = new Thread(() -> managed.read(output), "output-" + name);
		reader.setDaemon(true);
		reader.start();
		managed.awaitReady();
		return managed;
	}

	private void read(Consumer<String> output) {
		try (BufferedReader reader = new BufferedReader(
				new InputStreamReader(this.process.getInputStream(), StandardCharsets.UTF_8))) {
			for (String line = reader.readLine(); line != null; line = reader.readLine()) {
				recordLine(line);
				output.accept(this.name + " | " + line);
			}
		}
		catch (IOException ex) {
			recordLine("reading the output failed: " + ex.getMessage());
		}
		this.readyOrEnded.countDown();
		this.outputEnded.countDown();
	}

	private void recordLine(String line) {
		synchronized (this.lines) {
			this.lines.addLast(line);
			if (this.lines.size() > KEPT_LINES) {
				this.lines.removeFirst();
			}
		}
		Matcher matcher = this.readyLine.matcher(line);
		if (this.ready == null && matcher.find()) {
			this.ready = matcher;
			this.readyOrEnded.countDown();
		}
	}

	private void awaitReady() throws IOException {
		try {
			if (!this.readyOrEnded.await(READY_TIMEOUT_SECONDS, TimeUnit.SECONDS) || this.ready == null) {
				close();
				throw new IOException(this.name + " did not become ready; its output: " + output());
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException("Interrupted while waiting for " + this.name + " to become ready", ex);
		}
	}

	/**
	 * Returns the name of the process in messages.
	 * @return the name
	 */
	public String name() {
		return this.name;
	}

	/**
	 * Returns a captured group of the line that signalled readiness.
	 * @param group number of the group in the pattern
	 * @return the text
	 */
	public String readyGroup(int group) {
		return this.ready.group(group);
	}

	/**
	 * Returns the last lines of output.
	 * @return the lines, separated by line feeds
	 */
	public String output() {
		synchronized (this.lines) {
			return String.join("\n", this.lines);
		}
	}

	/**
	 * Kills the process and waits for its end.
	 */
	public void kill() {
		this.process.destroyForcibly();
		await();
	}

	/**
	 * Requests a graceful shutdown of the process. Its output remains open.
	 */
	public void terminate() {
		this.process.toHandle().destroy();
	}

	/**
	 * Waits until the process has exited and its output has been read.
	 * @param timeoutMillis longest wait in milliseconds
	 * @return the exit code, empty if the process is still running
	 * @throws InterruptedException if the thread is interrupted
	 */
	public Optional<Integer> awaitExit(long timeoutMillis) throws InterruptedException {
		boolean ended = this.process.waitFor(timeoutMillis, TimeUnit.MILLISECONDS);
		if (!ended) {
			return Optional.empty();
		}
		this.outputEnded.await(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
		return Optional.of(this.process.exitValue());
	}

	/**
	 * Suspends the process until {@link #resume()}.
	 * @throws IOException if the signal cannot be sent
	 */
	public void suspend() throws IOException {
		signal("STOP");
	}

	/**
	 * Resumes a suspended process.
	 * @throws IOException if the signal cannot be sent
	 */
	public void resume() throws IOException {
		signal("CONT");
	}

	/**
	 * Sends the signal that asks a process to read its settings again.
	 * @throws IOException if the signal cannot be sent
	 */
	public void reload() throws IOException {
		signal("HUP");
	}

	private void signal(String signal) throws IOException {
		Process kill = new ProcessBuilder("kill", "-" + signal, Long.toString(this.process.pid())).start();
		try {
			if (kill.waitFor() != 0) {
				throw new IOException("Cannot send signal " + signal + " to " + this.name);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException("Interrupted while " + this.name + " was signalled", ex);
		}
	}

	/**
	 * Returns whether the process is running.
	 * @return true until the process has exited
	 */
	public boolean isAlive() {
		return this.process.isAlive();
	}

	private void await() {
		try {
			this.process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@Override
	public void close() {
		kill();
	}

}
