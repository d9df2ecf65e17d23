package io.mulberrylift.core.architecture;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition;

/**
 * Tests that the library remains a pure state machine without input, output, clocks or
 * threads.
 */
@AnalyzeClasses(packages = "io.mulberrylift.core", importOptions = ImportOption.DoNotIncludeTests.class)
class CoreArchitectureTests {

	private static final String CLOCKS_AND_THREADS = "java\\.time\\.(Instant|Clock)|java\\.lang\\.Thread";

	@ArchTest
	void dependsOnTheJdkAlone(JavaClasses library) {
		ArchRuleDefinition.classes()
			.should()
			.onlyDependOnClassesThat()
			.resideInAnyPackage("java..", "io.mulberrylift.core..")
			.check(library);
	}

	@ArchTest
	void hasNoThreadsSocketsOrFiles(JavaClasses library) {
		ArchRuleDefinition.noClasses()
			.should()
			.dependOnClassesThat()
			.resideInAnyPackage("java.net..", "java.nio..", "java.io..", "java.util.concurrent..")
			.check(library);
	}

	@ArchTest
	void hasNoCycleBetweenConfigurationAndScheduling(JavaClasses library) {
		SlicesRuleDefinition.slices()
			.matching("io.mulberrylift.core.(configuration|scheduling)..")
			.should()
			.beFreeOfCycles()
			.check(library);
	}

	@ArchTest
	void readsNoClock(JavaClasses library) {
		ArchRuleDefinition.noClasses()
			.should()
			.callMethod(System.class, "nanoTime")
			.orShould()
			.callMethod(System.class, "currentTimeMillis")
			.orShould()
			.dependOnClassesThat()
			.haveNameMatching(CLOCKS_AND_THREADS)
			.check(library);
	}

}
