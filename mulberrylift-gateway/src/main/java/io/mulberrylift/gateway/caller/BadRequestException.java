package io.mulberrylift.gateway.caller;

/**
 * Thrown for a malformed request. The message states the problem and how to correct it.
 */
public final class BadRequestException extends Exception {

	private static final long serialVersionUID = 1L;

	private final int status;

	/**
	 * Creates the exception.
	 * @param status the HTTP status of the answer, from 400 to 499
	 * @param message the problem and its remedy, sent to the caller
	 */
	public BadRequestException(int status, String message) {
		super(message);
		this.status = status;
	}

	/**
	 * Returns the HTTP status to answer with.
	 * @return a status from 400 to 499
	 */
	public int status() {
		return this.status;
	}

}
