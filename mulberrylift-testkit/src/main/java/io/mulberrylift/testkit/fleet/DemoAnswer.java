package io.mulberrylift.testkit.fleet;

/**
 * Answer received by a caller of the demonstration fleet.
 *
 * @param httpStatus the HTTP status
 * @param firstTokenMillis time to the first token in milliseconds, -1 if there was none
 * @param totalMillis time to the end of the answer in milliseconds
 * @param ended whether the explicit end of the answer was received
 * @param text text of the answer, or of the error
 */
record DemoAnswer(int httpStatus, long firstTokenMillis, long totalMillis, boolean ended, String text) {

	private static final int SHOWN_CHARS = 60;

	boolean isSuccessful() {
		return this.httpStatus == 200 && this.ended;
	}

	@Override
	public String toString() {
		int shownChars = isSuccessful() ? Math.min(SHOWN_CHARS, this.text.length()) : this.text.length();
		String shown = this.text.substring(0, shownChars).replace('\n', ' ');
		String firstToken = (this.firstTokenMillis >= 0) ? ", first token after " + this.firstTokenMillis + " ms" : "";
		return "status " + this.httpStatus + firstToken + ", end after " + this.totalMillis + " ms: " + shown;
	}

}
