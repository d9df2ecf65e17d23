package io.mulberrylift.daemon.settings;

import java.io.IOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import io.mulberrylift.core.configuration.ConfigurationCheck;
import io.mulberrylift.core.configuration.ConfigurationProblem;
import io.mulberrylift.core.configuration.PublishedDocument;
import io.mulberrylift.core.model.ZoneId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of parsing and validating instance settings and published configurations.
 */
class SettingsTests {

	private static final Path EXAMPLES = Path.of("..", "config");

	private static final String MINIMAL = """
			{"instanceId": "a", "zone": "z", "callers": {"host": "::1", "port": 0},
			 "operators": {"host": "::1", "port": 0}, "peers": {"host": "::1", "port": %s},
			 "platform": {"baseUrl": "%s"}%s}
			""";

	@Test
	void exampleSettingsEqualTheDefaults() throws IOException {
		SettingsCheck<InstanceSettings> check = InstanceSettingsReader
			.read(Files.readString(EXAMPLES.resolve("instance.json")));
		InstanceSettings settings = ((SettingsCheck.Valid<InstanceSettings>) check).value();
		assertThat(settings.zone()).isEqualTo(new ZoneId("regina-hall"));
		assertThat(settings.limits()).isEqualTo(LimitSettings.DEFAULTS);
		assertThat(settings.log()).isEqualTo(LogSettings.DEFAULTS);
		assertThat(settings.callers().tls()).isEmpty();
		assertThat(settings.peers().tls()).isEmpty();
	}

	@Test
	void commentedOutEncryptionOfTheExampleIsValid() throws IOException {
		String example = Files.readString(EXAMPLES.resolve("instance.json"));
		String uncommented = example.replaceAll("(?m)^    // ", "    ");
		InstanceSettings settings = ((SettingsCheck.Valid<InstanceSettings>) InstanceSettingsReader.read(uncommented))
			.value();
		assertThat(settings.peers().tls()).hasValueSatisfying((tls) -> {
			assertThat(tls.keyStorePath()).isEqualTo("/etc/mulberrylift/instance.p12");
			assertThat(tls.toString()).doesNotContain("...");
		});
	}

	@Test
	void encryptionBetweenInstancesNeedsBothStores() {
		assertThat(keys(MINIMAL.formatted("0, \"tls\": {\"keyStorePath\": \" \"}", "http://a:1", "")))
			.containsExactly("peers.tls.keyStorePassword", "peers.tls.trustStorePassword", "peers.tls.trustStorePath");
		assertThat(keys(MINIMAL.formatted(tls(" ", "p", " ", "p"), "http://a:1", "")))
			.containsExactly("peers.tls.keyStorePath", "peers.tls.trustStorePath");
	}

	@Test
	void unusableStoresAreReportedWithoutTheirPasswords() throws URISyntaxException {
		String instance = storePath("instance");
		String trust = storePath("trust");
		assertThat(storeProblems(instance, "changeit", trust, "changeit")).isEmpty();
		assertThat(storeProblems(instance, "secret-1", "absent.p12", "secret-2")).containsExactly(
				"peers.tls.keyStorePassword is not the password of " + instance
						+ "; allowed: the file's password. Set the password with which the file was made.",
				"peers.tls.trustStorePath is absent.p12 (NoSuchFileException); allowed: a PKCS12 file with a trusted "
						+ "certificate. Check that the file exists, is readable and is a PKCS12 store.");
		assertThat(storeProblems(trust, "changeit", instance, "changeit")).containsExactly(
				"peers.tls.keyStorePath is " + trust
						+ " without such an entry; allowed: a PKCS12 file with a private key. Export the instance's "
						+ "key with its certificate to this file, under the store's own password.",
				"peers.tls.trustStorePath is " + instance + " without such an entry; allowed: a PKCS12 file with a "
						+ "trusted certificate. Import the certificate of the instances' issuer.");
	}

	private static List<String> storeProblems(String keyStore, String keyPassword, String trustStore,
			String trustPassword) {
		String text = MINIMAL.formatted(tls(keyStore, keyPassword, trustStore, trustPassword), "http://a:1", "");
		InstanceSettings settings = ((SettingsCheck.Valid<InstanceSettings>) InstanceSettingsReader.read(text)).value();
		return KeyStoreChecks.findProblems(settings).stream().map(ConfigurationProblem::toString).toList();
	}

