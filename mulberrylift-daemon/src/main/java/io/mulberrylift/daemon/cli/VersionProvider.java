package io.mulberrylift.daemon.cli;

import java.io.IOException;
import java.io.InputStream;
import java.util.Properties;

import picocli.CommandLine.IVersionProvider;

/**
 * Reads the version that the build recorded in the JAR file.
 *
 * <p>
 * Thread-safe.
 * </p>
 */
final class VersionProvider implements IVersionProvider {

	private static final String PROPERTIES = "/META-INF/maven/io.mulberrylift/mulberrylift-daemon/pom.properties";

	@Override
	public String[] getVersion() throws IOException {
		Properties properties = new Properties();
		try (InputStream input = VersionProvider.class.getResourceAsStream(PROPERTIES)) {
			if (input != null) {
				properties.load(input);
			}
		}
		return new String[] { "mulberrylift " + properties.getProperty("version", "(not packaged)") };
	}

}
