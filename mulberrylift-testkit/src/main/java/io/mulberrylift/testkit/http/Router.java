package io.mulberrylift.testkit.http;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.Collectors;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.http.pathmap.UriTemplatePathSpec;
import org.eclipse.jetty.util.URIUtil;

/**
 * Selects the handler of a request by HTTP method and path template. The first matching
 * route is used.
 *
 * <p>
 * Routes must be added before the server starts; thread-safe from then on.
 * </p>
 */
public final class Router {

	private final List<Route> routes = new ArrayList<>();

	private RouteHandler fallback = (exchange) -> exchange.respond(HttpStatus.NOT_FOUND_404);

	/**
	 * Adds a route.
	 * @param method the HTTP method
	 * @param template the path template, such as {@code /a/{id}}
	 * @param handler the handler of the matching requests
	 * @return this router
	 */
	public Router on(String method, String template, RouteHandler handler) {
		this.routes.add(new Route(method, new UriTemplatePathSpec(template), Objects.requireNonNull(handler)));
		return this;
	}

	/**
	 * Sets the handler for requests that match no route. The default handler responds
	 * with status 404.
	 * @param handler the fallback handler
	 * @return this router
	 */
	public Router setFallback(RouteHandler handler) {
		this.fallback = Objects.requireNonNull(handler);
		return this;
	}

	/**
	 * Routes a request to its handler. Responds with status 400 if the request is invalid
	 * and with status 500 if the handler fails.
	 * @param exchange the request and its response
	 */
	void route(Exchange exchange) {
		try {
			find(exchange).handle(exchange);
		}
		catch (JsonProcessingException | IllegalArgumentException ex) {
			exchange.respond(HttpStatus.BAD_REQUEST_400, new ErrorDetail(String.valueOf(ex.getMessage())));
		}
		catch (IOException | RuntimeException ex) {
			exchange.respond(HttpStatus.INTERNAL_SERVER_ERROR_500, new ErrorDetail(String.valueOf(ex.getMessage())));
		}
	}

	private RouteHandler find(Exchange exchange) {
		for (Route route : this.routes) {
			if (route.method.equals(exchange.method()) && route.path.matches(exchange.rawPath())) {
				exchange.setPathParameters(decode(route.path.getPathParams(exchange.rawPath())));
				return route.handler;
			}
		}
		return this.fallback;
	}

	private static Map<String, String> decode(Map<String, String> parameters) {
		return parameters.entrySet()
			.stream()
			.collect(Collectors.toMap(Map.Entry::getKey, (entry) -> URIUtil.decodePath(entry.getValue())));
	}

	private record Route(String method, UriTemplatePathSpec path, RouteHandler handler) {
	}

}
