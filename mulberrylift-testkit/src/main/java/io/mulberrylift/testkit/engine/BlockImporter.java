package io.mulberrylift.testkit.engine;

import java.io.Closeable;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;

import io.mulberrylift.testkit.http.ErrorDetail;
import io.mulberrylift.testkit.http.Exchange;
import io.mulberrylift.testkit.http.Json;
import org.apache.hc.client5.http.classic.methods.HttpGet;
import org.apache.hc.client5.http.impl.classic.CloseableHttpClient;
import org.apache.hc.client5.http.impl.classic.HttpClients;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.eclipse.jetty.http.HttpStatus;

/**
 * Imports exported prefix cache blocks from another engine. The configured copy time per
 * token is simulated. Thread-safe.
 */
final class BlockImporter implements Closeable {

	private final EngineOptions options;

	private final EngineRunner runner;

	private final CloseableHttpClient client = HttpClients.createDefault();

	BlockImporter(EngineOptions options, EngineRunner runner) {
		this.options = options;
		this.runner = runner;
	}

	void copy(Exchange exchange) throws IOException {
		EngineMessages.ImportBody body = exchange.body(EngineMessages.ImportBody.class);
		Optional<long[]> keys = fetch(body);
		if (keys.isEmpty()) {
			exchange.respond(HttpStatus.NOT_FOUND_404,
					new ErrorDetail("The export does not exist or has expired; create a new one"));
			return;
		}
		long copyMicros = (long) keys.get().length * PrefixCache.BLOCK_TOKENS
				* this.options.settings().importMicrosPerToken();
		LockSupport.parkNanos(this.runner.clock().toRealNanos(copyMicros));
		int blocks = this.runner.apply((model) -> model.importBlocks(keys.get()));
		exchange.respond(HttpStatus.OK_200, new EngineMessages.ImportAnswer(blocks));
	}

	@Override
	public void close() throws IOException {
		this.client.close();
	}

	private Optional<long[]> fetch(EngineMessages.ImportBody body) throws IOException {
		HttpGet get = new HttpGet("http://" + body.from() + "/engine/v1/exports/" + body.exportId());
		get.setHeader(Exchange.FROM_ZONE, this.options.zone());
		return this.client.execute(get, BlockImporter::parse);
	}

	private static Optional<long[]> parse(ClassicHttpResponse response) throws IOException, ParseException {
		String text = EntityUtils.toString(response.getEntity());
		if (response.getCode() != HttpStatus.OK_200) {
			return Optional.empty();
		}
		EngineMessages.ExportBlocks blocks = Json.read(text, EngineMessages.ExportBlocks.class);
		return Optional.of(EngineMessages.parseBlocks(blocks.prefixBlocks()));
	}

}
