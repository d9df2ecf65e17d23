package io.mulberrylift.daemon.cli;

/**
 * Exit codes of the command line.
 */
final class ExitCode {

	/** The command did what it was asked. */
	static final int OK = 0;

	/** A fault, such as a file that cannot be read. */
	static final int FAULT = 1;

	/** A usage error. */
	static final int USAGE = 2;

	/** A file that was checked is not valid. */
	static final int INVALID_FILE = 3;

	private ExitCode() {
	}

}
