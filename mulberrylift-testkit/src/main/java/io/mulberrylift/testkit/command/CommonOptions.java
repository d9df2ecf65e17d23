package io.mulberrylift.testkit.command;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

import io.mulberrylift.testkit.history.HistoryWriter;
import picocli.CommandLine.Option;

/**
 * Options that all stand-ins share. Filled by the command line, used by one thread.
 */
final class CommonOptions {

	@Option(names = "--id", required = true, description = "Id by which the list and histories name the process.")
	String id;

	@Option(names = "--port", defaultValue = "0", description = "Port on the loopback address, 0 for a free one.")
	int port;

	@Option(names = "--history", description = "File to which events are appended as JSON lines.")
	Path history;

	HistoryWriter openHistory() {
		return (this.history != null) ? HistoryWriter.appendTo(this.history) : HistoryWriter.none();
	}

	/**
	 * Announces a running stand-in and waits until the process is ended.
	 * @param out where to announce
	 * @param address host and port
	 * @throws InterruptedException if the thread is interrupted
	 */
	void announceAndWait(PrintWriter out, String address) throws InterruptedException {
		out.println("listening " + this.id + " " + address);
		out.flush();
		new CountDownLatch(1).await();
	}

}
