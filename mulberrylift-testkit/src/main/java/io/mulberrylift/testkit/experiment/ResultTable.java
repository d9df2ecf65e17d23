package io.mulberrylift.testkit.experiment;

import java.util.DoubleSummaryStatistics;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;

/**
 * Formats results as a Markdown table per fleet and load, one line per policy: the mean
 * over the seeds, with minimum and maximum in parentheses.
 */
final class ResultTable {

	private ResultTable() {
	}

	/**
	 * Formats the rows.
	 * @param rows the rows
	 * @return the text of all tables
	 */
	static String format(List<ComparisonRow> rows) {
		StringBuilder text = new StringBuilder();
		groups(rows).forEach((title, group) -> {
			text.append("\n## ").append(title).append("\n\n| policy |");
			for (ResultColumn column : ResultColumn.values()) {
				text.append(' ').append(column.label()).append(" |");
			}
			for (LengthClass lengthClass : LengthClass.values()) {
				text.append(" ttft p50/p95/p99 ms ").append(lengthClass.label()).append(" |");
			}
			text.append("\n|").append("---|".repeat(1 + ResultColumn.values().length + LengthClass.values().length));
			text.append('\n');
			byPolicy(group).forEach((policy, policyRows) -> text.append(line(policy, policyRows)).append('\n'));
		});
		return text.toString();
	}

	static Map<String, List<ComparisonRow>> groups(List<ComparisonRow> rows) {
		return rows.stream()
			.collect(Collectors.groupingBy((row) -> row.shape().label() + " at load " + row.load(), LinkedHashMap::new,
					Collectors.toList()));
	}

	static Map<String, List<ComparisonRow>> byPolicy(List<ComparisonRow> rows) {
		return rows.stream()
			.collect(Collectors.groupingBy((row) -> row.policy().label(), LinkedHashMap::new, Collectors.toList()));
	}

	private static String line(String policy, List<ComparisonRow> rows) {
		StringBuilder text = new StringBuilder("| ").append(policy).append(" |");
		for (ResultColumn column : ResultColumn.values()) {
			DoubleSummaryStatistics statistics = rows.stream().collect(Collectors.summarizingDouble(column::value));
			text.append(' ').append(column.format(statistics.getAverage()));
			if (rows.size() > 1) {
				text.append(" (").append(column.format(statistics.getMin())).append('-');
				text.append(column.format(statistics.getMax())).append(')');
			}
			text.append(" |");
		}
		for (LengthClass lengthClass : LengthClass.values()) {
			text.append(String.format(Locale.ROOT, " %.0f/%.0f/%.0f |", mean(rows, percentile(lengthClass, 50)),
					mean(rows, percentile(lengthClass, 95)), mean(rows, percentile(lengthClass, 99))));
		}
		return text.toString();
	}

	private static ToDoubleFunction<ComparisonRow> percentile(LengthClass lengthClass, double percentile) {
		return (row) -> row.mixed().firstTokenMillis(lengthClass, percentile);
	}

	static double mean(List<ComparisonRow> rows, ToDoubleFunction<ComparisonRow> value) {
		return rows.stream().mapToDouble(value).average().orElse(0);
	}

}
