package io.mulberrylift.testkit.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/**
 * Writes the results of runs with faults as a table, as comma-separated values and as a
 * chart of the first seed.
 */
final class FaultReport {

	private static final int WIDTH_PIXELS = 1_200;

	private static final int HEIGHT_PIXELS = 600;

	private static final int STEP_SECONDS = 10;

	private FaultReport() {
	}

	static String csv(List<FaultRow> rows) {
		return "shape,policy,fault,seed,phase,short_p95_ms,long_p95_ms,answered_pct,refused,late,failed,"
				+ "dispatches_per_first,recovery_s\n" + lines(rows, "", ",", "\n");
	}

	static String table(List<FaultRow> rows) {
		return "| shape | policy | fault | seed | phase | short first token p95, ms | long, ms | answered, % | refused "
				+ "| late | failed | dispatches per request | recovery, s |\n|" + "---|".repeat(13) + "\n"
				+ lines(rows, "| ", " | ", " |\n");
	}

	private static String lines(List<FaultRow> rows, String start, String separator, String end) {
		StringBuilder text = new StringBuilder();
		for (FaultRow row : rows) {
			for (FaultRow.Phase phase : row.phases()) {
				text.append(start).append(String.join(separator, cells(row, phase))).append(end);
			}
		}
		return text.toString();
	}

	private static List<String> cells(FaultRow row, FaultRow.Phase phase) {
		String recovery = row.recoverySeconds().isPresent() ? String.valueOf(row.recoverySeconds().getAsLong())
				: "none";
		return List.of(row.shape().label(), row.policy().label(), row.fault().label(), String.valueOf(row.seed()),
				phase.name(), number("%.0f", phase.shortFirstTokenP95Millis()),
				number("%.0f", phase.longFirstTokenP95Millis()), number("%.1f", 100 * phase.answeredShare()),
				String.valueOf(phase.refused()), String.valueOf(phase.late()), String.valueOf(phase.failed()),
				number("%.3f", phase.dispatchesPerRequest()), recovery);
	}

	private static String number(String format, double value) {
		return String.format(Locale.ROOT, format, value);
	}

	/**
	 * Writes the files.
	 * @param rows the results
	 * @param directory destination directory, created if missing
	 * @throws IOException if a file cannot be written
	 */
	static void write(List<FaultRow> rows, Path directory) throws IOException {
		Files.createDirectories(directory);
		Files.writeString(directory.resolve("faults.csv"), csv(rows));
		XYSeriesCollection data = new XYSeriesCollection();
		rows.stream().filter((row) -> row.seed() == rows.get(0).seed()).forEach((row) -> data.addSeries(series(row)));
		ChartUtils.saveChartAsPNG(directory.resolve("faults.png").toFile(), ChartFactory
			.createXYLineChart("Time to first token of short prompts, 95th percentile per 10 s", "s", "ms", data),
				WIDTH_PIXELS, HEIGHT_PIXELS);
		Files.writeString(directory.resolve("faults.html"),
				"<!DOCTYPE html><meta charset=\"utf-8\"><title>Results with faults</title>"
						+ "<img src=\"faults.png\" alt=\"time to first token of short prompts, p95 over time\"><pre>"
						+ table(rows) + "</pre>\n");
	}

	private static XYSeries series(FaultRow row) {
		XYSeries series = new XYSeries(row.shape().label() + " " + row.policy().label() + " " + row.fault().label());
		for (int i = 0; i < row.shortFirstTokenP95Millis().size(); i++) {
			series.add(i * STEP_SECONDS, row.shortFirstTokenP95Millis().get(i));
		}
		return series;
	}

}
