package io.mulberrylift.daemon.cli;

/**
 * Exit codes of the command line.
 */
final class ExitCode {

	/** The command succeeded. */
	static final int OK = 0;

	/** The command failed, for example because a file could not be read. */
	static final int FAULT = 1;

	/** The command line is invalid. */
	static final int USAGE = 2;

	/** A file is not valid. */
	static final int INVALID_FILE = 3;

	private ExitCode() {
	}

}
