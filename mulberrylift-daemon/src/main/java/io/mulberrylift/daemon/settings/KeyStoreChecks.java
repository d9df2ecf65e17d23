package io.mulberrylift.daemon.settings;

import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.security.KeyStoreException;
import java.security.UnrecoverableKeyException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;

import io.mulberrylift.core.configuration.ConfigurationProblem;

/**
 * Validates the key and trust stores named in the settings by opening them. Reported
 * problems never contain a password.
 */
public final class KeyStoreChecks {

	private static final String STORE_TYPE = "PKCS12";

	private KeyStoreChecks() {
	}

	/**
	 * Opens every key and trust store that the settings name.
	 * @param settings settings without other problems
	 * @return all problems of the files, empty when the settings name no store or all are
	 * usable
	 */
	public static List<ConfigurationProblem> findProblems(InstanceSettings settings) {
		List<ConfigurationProblem> problems = new ArrayList<>();
		settings.callers()
			.tls()
			.ifPresent(
					(tls) -> RequiredEntry.KEY.check("callers.tls.keyStore", tls.keyStorePath(), tls.keyStorePassword())
						.ifPresent(problems::add));
		settings.peers().tls().ifPresent((tls) -> {
			RequiredEntry.KEY.check("peers.tls.keyStore", tls.keyStorePath(), tls.keyStorePassword())
				.ifPresent(problems::add);
			RequiredEntry.TRUST.check("peers.tls.trustStore", tls.trustStorePath(), tls.trustStorePassword())
				.ifPresent(problems::add);
		});
		return List.copyOf(problems);
	}

	/**
	 * Kind of entry that a store must contain.
	 */
	private enum RequiredEntry {

		/** A private key with its certificate. */
		KEY("a PKCS12 file with a private key",
				"Export the instance's key with its certificate to this file, under the store's own password.") {

			@Override
			boolean isSatisfiedBy(KeyStore store, String alias, char[] password) throws GeneralSecurityException {
				return store.isKeyEntry(alias) && store.getKey(alias, password) != null;
			}

		},

		/** A trusted certificate. */
		TRUST("a PKCS12 file with a trusted certificate", "Import the certificate of the instances' issuer.") {

			@Override
			boolean isSatisfiedBy(KeyStore store, String alias, char[] password) throws KeyStoreException {
				return store.isCertificateEntry(alias);
			}

		};

		private final String allowed;

		private final String remedy;

		RequiredEntry(String allowed, String remedy) {
			this.allowed = allowed;
			this.remedy = remedy;
		}

		abstract boolean isSatisfiedBy(KeyStore store, String alias, char[] password) throws GeneralSecurityException;

		Optional<ConfigurationProblem> check(String keyPrefix, String path, String password) {
			String key = keyPrefix + "Path";
			try (InputStream input = Files.newInputStream(Path.of(path))) {
				KeyStore store = KeyStore.getInstance(STORE_TYPE);
				store.load(input, password.toCharArray());
				return (isSatisfiedByAny(store, password)) ? Optional.empty()
						: problem(key, path + " without such an entry", this.allowed, this.remedy);
			}
			catch (InvalidPathException ex) {
				return problem(key, "no file name", this.allowed, "Set the path of the file.");
			}
			catch (IOException ex) {
				return (ex.getCause() instanceof UnrecoverableKeyException)
						? problem(keyPrefix + "Password", "not the password of " + path, "the file's password",
								"Set the password with which the file was made.")
						: problem(key, path + " (" + ex.getClass().getSimpleName() + ")", this.allowed,
								"Check that the file exists, is readable and is a PKCS12 store.");
			}
			catch (GeneralSecurityException ex) {
				return problem(key, path + " (" + ex.getClass().getSimpleName() + ")", this.allowed, this.remedy);
			}
		}

		private boolean isSatisfiedByAny(KeyStore store, String password) throws GeneralSecurityException {
			for (String alias : Collections.list(store.aliases())) {
				if (isSatisfiedBy(store, alias, password.toCharArray())) {
					return true;
				}
			}
			return false;
		}

		private static Optional<ConfigurationProblem> problem(String key, String value, String allowed, String remedy) {
			return Optional.of(new ConfigurationProblem(key, value, allowed, remedy));
		}

	}

}
