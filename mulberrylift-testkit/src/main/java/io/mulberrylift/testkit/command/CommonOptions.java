package io.mulberrylift.testkit.command;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;

import io.mulberrylift.testkit.history.HistoryWriter;
import picocli.CommandLine.Option;

/**
 * Command line options common to all stand-ins. Not thread-safe.
 */
final class CommonOptions {

	@Option(names = "--id", required = true, description = "Id of the process in the instance list and in histories.")
	String id;

	@Option(names = "--port", defaultValue = "0",
			description = "Port on the loopback address, 0 to choose a free port.")
	int port;

	@Option(names = "--history", description = "File to which history events are appended as JSON lines.")
	Path history;

	HistoryWriter openHistory() {
		return (this.history != null) ? HistoryWriter.appendTo(this.history) : HistoryWriter.none();
	}

	/**
	 * Prints the address of a running stand-in and waits until the process is terminated.
	 * @param out the writer for the output
	 * @param address the address as {@code host:port}
	 * @throws InterruptedException if the thread is interrupted
	 */
	void announceAndWait(PrintWriter out, String address) throws InterruptedException {
		out.println("listening " + this.id + " " + address);
		out.flush();
		new CountDownLatch(1).await();
	}

}
