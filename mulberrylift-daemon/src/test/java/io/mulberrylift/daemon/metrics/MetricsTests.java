package io.mulberrylift.daemon.metrics;

import com.codahale.metrics.MetricRegistry;
import io.mulberrylift.core.effect.ControlEffect;
import io.mulberrylift.core.model.PromptLengthClass;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of metrics.
 */
class MetricsTests {

	@ParameterizedTest
	@CsvSource({ "0,le2k", "2000,le2k", "2001,le8k", "8001,le32k", "32001,le128k", "128000,le128k", "128001,gt128k",
			"2147483647,gt128k" })
	void classesOfPromptLength(int promptTokens, String label) {
		assertThat(PromptLengthClass.of(promptTokens).label()).isEqualTo(label);
	}

	@Test
	void countsAreNamedAfterTheirPart() {
		MetricRegistry registry = new MetricRegistry();
		CountEffectHandler handler = new CountEffectHandler(registry);
		handler.handle(new ControlEffect.Count(ControlEffect.Part.WITNESS, "grants.open", 3));
		handler.handle(new ControlEffect.Count(ControlEffect.Part.WITNESS, "grants.open", -1));
		assertThat(registry.counter("witness.grants.open").getCount()).isEqualTo(2);
	}

}