	private static String tls(String keyStore, String keyPassword, String trustStore, String trustPassword) {
		return """
				0, "tls": {"keyStorePath": "%s", "keyStorePassword": "%s",
				 "trustStorePath": "%s", "trustStorePassword": "%s"}""".formatted(keyStore, keyPassword, trustStore,
				trustPassword);
	}

	private static String storePath(String name) throws URISyntaxException {
		return Path.of(SettingsTests.class.getResource("/peer-tls/" + name + ".p12").toURI()).toString();
	}

	@ParameterizedTest
	@ValueSource(strings = { "fleet.json", "fleet-timbangan.json" })
	void exampleConfigurationsAreAccepted(String file) throws IOException {
		ConfigurationCheck check = PublishedConfigurationParser
			.check(new PublishedDocument(1, Files.readString(EXAMPLES.resolve(file))));
		assertThat(check).isInstanceOf(ConfigurationCheck.Accepted.class);
		assertThat(((ConfigurationCheck.Accepted) check).configuration().workspaces()).hasSize(10);
	}

	@Test
	void absentGroupsTakeDefaults() {
		assertThat(InstanceSettingsReader.read(MINIMAL.formatted("0", "http://a:1", "")))
			.isInstanceOf(SettingsCheck.Valid.class);
	}

	@Test
	void allRangeViolationsAreReportedTogether() {
		assertThat(keys(MINIMAL.formatted("65536", "a:1",
				", \"limits\": {\"maxBodyBytes\": 10, \"bodyTimeoutMillis\": -1, \"maxConcurrentCallers\": -1}")))
			.containsExactly("peers.port", "platform.baseUrl", "limits.maxBodyBytes", "limits.maxConcurrentCallers",
					"limits.bodyTimeoutMillis");
	}

	@Test
	void structureProblemsAreReportedTogetherWithLocations() {
		List<ConfigurationProblem> problems = problems("""
				{"instanceId": " ", "zone": 7, "callers": {"host": "a", "port": "0", "tls": {"keyStorePath": "a"}},
				 "operators": [], "peers": {"host": "a", "port": 1.5}, "log": {"format": "xml"}, "colour": 1}
				""");
		assertThat(problems).extracting(ConfigurationProblem::key)
			.containsExactlyInAnyOrder("instanceId", "zone", "callers.port", "callers.tls.keyStorePassword",
					"operators", "peers.port", "log.format", "colour", "platform");
		assertThat(problems).filteredOn((problem) -> problem.key().equals("log.format"))
			.extracting(ConfigurationProblem::value)
			.containsExactly("\"xml\" at line 2, column 74");
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "null", "[]", "{", "{} {}", "{\"zone\": \"a\", \"zone\": \"b\"}", "{\"zone\": NaN}" })
	void malformedTextIsReported(String text) {
		assertThat(keys(text)).isNotEmpty();
		assertThat(PublishedConfigurationParser.check(new PublishedDocument(1, text)))
			.isInstanceOf(ConfigurationCheck.Rejected.class);
	}

	@Test
	void deepNestingIsRejectedWithoutFailing() {
		assertThat(keys("[".repeat(100_000))).containsExactly("document");
	}

	@Test
	void rangeViolationsOfAConfigurationNameTheirLocation() {
		ConfigurationCheck check = PublishedConfigurationParser.check(new PublishedDocument(1, """
				{"witnessZones": ["a"], "workspaces": {"w": {"weight": -1}},
				 "profiles": {"p": {"priority": 10, "defaultTimeoutMillis": 1, "maxTimeoutMillis": 1}}}
				"""));
		assertThat(((ConfigurationCheck.Rejected) check).problems()).extracting(ConfigurationProblem::toString)
			.containsExactly(
					"profiles.p.priority is 10 at line 2, column 33; allowed: 0 to 9. Set a value in this range.",
					"workspaces.w.weight is -1.0 at line 1, column 56; allowed: a positive number. "
							+ "Set a positive weight.");
	}

	private static List<String> keys(String text) {
		return problems(text).stream().map(ConfigurationProblem::key).toList();
	}

	private static List<ConfigurationProblem> problems(String text) {
		return ((SettingsCheck.Invalid<InstanceSettings>) InstanceSettingsReader.read(text)).problems();
	}

}
