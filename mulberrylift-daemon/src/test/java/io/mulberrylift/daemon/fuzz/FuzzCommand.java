package io.mulberrylift.daemon.fuzz;

import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Runs every fuzz target with mutated inputs for a given time.
 *
 * <p>
 * Not safe for use by several threads.
 * </p>
 */
@Command(name = "fuzz", mixinStandardHelpOptions = true, description = "Fuzzes all code that handles external input.")
public final class FuzzCommand implements Callable<Integer> {

	private static final long HANG_TIMEOUT_MILLIS = 20_000;

	private static final int HANG_EXIT_CODE = 4;

	private static final int INPUTS_PER_BATCH = 100;

	@Option(names = "--seconds", defaultValue = "60", paramLabel = "SECONDS",
			description = "Total time for all targets (default: ${DEFAULT-VALUE}).")
	private long seconds;

	@Option(names = "--seed", defaultValue = "1", paramLabel = "SEED",
			description = "Seed of the generated inputs (default: ${DEFAULT-VALUE}).")
	private long seed;

	/**
	 * Runs the command and exits.
	 * @param arguments the arguments
	 */
	public static void main(String[] arguments) {
		((Logger) LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME)).setLevel(Level.OFF);
		System.exit(new CommandLine(new FuzzCommand()).execute(arguments));
	}

	@Override
	public Integer call() throws InterruptedException {
		Map<String, FuzzTarget> targets = FuzzTargets.all();
		long shareNanos = TimeUnit.SECONDS.toNanos(this.seconds) / targets.size();
		int failed = 0;
		for (Map.Entry<String, FuzzTarget> target : targets.entrySet()) {
			FuzzRun run = new FuzzRun(target.getKey(), target.getValue(), this.seed);
			failed += succeeds(run, shareNanos) ? 0 : 1;
		}
		return (failed == 0) ? CommandLine.ExitCode.OK : CommandLine.ExitCode.SOFTWARE;
	}

	private static boolean succeeds(FuzzRun run, long shareNanos) throws InterruptedException {
		Thread watchdog = new Thread(() -> haltOnHang(run), "fuzz-watchdog");
		watchdog.setDaemon(true);
		watchdog.start();
		long endNanos = System.nanoTime() + shareNanos;
		try {
			while (System.nanoTime() < endNanos) {
				for (int i = 0; i < INPUTS_PER_BATCH; i++) {
					run.tryNext();
				}
			}
			System.out.println(run.name() + ": " + run.inputs() + " inputs, no failure");
			return true;
		}
		catch (AssertionError ex) {
			ex.printStackTrace(System.out);
			return false;
		}
		finally {
			watchdog.interrupt();
			watchdog.join();
		}
	}

	private static void haltOnHang(FuzzRun run) {
		try {
			for (long before = -1; before != run.inputs();) {
				before = run.inputs();
				Thread.sleep(HANG_TIMEOUT_MILLIS);
			}
			System.out.println(run.name() + ": input " + run.inputs() + " hangs");
			Runtime.getRuntime().halt(HANG_EXIT_CODE);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
