package io.mulberrylift.testkit.experiment;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Formats results as comma-separated values, one line per row.
 */
final class ResultCsv {

	private static final double[] PERCENTILES = { 50, 95, 99 };

	private ResultCsv() {
	}

	/**
	 * Formats the rows.
	 * @param rows the rows
	 * @return the text with a header line
	 */
	static String format(List<ComparisonRow> rows) {
		StringBuilder text = new StringBuilder("shape,load,policy,seed,requests");
		for (ResultColumn column : ResultColumn.values()) {
			text.append(',').append(column.label());
		}
		for (LengthClass lengthClass : LengthClass.values()) {
			for (double percentile : PERCENTILES) {
				text.append(",ttft_p").append((int) percentile).append("_ms ").append(lengthClass.label());
			}
		}
		text.append('\n');
		rows.forEach((row) -> text.append(line(row)).append('\n'));
		return text.toString();
	}

	private static String line(ComparisonRow row) {
		Stream<String> head = Stream.of(row.shape().label(), String.valueOf(row.load()), row.policy().label(),
				String.valueOf(row.seed()), String.valueOf(row.mixed().requests()));
		Stream<String> columns = Stream.of(ResultColumn.values()).map((column) -> column.format(column.value(row)));
		Stream<String> classes = Stream.of(LengthClass.values())
			.flatMap((lengthClass) -> classValues(row, lengthClass));
		return Stream.of(head, columns, classes).flatMap((cells) -> cells).collect(Collectors.joining(","));
	}

	private static Stream<String> classValues(ComparisonRow row, LengthClass lengthClass) {
		return java.util.Arrays.stream(PERCENTILES)
			.mapToObj((percentile) -> String.format(Locale.ROOT, "%.0f",
					row.mixed().firstTokenMillis(lengthClass, percentile)));
	}

}
