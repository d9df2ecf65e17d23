package io.mulberrylift.core.forwarding;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

class RouteTests {

	private static Route route(List<WeightedService> services) {
		return new Route("r", "h", "/", services, RequestKind.IDEMPOTENT, 100, 100, 0, 1, 0, false);
	}

	@Test
	void servicesAreChosenByWeight() {
		Route route = route(List.of(new WeightedService("a", 90), new WeightedService("b", 10)));
		assertThat(route.chooseService(0)).isEqualTo("a");
		assertThat(route.chooseService(0.89)).isEqualTo("a");
		assertThat(route.chooseService(0.91)).isEqualTo("b");
		assertThat(route.chooseService(0.999)).isEqualTo("b");
	}

	@Test
	void serviceOfWeightZeroIsNotChosen() {
		Route route = route(List.of(new WeightedService("a", 0), new WeightedService("b", 1)));
		assertThat(route.chooseService(0)).isEqualTo("b");
	}

	@Test
	void rejectsAPrefixWithoutFinalSlashAndARouteWithoutServices() {
		assertThatIllegalArgumentException().isThrownBy(() -> new Route("r", "h", "/a",
				List.of(new WeightedService("a", 1)), RequestKind.STREAM, 1, 1, 0, 1, 0, false));
		assertThatIllegalArgumentException().isThrownBy(() -> route(List.of()));
	}

}
