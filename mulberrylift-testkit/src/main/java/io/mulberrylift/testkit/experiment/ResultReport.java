package io.mulberrylift.testkit.experiment;

import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.LogAxis;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.data.category.DefaultCategoryDataset;

/**
 * Writes the results to a directory: a CSV file, a Markdown table, charts and an HTML
 * page that shows them.
 */
final class ResultReport {

	private static final int WIDTH_PIXELS = 900;

	private static final int HEIGHT_PIXELS = 420;

	private ResultReport() {
	}

	/**
	 * Writes all files.
	 * @param rows the results
	 * @param directory destination directory, created if missing
	 * @throws IOException if a file cannot be written
	 */
	static void write(List<ComparisonRow> rows, Path directory) throws IOException {
		Files.createDirectories(directory);
		Files.writeString(directory.resolve("results.csv"), ResultCsv.format(rows));
		Files.writeString(directory.resolve("results.md"), ResultTable.format(rows));
		StringBuilder page = new StringBuilder(
				"<!DOCTYPE html><meta charset=\"utf-8\"><title>Routing policies</title>");
		page.append("<h1>Routing policies</h1>\n");
		for (Map.Entry<String, List<ComparisonRow>> group : ResultTable.groups(rows).entrySet()) {
			String name = group.getKey().replace(' ', '-');
			page.append("<h2>").append(group.getKey()).append("</h2>\n");
			writeCharts(group.getValue(), directory, name, page);
		}
		page.append("<pre>").append(escape(ResultTable.format(rows))).append("</pre>\n");
		Files.writeString(directory.resolve("index.html"), page, StandardCharsets.UTF_8);
	}

	private static String escape(String text) {
		return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
	}

	private static void writeCharts(List<ComparisonRow> rows, Path directory, String name, StringBuilder page)
			throws IOException {
		JFreeChart firstTokens = chart("Time to first token, 95th percentile", "ms", firstTokens(rows));
		LogAxis axis = new LogAxis("ms");
		axis.setSmallestValue(1);
		firstTokens.getCategoryPlot().setRangeAxis(axis);
		writeChart(firstTokens, directory, name + "-ttft.png", page);
		writeChart(chart("Slowdown of short requests, 95th percentile", "ratio", slowdowns(rows)), directory,
				name + "-slowdown.png", page);
		writeChart(chart("Shares of requests", "share", shares(rows)), directory, name + "-shares.png", page);
	}

	private static JFreeChart chart(String title, String unit, DefaultCategoryDataset data) {
		return ChartFactory.createBarChart(title, "", unit, data, PlotOrientation.VERTICAL, true, false, false);
	}

	private static void writeChart(JFreeChart chart, Path directory, String file, StringBuilder page)
			throws IOException {
		File target = directory.resolve(file).toFile();
		ChartUtils.saveChartAsPNG(target, chart, WIDTH_PIXELS, HEIGHT_PIXELS);
		page.append("<img src=\"").append(file).append("\" alt=\"").append(chart.getTitle().getText()).append("\">\n");
	}

	private static DefaultCategoryDataset firstTokens(List<ComparisonRow> rows) {
		DefaultCategoryDataset data = new DefaultCategoryDataset();
		ResultTable.byPolicy(rows).forEach((policy, policyRows) -> {
			for (LengthClass lengthClass : LengthClass.values()) {
				double millis = ResultTable.mean(policyRows, (row) -> row.mixed().firstTokenMillis(lengthClass, 95));
				data.addValue(Math.max(1, millis), policy, lengthClass.label());
			}
		});
		return data;
	}

	private static DefaultCategoryDataset slowdowns(List<ComparisonRow> rows) {
		DefaultCategoryDataset data = new DefaultCategoryDataset();
		ResultTable.byPolicy(rows).forEach((policy, policyRows) -> {
			data.addValue(ResultTable.mean(policyRows, ComparisonRow::firstTokenSlowdown), policy, "first token");
			data.addValue(ResultTable.mean(policyRows, ComparisonRow::endToEndSlowdown), policy, "complete answer");
		});
		return data;
	}

	private static DefaultCategoryDataset shares(List<ComparisonRow> rows) {
		DefaultCategoryDataset data = new DefaultCategoryDataset();
		ResultTable.byPolicy(rows).forEach((policy, policyRows) -> {
			for (RunRecorder.Answer answer : RunRecorder.Answer.values()) {
				data.addValue(ResultTable.mean(policyRows, (row) -> row.mixed().share(answer)), policy, answer.name());
			}
		});
		return data;
	}

}
