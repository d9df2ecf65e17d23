package io.mulberrylift.daemon.caller;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;
import java.util.stream.Collectors;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.mulberrylift.core.model.Outcome;
import io.mulberrylift.core.model.Refusal;
import io.mulberrylift.core.model.RefusalReason;
import org.approvaltests.Approvals;
import org.approvaltests.reporters.QuietReporter;
import org.approvaltests.reporters.UseReporter;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of problem documents and of their documentation.
 */
@UseReporter(QuietReporter.class)
class ProblemDocumentTests {

	@Test
	void everyReasonHasItsDocument() {
		String documents = Arrays.stream(RefusalReason.values())
			.map((reason) -> write(Refusal.of(Outcome.NOT_RUN, reason, "detail")))
			.collect(Collectors.joining("\n"));
		Approvals.verify(documents);
	}

	@Test
	void everyOutcomeIsNamed() {
		String documents = Arrays.stream(Outcome.values())
			.map((outcome) -> write(Refusal.retryable(outcome, RefusalReason.INTERNAL, "", 2_500)))
			.collect(Collectors.joining("\n"));
		Approvals.verify(documents);
	}

	@Test
	void pageNamesEveryReason() throws IOException {
		List<String> rows = Files.readAllLines(Path.of("..", "docs", "API.md"));
		assertThat(rows).containsSubsequence(Arrays.stream(RefusalReason.values())
			.map((reason) -> "| `" + reason.label() + "` | " + reason.httpStatus() + " | " + reason.remedy() + " |")
			.toList());
	}

	@Test
	void retryAfterIsRoundedUpToWholeSeconds() {
		assertThat(retryAfter(0)).isEqualTo("0");
		assertThat(retryAfter(1)).isEqualTo("1");
		assertThat(retryAfter(1_000)).isEqualTo("1");
		assertThat(retryAfter(1_001)).isEqualTo("2");
	}

	private static String retryAfter(long millis) {
		Refusal refusal = new Refusal(Outcome.NOT_RUN, RefusalReason.OVERLOADED, "", OptionalLong.of(millis));
		return ProblemDocument.of(refusal).headers().get("Retry-After").get(0);
	}

	private static String write(Refusal refusal) {
		try {
			return CallerJson.mapper().writerWithDefaultPrettyPrinter().writeValueAsString(ProblemDocument.of(refusal));
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
