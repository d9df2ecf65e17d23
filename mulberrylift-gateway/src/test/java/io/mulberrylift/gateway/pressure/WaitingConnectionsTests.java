package io.mulberrylift.gateway.pressure;

import java.util.List;

import io.mulberrylift.gateway.pressure.WaitingConnections.Reason;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class WaitingConnectionsTests {

	private long nowMillis = 500;

	private final WaitingConnections waiting = new WaitingConnections(() -> this.nowMillis);

	/** Load: 200 connections wait at once; each is reported once, few at a time. */
	@Test
	void longWaitsAreReportedOnceAndFewAtATime() {
		for (long id = 0; id < 200; id++) {
			this.waiting.begin(Reason.STREAM_READING, id);
		}
		assertThat(this.waiting.pollReports()).isEmpty();
		this.nowMillis += WaitingConnections.REPORT_MILLIS;
		int reported = 0;
		for (List<WaitingConnections.Report> each = this.waiting.pollReports(); !each.isEmpty();) {
			assertThat(each).hasSizeLessThanOrEqualTo(WaitingConnections.MAX_REPORTS);
			reported += each.size();
			each = this.waiting.pollReports();
		}
		assertThat(reported).isEqualTo(200);
	}

	@Test
	void repeatedBeginKeepsTheAgeAndEndForgetsTheConnection() {
		this.waiting.begin(Reason.ANSWER_SENDING, 1);
		this.nowMillis += WaitingConnections.REPORT_MILLIS;
		this.waiting.begin(Reason.ANSWER_SENDING, 1);
		this.waiting.begin(Reason.REQUEST_SENDING, 1);
		assertThat(this.waiting.pollReports())
			.containsExactly(new WaitingConnections.Report(Reason.ANSWER_SENDING, 1, WaitingConnections.REPORT_MILLIS));
		this.waiting.end(Reason.ANSWER_SENDING, 1);
		assertThat(this.waiting.count()).isEqualTo(1);
	}

}
