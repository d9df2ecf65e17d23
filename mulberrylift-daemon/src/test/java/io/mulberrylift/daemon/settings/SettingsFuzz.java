package io.mulberrylift.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import io.mulberrylift.core.configuration.ConfigurationCheck;
import io.mulberrylift.core.configuration.PublishedDocument;
import io.mulberrylift.daemon.fuzz.FuzzSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Fuzz targets for corrupted instance settings and published configurations.
 */
public final class SettingsFuzz {

	private static final Path EXAMPLES = (Files.isDirectory(Path.of("config"))) ? Path.of("config")
			: Path.of("..", "config");

	private static final List<String> FLEETS = List.of(read("fleet.json"), read("fleet-timbangan.json"));

	private static final String INSTANCE = read("instance.json");

	private SettingsFuzz() {
	}

	/**
	 * Parses corrupted instance settings: an invalid result must name a problem.
	 * @param source generates the input
	 */
	public static void tryInstanceSettings(FuzzSource source) {
		SettingsCheck<InstanceSettings> check = InstanceSettingsReader.read(source.mutateJson(INSTANCE));
		if (check instanceof SettingsCheck.Invalid<InstanceSettings> invalid) {
			assertThat(invalid.problems()).isNotEmpty();
		}
	}

	/**
	 * Parses a corrupted configuration: a rejection must name a problem.
	 * @param source generates the input
	 */
	public static void tryConfiguration(FuzzSource source) {
		ConfigurationCheck check = PublishedConfigurationParser
			.check(new PublishedDocument(1, source.mutateJson(source.pick(FLEETS))));
		if (check instanceof ConfigurationCheck.Rejected rejected) {
			assertThat(rejected.problems()).isNotEmpty();
		}
	}

	private static String read(String name) {
		try {
			return Files.readString(EXAMPLES.resolve(name));
		}
		catch (IOException ex) {
			throw new IllegalStateException(
					name + " cannot be read; run from the repository root or a module directory", ex);
		}
	}

}
